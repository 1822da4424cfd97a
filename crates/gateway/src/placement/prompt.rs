use kumquattiller_base::size::Tokens;

use crate::dialect::Prompt;
use crate::engine::Profile;
use crate::load::Demand;
use crate::placement::Candidate;
use crate::placement::Division;
use crate::placement::Placement;
use crate::placement::Reason;

/// Reading time from which a prompt counts as long, in milliseconds: beside a stream with short
/// pauses it would make that stream late.
const LONG_READ_MS: f64 = 125.0;
/// Reading time of one server's part of a long prompt, in milliseconds.
const PART_MS: f64 = 150.0;
/// Most helpers of one prompt.
const MAX_HELPERS: usize = 16;
/// Time that one more writing request adds to a placement's cost, in milliseconds.
const WRITER_COST_MS: f64 = 3.0;
/// Added to the cost of a server whose memory does not hold the request, in milliseconds.
const NO_MEMORY_COST_MS: f64 = 2_000.0;
/// Added to the cost of a server without a free slot, in milliseconds.
const NO_SLOT_COST_MS: f64 = 1_000.0;

/// Tells whether a prompt counts as long.
pub fn is_long(prompt: &Prompt, profile: &Profile) -> bool {
    profile.read_ms(prompt.tokens) > LONG_READ_MS
}

/// Chooses the server of a prompt, and helpers where it is long.
///
/// Answers a load of short prompts whose streams allow short pauses, mixed with prompts whose
/// reading takes seconds: the two are kept on different servers, and a long prompt is read in
/// parts by several servers of its division.
pub fn place_prompt(
    prompt: &Prompt,
    profile: &Profile,
    candidates: &[Candidate],
    demand: &Demand,
) -> Option<Placement> {
    let read_ms = profile.read_ms(prompt.tokens);
    let memory = prompt.tokens.saturating_add(prompt.answer);
    if read_ms <= LONG_READ_MS {
        return place_short(read_ms, memory, profile, candidates, demand);
    }
    place_long(read_ms, memory, profile, candidates, demand)
}

fn place_short(
    read_ms: f64,
    memory: Tokens,
    profile: &Profile,
    candidates: &[Candidate],
    demand: &Demand,
) -> Option<Placement> {
    let division = Division::of(candidates, demand, 0.0);
    let group = if division.short.is_empty() { &division.long } else { &division.short };
    let chosen = cheapest(group, memory, profile)?;
    Some(Placement {
        server: chosen.id.clone(),
        helpers: Vec::new(),
        part_ms: read_ms,
        first_ms: chosen.load.unread_ms + read_ms,
        reason: Reason::ShortDivision,
    })
}

fn place_long(
    read_ms: f64,
    memory: Tokens,
    profile: &Profile,
    candidates: &[Candidate],
    demand: &Demand,
) -> Option<Placement> {
    let division = Division::of(candidates, demand, read_ms);
    let mut group = if division.long.is_empty() { division.short } else { division.long };
    group.sort_by(|a, b| cost(a, memory, profile).total_cmp(&cost(b, memory, profile)));
    let parts = ((read_ms / PART_MS).ceil() as usize).clamp(1, MAX_HELPERS + 1).min(group.len());
    let (first, rest) = group.split_first()?;
    let mut rest = rest.to_vec();
    rest.sort_by(|a, b| a.load.unread_ms.total_cmp(&b.load.unread_ms));
    rest.truncate(parts - 1);
    let part_ms = read_ms / parts as f64;
    let waits = rest.iter().map(|c| c.load.unread_ms).fold(first.load.unread_ms, f64::max);
    Some(Placement {
        server: first.id.clone(),
        helpers: rest.iter().map(|c| c.id.clone()).collect(),
        part_ms,
        first_ms: waits + part_ms,
        reason: Reason::LongDivision,
    })
}

fn cheapest<'a>(
    group: &[&'a Candidate],
    memory: Tokens,
    profile: &Profile,
) -> Option<&'a Candidate> {
    let by_cost = |a: &&&Candidate, b: &&&Candidate| {
        cost(a, memory, profile).total_cmp(&cost(b, memory, profile))
    };
    group.iter().min_by(by_cost).copied()
}

/// Returns what placing a request of `memory` at a server costs it, in milliseconds.
fn cost(candidate: &Candidate, memory: Tokens, profile: &Profile) -> f64 {
    let load = &candidate.load;
    let mut cost = load.unread_ms + f64::from(load.requests) * WRITER_COST_MS;
    if load.memory + memory.get() > profile.memory.get() {
        cost += NO_MEMORY_COST_MS;
    }
    if load.requests >= profile.slots {
        cost += NO_SLOT_COST_MS;
    }
    cost
}
