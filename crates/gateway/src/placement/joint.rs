use std::cmp::Reverse;

use kumquattiller_base::size::Tokens;

use crate::dialect::Prompt;
use crate::engine::Profile;
use crate::load::Demand;
use crate::pace::Pace;
use crate::placement::Candidate;
use crate::placement::CostBound;
use crate::placement::Declined;
use crate::placement::Division;
use crate::placement::Placement;
use crate::placement::Reason;
use crate::placement::Request;
use crate::placement::prompt::MAX_HELPERS;
use crate::placement::prompt::participant_cost;
use crate::placement::utility;

/// Fraction of a server's free memory that a prompt may use. The remainder allows for the delay
/// with which memory use is reported.
const FREE_FRACTION: f64 = 0.85;

/// Value of one second of prefill for long prompts.
const VALUE_PER_PREFILL_S: f64 = 6.5;
/// Fraction of its value that a prompt loses when its servers are busy on its arrival.
const BLOCKED_LOSS: f64 = 0.75;

/// Places a prompt that exceeds the memory of a single engine on several servers.
///
/// Such prompts are rare, and their prefill takes ten seconds of engine time or more. The servers
/// with the most free memory hold the prompt, slow ones only if the others have too little, and
/// further servers may help with the prefill.
///
/// # Errors
///
/// Returns an error if the servers lack the memory, or if the placement would cost other requests
/// too much.
pub fn place_joint(
    request: &Request<'_>,
    division: &Division<'_>,
    demand: &Demand,
    bound: CostBound,
) -> Result<Placement, Declined> {
    let mut ranked: Vec<&Candidate> =
        division.long.iter().chain(&division.short).copied().collect();
    let is_slow = |c: &Candidate| c.pace > Pace::default();
    ranked.sort_by_key(|c| (is_slow(c), Reverse(free_tokens(request, c)), c.load.requests, c.rank));
    let holders = holders(request, &ranked).ok_or(Declined::NoMemory)?;
    let min_parts = holders.len() + 1;
    let max_parts = ranked.len().min(MAX_HELPERS + 1);
    let options = (min_parts..=max_parts).map(|parts| {
        let participants = participants(request, &ranked, min_parts, parts);
        let cost = Cost::of(request, division, demand, &participants);
        (participants, cost)
    });
    let cheapest = options.min_by(|a, b| a.1.sum().total_cmp(&b.1.sum()));
    let (participants, Cost { own, others }) = cheapest.ok_or(Declined::NoMemory)?;
    let value = utility::request_value(request.prompt.tokens);
    let gain = value - own;
    if !bound.allows(others, gain, value) {
        return Err(Declined::TooCostly { others, gain });
    }
    let part_ms = request.prefill_ms() / participants.len() as f64;
    Ok(Placement {
        server: participants[0].id.clone(),
        helpers: participants[1..].iter().map(|c| c.id.clone()).collect(),
        holders,
        part_ms,
        first_ms: first_ms(&participants, part_ms),
        reason: Reason::Joint,
    })
}

/// Returns whether `servers` idle servers have enough memory for a prompt.
pub fn fits_jointly(prompt: &Prompt, profile: &Profile, servers: usize) -> bool {
    let memory = prompt.tokens.saturating_add(prompt.max_output).get() as f64;
    let max_parts = servers.min(MAX_HELPERS + 1) as f64;
    memory <= profile.memory.get() as f64 * FREE_FRACTION * max_parts
}

/// Returns whether the free memory of all servers together holds so many tokens.
pub fn has_free_memory(candidates: &[Candidate], profile: &Profile, tokens: Tokens) -> bool {
    let free = |c: &Candidate| profile.memory.get().saturating_sub(c.load.memory) as f64;
    let sum: f64 = candidates.iter().map(free).sum();
    sum * FREE_FRACTION >= tokens.get() as f64
}

/// Returns how many servers may take part in the prefill of a prompt.
pub fn max_participants(servers: usize) -> usize {
    servers.clamp(1, MAX_HELPERS + 1)
}

