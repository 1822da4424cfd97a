use std::cmp::Reverse;

use kumquattiller_base::size::Tokens;

use crate::dialect::Prompt;
use crate::engine::Profile;
use crate::load::Demand;
use crate::placement::Candidate;
use crate::placement::Declined;
use crate::placement::Division;
use crate::placement::Placement;
use crate::placement::Reason;
use crate::placement::Request;
use crate::placement::prompt::MAX_HELPERS;
use crate::placement::prompt::participant_cost;
use crate::placement::utility;

/// Part of a server's free memory that a prompt takes: what is known of it is late.
const FREE_FRACTION: f64 = 0.85;

/// Part of what a prompt gains that its placement costs others at most. What is foreseen is less
/// than all that it harms: prompts come later that find its servers reading.
const MOST_COST: f64 = 0.55;
/// What a second of reading long prompts is worth.
const VALUE_PER_PREFILL_S: f64 = 6.5;
/// Part of their worth that prompts lose whose servers are blocked when they come.
const BLOCKED_LOSS: f64 = 0.75;

/// Places a prompt that no engine's memory holds on several that hold it together.
///
/// Answers the few prompts of over an engine's memory, whose reading takes ten seconds of an
/// engine and more. The servers with most free memory hold it, and others help read it.
///
/// # Errors
///
/// Fails where the servers have no room, or the placement costs others too much.
pub fn place_joint(
    request: &Request<'_>,
    division: &Division<'_>,
    demand: &Demand,
) -> Result<Placement, Declined> {
    let mut order: Vec<&Candidate> = division.long.iter().chain(&division.short).copied().collect();
    order.sort_by_key(|c| (Reverse(free(request, c)), c.load.requests, c.rank));
    let holders = holders(request, &order).ok_or(Declined::NoRoom)?;
    let fewest = holders.len() + 1;
    let most = order.len().min(MAX_HELPERS + 1);
    let options = (fewest..=most).map(|parts| {
        let participants = participants(request, &order, fewest, parts);
        let cost = Cost::of(request, division, demand, &participants);
        (participants, cost)
    });
    let least = options.min_by(|a, b| a.1.sum().total_cmp(&b.1.sum()));
    let (participants, Cost { own, others }) = least.ok_or(Declined::NoRoom)?;
    let gain = utility::request_value(request.prompt.tokens) - own;
    if others > gain * MOST_COST {
        return Err(Declined::TooCostly { others, gain });
    }
    let part_ms = request.prefill_ms() / participants.len() as f64;
    Ok(Placement {
        server: participants[0].id.clone(),
        helpers: participants[1..].iter().map(|c| c.id.clone()).collect(),
        holders,
        part_ms,
        first_ms: longest_wait(&participants) + part_ms,
        reason: Reason::Joint,
    })
}

/// Tells whether so many servers with nothing else to do would hold a prompt.
pub fn fits_jointly(prompt: &Prompt, profile: &Profile, servers: usize) -> bool {
    let memory = prompt.tokens.saturating_add(prompt.answer).get() as f64;
    let most = servers.min(MAX_HELPERS + 1) as f64;
    memory <= profile.memory.get() as f64 * FREE_FRACTION * most
}

/// Returns the tokens that a server has room for.
fn free(request: &Request<'_>, candidate: &Candidate) -> u64 {
    let free = request.profile.memory.get().saturating_sub(candidate.load.memory);
    (free as f64 * FREE_FRACTION) as u64
}

/// Returns which servers after the first hold how much; none where they have no room together.
fn holders(
    request: &Request<'_>,
    order: &[&Candidate],
) -> Option<Vec<(kumquattiller_base::runner::Id, Tokens)>> {
    let (first, others) = order.split_first()?;
    let mut left = request.memory().get().saturating_sub(free(request, first));
    let mut holders = Vec::new();
    for candidate in others.iter().take(MAX_HELPERS) {
        if left == 0 {
            break;
        }
        let part = free(request, candidate).min(left);
        holders.push((candidate.id.clone(), Tokens::new(part)));
        left -= part;
    }
    (left == 0).then_some(holders)
}

/// Returns the first `fewest` servers and those that read along at the least cost.
fn participants<'a>(
    request: &Request<'_>,
    order: &[&'a Candidate],
    fewest: usize,
    parts: usize,
) -> Vec<&'a Candidate> {
    let part_ms = request.prefill_ms() / parts as f64;
    let (holding, others) = order.split_at(fewest);
    let mut others = others.to_vec();
    let cost = |c: &Candidate| participant_cost(request, c, part_ms);
    others.sort_by(|a, b| cost(a).total_cmp(&cost(b)));
    holding.iter().chain(others.iter().take(parts - fewest)).copied().collect()
}

/// What a placement costs, in worth.
struct Cost {
    /// What the prompt itself loses.
    own: f64,
    /// What all others lose.
    others: f64,
}

impl Cost {
    /// Returns what a placement on `readers` costs.
    fn of(
        request: &Request<'_>,
        division: &Division<'_>,
        demand: &Demand,
        participants: &[&Candidate],
    ) -> Self {
        let part_ms = request.prefill_ms() / participants.len() as f64;
        let harm: f64 = participants.iter().map(|c| participant_cost(request, c, part_ms)).sum();
        Self {
            own: request.wait_cost(longest_wait(participants) + part_ms),
            others: harm + blocked(division, demand, participants, part_ms),
        }
    }

    fn sum(&self) -> f64 {
        self.own + self.others
    }
}

/// Returns what the prompts lose that come while their servers read a part. Long ones that find
/// a server reading go to another as long as the servers for long prompts have time left.
fn blocked(
    division: &Division<'_>,
    demand: &Demand,
    participants: &[&Candidate],
    part_ms: f64,
) -> f64 {
    let is_short = |c: &&&Candidate| division.short.iter().any(|s| s.id == c.id);
    let short = participants.iter().filter(is_short).count() as f64;
    let long = participants.len() as f64 - short;
    let short_part = short / division.short.len().max(1) as f64;
    let long_part = long / division.long.len().max(1) as f64;
    let lost_short = demand.short_per_s * short_part;
    let busy = demand.long_ms_per_s / 1e3 / division.long.len().max(1) as f64;
    let lost_long = demand.long_ms_per_s / 1e3 * VALUE_PER_PREFILL_S * long_part * busy.min(1.0);
    (lost_short + lost_long) * part_ms / 1e3 * BLOCKED_LOSS
}

fn longest_wait(participants: &[&Candidate]) -> f64 {
    participants.iter().map(|c| c.load.backlog_ms).fold(0.0, f64::max)
}
