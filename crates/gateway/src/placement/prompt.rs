use std::time::Duration;

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
/// Most helpers of one prompt.
const MAX_HELPERS: usize = 16;
/// Reading time of a part that is read beside streams with short pauses without harm, in
/// milliseconds.
const THIN_PART_MS: f64 = 95.0;
/// Most that a server may have unread, with the part, for the part to do no harm, in milliseconds.
const THIN_UNREAD_MS: f64 = 130.0;
/// Reading time of a part within the division for long prompts, in milliseconds.
const PART_MS: f64 = 150.0;
/// Part of the aim within which a long prompt should be read.
const AIM_PART: f64 = 0.45;
/// Time that one more request adds to a placement's cost, in milliseconds.
const REQUEST_COST_MS: f64 = 3.0;
/// Added to the cost of a server whose memory does not hold the request, in milliseconds.
const NO_MEMORY_COST_MS: f64 = 2_000.0;
/// Added to the cost of a server without a free slot, in milliseconds.
const NO_SLOT_COST_MS: f64 = 1_000.0;
/// Cost of a long read for each stream with short pauses beside it, in milliseconds.
const TIGHT_HARM_MS: f64 = 150.0;
/// Added to the cost of a server for long prompts that gets a short one, in milliseconds.
const OTHER_DIVISION_COST_MS: f64 = 150.0;

/// A prompt that is to be placed.
#[derive(Debug, Clone, Copy)]
pub struct Request<'a> {
    /// The prompt.
    pub prompt: &'a Prompt,
    /// Time within which its first event is on time.
    pub aim: Duration,
    /// How the engines work.
    pub profile: &'a Profile,
}

/// Tells whether a prompt counts as long.
pub fn is_long(prompt: &Prompt, profile: &Profile) -> bool {
    profile.read_ms(prompt.tokens) > LONG_READ_MS
}

/// Chooses the server of a prompt, and helpers where it is long.
///
/// Answers a load of short prompts whose streams allow short pauses, mixed with prompts whose
/// reading takes seconds. A long prompt is read in parts so small that they harm nobody, where
/// enough servers are free for that; else by servers of the division for long prompts, and by
/// more only where it would be late.
pub fn place_prompt(
    request: &Request<'_>,
    candidates: &[Candidate],
    demand: &Demand,
) -> Option<Placement> {
    let division = Division::of(candidates, demand);
    if !is_long(request.prompt, request.profile) {
        return place_short(request, &division);
    }
    place_thin(request, &division).or_else(|| place_long(request, &division))
}

impl Request<'_> {
    fn read_ms(&self) -> f64 {
        self.profile.read_ms(self.prompt.tokens)
    }

    fn memory(&self) -> Tokens {
        self.prompt.tokens.saturating_add(self.prompt.answer)
    }

    /// Returns what running the request at a server costs, in milliseconds.
    fn cost(&self, candidate: &Candidate) -> f64 {
        let load = &candidate.load;
        let mut cost = load.unread_ms + f64::from(load.requests) * REQUEST_COST_MS;
        if load.memory + self.memory().get() > self.profile.memory.get() {
            cost += NO_MEMORY_COST_MS;
        }
        if load.requests >= self.profile.slots {
            cost += NO_SLOT_COST_MS;
        }
        cost
    }
}

fn place_short(request: &Request<'_>, division: &Division<'_>) -> Option<Placement> {
    let short = division.short.iter().map(|c| (*c, request.cost(c)));
    let long = division.long.iter().map(|c| (*c, request.cost(c) + OTHER_DIVISION_COST_MS));
    let (chosen, _) = short.chain(long).min_by(|a, b| a.1.total_cmp(&b.1))?;
    let read_ms = request.read_ms();
    Some(Placement {
        server: chosen.id.clone(),
        helpers: Vec::new(),
        part_ms: read_ms,
        first_ms: chosen.load.unread_ms + read_ms,
        reason: Reason::ShortDivision,
    })
}

/// Spreads a prompt so thin that no stream beside it is late; none where the servers are busy.
fn place_thin(request: &Request<'_>, division: &Division<'_>) -> Option<Placement> {
    let read_ms = request.read_ms();
    let parts = (read_ms / THIN_PART_MS).ceil() as usize;
    let part_ms = read_ms / parts as f64;
    let mut free: Vec<&Candidate> = division.short.iter().chain(&division.long).copied().collect();
    free.retain(|c| c.load.unread_ms + part_ms <= THIN_UNREAD_MS);
    if parts > MAX_HELPERS + 1 || free.len() < parts {
        return None;
    }
    free.sort_by(|a, b| request.cost(a).total_cmp(&request.cost(b)));
    free.truncate(parts);
    Some(plan(&free, part_ms, Reason::Thin))
}

/// Places a prompt on servers for long prompts, and on more of them where it would be late.
fn place_long(request: &Request<'_>, division: &Division<'_>) -> Option<Placement> {
    let read_ms = request.read_ms();
    let target_ms = request.aim.as_secs_f64() * 1e3 * AIM_PART;
    let first_cost = |c: &&Candidate| request.cost(c);
    let mut order = division.long.clone();
    order.sort_by(|a, b| first_cost(a).total_cmp(&first_cost(b)));
    let own = order.len();
    let harm = |c: &Candidate| request.cost(c) + f64::from(c.load.tight) * TIGHT_HARM_MS;
    let mut others = division.short.clone();
    others.sort_by(|a, b| harm(a).total_cmp(&harm(b)));
    order.extend(others);
    let fewest = ((read_ms / PART_MS).ceil() as usize).min(own).max(1);
    let most = order.len().min(MAX_HELPERS + 1);
    let first_ms = |parts: usize| {
        let wait = order[..parts].iter().map(|c| c.load.unread_ms).fold(0.0, f64::max);
        wait + read_ms / parts as f64
    };
    let parts = (fewest..=most)
        .find(|parts| first_ms(*parts) <= target_ms)
        .or_else(|| (1..=most).min_by(|a, b| first_ms(*a).total_cmp(&first_ms(*b))))?;
    Some(plan(&order[..parts], read_ms / parts as f64, Reason::LongDivision))
}

/// Returns the placement on servers, of which the first runs the request.
fn plan(servers: &[&Candidate], part_ms: f64, reason: Reason) -> Placement {
    let wait = servers.iter().map(|c| c.load.unread_ms).fold(0.0, f64::max);
    Placement {
        server: servers[0].id.clone(),
        helpers: servers[1..].iter().map(|c| c.id.clone()).collect(),
        part_ms,
        first_ms: wait + part_ms,
        reason,
    }
}