/// Returns how many tokens of the request a server can hold.
fn free_tokens(request: &Request<'_>, candidate: &Candidate) -> u64 {
    let free = request.profile.memory.get().saturating_sub(candidate.load.memory);
    (free as f64 * FREE_FRACTION) as u64
}

/// Returns the servers after the first that hold a part of the prompt, with the size of each part,
/// or `None` if their combined memory is too small.
fn holders(
    request: &Request<'_>,
    ranked: &[&Candidate],
) -> Option<Vec<(kumquattiller_base::runner::Id, Tokens)>> {
    let (first, others) = ranked.split_first()?;
    let mut remaining = request.memory().get().saturating_sub(free_tokens(request, first));
    let mut holders = Vec::new();
    for candidate in others.iter().take(MAX_HELPERS) {
        if remaining == 0 {
            break;
        }
        let part = free_tokens(request, candidate).min(remaining);
        holders.push((candidate.id.clone(), Tokens::new(part)));
        remaining -= part;
    }
    (remaining == 0).then_some(holders)
}

/// Returns the first `min_parts` servers, followed by the cheapest others for a total of `parts`.
fn participants<'a>(
    request: &Request<'_>,
    ranked: &[&'a Candidate],
    min_parts: usize,
    parts: usize,
) -> Vec<&'a Candidate> {
    let part_ms = request.prefill_ms() / parts as f64;
    let (required, others) = ranked.split_at(min_parts);
    let mut others = others.to_vec();
    let cost = |c: &Candidate| participant_cost(request, c, part_ms);
    others.sort_by(|a, b| cost(a).total_cmp(&cost(b)));
    required.iter().chain(others.iter().take(parts - min_parts)).copied().collect()
}

/// Cost of a placement, in units of request value.
struct Cost {
    /// Loss of the prompt itself.
    own: f64,
    /// Loss of all other requests.
    others: f64,
}

impl Cost {
    /// Returns the cost of a placement on `participants`.
    fn of(
        request: &Request<'_>,
        division: &Division<'_>,
        demand: &Demand,
        participants: &[&Candidate],
    ) -> Self {
        let part_ms = request.prefill_ms() / participants.len() as f64;
        let participants_cost: f64 =
            participants.iter().map(|c| participant_cost(request, c, part_ms)).sum();
        Self {
            own: request.wait_cost(first_ms(participants, part_ms)),
            others: participants_cost + blocked_loss(division, demand, participants, part_ms),
        }
    }

    fn sum(&self) -> f64 {
        self.own + self.others
    }
}

/// Returns the expected loss of prompts that arrive while the participants prefill their parts.
/// Long prompts can use another server of their division unless that division is fully utilized.
fn blocked_loss(
    division: &Division<'_>,
    demand: &Demand,
    participants: &[&Candidate],
    part_ms: f64,
) -> f64 {
    let in_short_division = |c: &&&Candidate| division.short.iter().any(|s| s.id == c.id);
    let short = participants.iter().filter(in_short_division).count() as f64;
    let long = participants.len() as f64 - short;
    let short_fraction = short / division.short.len().max(1) as f64;
    let long_fraction = long / division.long.len().max(1) as f64;
    let short_loss_per_s = demand.short_per_s * short_fraction;
    let utilization = demand.long_ms_per_s / 1e3 / division.long.len().max(1) as f64;
    let long_loss_per_s =
        demand.long_ms_per_s / 1e3 * VALUE_PER_PREFILL_S * long_fraction * utilization.min(1.0);
    (short_loss_per_s + long_loss_per_s) * part_ms / 1e3 * BLOCKED_LOSS
}

/// Returns the expected time until all participants have prefilled their parts, in milliseconds.
fn first_ms(participants: &[&Candidate], part_ms: f64) -> f64 {
    participants.iter().map(|c| c.part_end_ms(part_ms)).fold(0.0, f64::max)
}
