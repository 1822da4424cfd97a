use std::time::Duration;

use kumquattiller_base::size::Tokens;

use crate::dialect::Prompt;
use crate::engine::Profile;
use crate::load::Demand;
use crate::placement::Candidate;
use crate::placement::CostBound;
use crate::placement::Declined;
use crate::placement::Division;
use crate::placement::Placement;
use crate::placement::Reason;
use crate::placement::holder::place_at_holder;
use crate::placement::joint::place_joint;
use crate::placement::utility;

/// Prefill time above which a prompt counts as long, in milliseconds. A longer prefill makes
/// interactive streams on the same server late.
const LONG_PREFILL_MS: f64 = 125.0;
/// Maximum number of helpers for one prompt.
pub const MAX_HELPERS: usize = 16;
/// Prefill time that does not make interactive streams late, in milliseconds.
pub const HARMLESS_PREFILL_MS: f64 = 110.0;
/// Cost of one second of waiting, in units of request value.
const WAIT_COST_PER_S: f64 = 0.3;
/// Cost of each request in flight at a server, in units of request value.
const REQUEST_COST: f64 = 0.004;
/// Cost of a server without enough free memory for the request, in units of request value.
const NO_MEMORY_COST: f64 = 8.0;
/// Cost of a server without a free slot, in units of request value.
const NO_SLOT_COST: f64 = 3.0;
/// Largest cost of placing a short prompt on a server for long prompts, in units of request value.
const WRONG_DIVISION_COST: f64 = 0.3;
/// Expected loss per short prompt that arrives during a long prefill: the fraction of such prompts
/// that become late.
const DISPLACED_LOSS: f64 = 0.3;
/// Servers of the long division kept for each one that its average demand occupies: long prompts
/// arrive in bursts, and each takes several servers. The others are lent for less than
/// [`WRONG_DIVISION_COST`], the last by rank first.
const LONG_HEADROOM: f64 = 8.0;
/// Cost of a part of a long prompt on the last server of the long division by rank, in units of
/// request value. It keeps those servers free that are lent first.
const RANK_COST: f64 = 0.1;
/// Factor for the delay that two short prompts at one server cause: each delays the other.
const MUTUAL_DELAY: f64 = 2.0;
/// Number of servers of a division that are considered for a long prompt: several times the most
/// that take part, so that daemons that see the same loads can choose differently.
const MAX_CONSIDERED: usize = 4 * (MAX_HELPERS + 1);
/// Upper bound of the random cost added to a server for a long prompt, in units of request value.
const JITTER_COST: f64 = 0.1;
/// Cost of each participating server, in units of request value.
const PARTICIPANT_COST: f64 = 0.02;

/// Fraction of an engine's memory that a prompt and its output may use on a single server.
const SINGLE_ENGINE_FRACTION: f64 = 0.97;

/// A prompt to be placed.
#[derive(Debug, Clone, Copy)]
pub struct Request<'a> {
    /// The prompt.
    pub prompt: &'a Prompt,
    /// Time until which the first event is on time.
    pub target_latency: Duration,
    /// Longest gap between events for the stream to be on time.
    pub target_gap: Duration,
    /// Performance profile of the engines.
    pub profile: &'a Profile,
}

/// Returns whether a prompt counts as long.
pub fn is_long(prompt: &Prompt, profile: &Profile) -> bool {
    profile.prefill_ms(prompt.tokens) > LONG_PREFILL_MS
}

/// Returns whether a prompt is too large for the memory of one engine.
pub fn needs_joint(prompt: &Prompt, profile: &Profile) -> bool {
    let memory = prompt.tokens.saturating_add(prompt.max_output);
    memory.get() as f64 > profile.memory.get() as f64 * SINGLE_ENGINE_FRACTION
}

/// Chooses the server of a prompt, and its helpers if it is long.
///
/// The expected load mixes short prompts of interactive streams with prompts whose prefill takes
/// seconds. The cost of a placement is the request value that it is expected to lose: by lateness
/// of the request itself, of the streams on the same servers, and of short prompts that arrive
/// during the prefill. `unreported` is the estimated number of requests that other daemons have
/// placed since their last report.
///
/// # Errors
///
/// Returns an error if there is no server, or if a prompt that needs several servers finds too
/// little memory or would cost other requests too much.
pub fn place_prompt(
    request: &Request<'_>,
    candidates: &[Candidate],
    demand: &Demand,
    unreported: f64,
) -> Result<Placement, Declined> {
    place_within(request, candidates, demand, unreported, CostBound::USUAL)
}

/// Chooses the servers like [`place_prompt`]. `bound` limits what a prompt that exceeds the memory
/// of one engine may cost other requests.
///
/// # Errors
///
/// Returns an error like [`place_prompt`].
pub fn place_within(
    request: &Request<'_>,
    candidates: &[Candidate],
    demand: &Demand,
    unreported: f64,
    bound: CostBound,
) -> Result<Placement, Declined> {
    let division = Division::of(candidates, demand);
    if needs_joint(request.prompt, request.profile) {
        return place_joint(request, &division, demand, bound);
    }
    let placement = if is_long(request.prompt, request.profile) {
        place_long(request, &division, demand)
    } else {
        place_short(request, &division, demand, unreported)
    };
    placement.ok_or(Declined::NoServer)
}

impl Request<'_> {
    /// Returns the prefill time of the prompt on one engine, in milliseconds.
    pub fn prefill_ms(&self) -> f64 {
        self.profile.prefill_ms(self.prompt.tokens)
    }

    /// Returns the prefill time of the prompt on a server that may still hold its beginning, in
    /// milliseconds.
    pub fn prefill_ms_at(&self, candidate: &Candidate) -> f64 {
        (self.prefill_ms() - candidate.saved_ms).max(0.0)
    }

    /// Returns the memory needed for the prompt and its output.
    pub fn memory(&self) -> Tokens {
        self.prompt.tokens.saturating_add(self.prompt.max_output)
    }

    /// Returns the cost of running the request on a server that also prefills `part_ms` of it, in
    /// units of request value: late events of its own stream, and the use of the server's
    /// resources.
    pub(super) fn cost(&self, candidate: &Candidate, part_ms: f64) -> f64 {
        let load = &candidate.load;
        let pass_ms = utility::pass_ms(self.profile, candidate, part_ms);
        let value = utility::request_value(self.prompt.tokens);
        let gap_loss = utility::lateness(pass_ms, utility::millis(self.target_gap));
        let mut cost = value * gap_loss
            + f64::from(load.requests) * REQUEST_COST
            + value * candidate.ramp_cost;
        if load.memory + self.memory().get() > self.profile.memory.get() {
            cost += NO_MEMORY_COST;
        }
        if load.requests >= candidate.slots {
            cost += NO_SLOT_COST;
        }
        cost
    }

    /// Returns the cost of completing the prefill after `first_ms`, in units of request value.
    pub fn wait_cost(&self, first_ms: f64) -> f64 {
        let value = utility::request_value(self.prompt.tokens);
        value * utility::first_lateness(first_ms, utility::millis(self.target_latency))
            + first_ms / 1e3 * WAIT_COST_PER_S
    }
}

/// Chooses the server of a short prompt. `unreported` is the estimated number of requests that
/// other daemons have placed since their last report.
fn place_short(
    request: &Request<'_>,
    division: &Division<'_>,
    demand: &Demand,
    unreported: f64,
) -> Option<Placement> {
    let cost = |c: &Candidate| {
        let prefill_ms = request.prefill_ms_at(c);
        let first_ms = utility::first_event_ms(request.profile, c, prefill_ms);
        request.cost(c, prefill_ms)
            + request.wait_cost(first_ms)
            + utility::stream_loss(request.profile, c, prefill_ms)
            + utility::waiting_loss(c, prefill_ms)
    };
    let short = division.short.iter().map(|c| (*c, cost(c)));
    let long = division.long.iter().enumerate();
    let long = long.map(|(n, c)| (*c, cost(c) + lending_price(n, demand)));
    let mut costs: Vec<(&Candidate, f64)> = short.chain(long).collect();
    costs.sort_by(|a, b| a.1.total_cmp(&b.1));
    let urgency = utility::first_urgency(request.prompt.tokens, request.target_latency);
    let prompt_cost = urgency * request.prefill_ms() * MUTUAL_DELAY;
    let chosen = draw_cheapest(&costs, unreported, prompt_cost)?;
    let prefill_ms = request.prefill_ms_at(chosen);
    Some(Placement {
        server: chosen.id.clone(),
        helpers: Vec::new(),
        holders: Vec::new(),
        part_ms: prefill_ms,
        first_ms: utility::first_event_ms(request.profile, chosen, prefill_ms),
        reason: Reason::ShortDivision,
    })
}

/// Returns the cost of placing a short prompt on the server of the long division that follows
/// `before` others by rank, in units of request value. It follows the demand for long prompts.
fn lending_price(before: usize, demand: &Demand) -> f64 {
    let needed = demand.long_ms_per_s / 1e3 * LONG_HEADROOM;
    WRONG_DIVISION_COST * (needed / (before + 1) as f64).min(1.0)
}

/// Chooses among servers in ascending order of cost. It is assumed that the unreported prompts fill
/// up the cheapest servers to the same cost, each adding `prompt_cost` to its server; a server is
/// drawn with a probability proportional to its part of them. So daemons that see the same loads
/// choose as one daemon would that knew them all.
fn draw_cheapest<'a>(
    costs: &[(&'a Candidate, f64)],
    unreported: f64,
    prompt_cost: f64,
) -> Option<&'a Candidate> {
    let mut sum = unreported * prompt_cost;
    let mut level = f64::INFINITY;
    let filled = costs.iter().enumerate().take_while(|(n, (_, cost))| {
        let below = *cost < level;
        if below {
            sum += cost;
            level = sum / (n + 1) as f64;
        }
        below
    });
    let filled = filled.count();
    let mut draw = rand::random::<f64>() * unreported * prompt_cost;
    for (candidate, cost) in costs.iter().take(filled) {
        draw -= level - cost;
        if draw <= 0.0 {
            return Some(candidate);
        }
    }
    costs.first().map(|(c, _)| *c)
}

/// Chooses how many servers prefill a long prompt, and which.
fn place_long(
    request: &Request<'_>,
    division: &Division<'_>,
    demand: &Demand,
) -> Option<Placement> {
    let max_parts = (division.long.len() + division.short.len()).min(MAX_HELPERS + 1);
    let min_part_ms = request.prefill_ms() / max_parts.max(1) as f64;
    let considered = Division {
        long: cheapest(request, &division.long, min_part_ms),
        short: cheapest(request, &division.short, min_part_ms),
    };
    let arrivals_per_s = demand.short_per_s / division.short.len().max(1) as f64;
    let options = (1..=max_parts)
        .filter_map(|parts| best_with_parts(request, &considered, arrivals_per_s, parts));
    let servers = division.long.iter().chain(&division.short);
    let holders = servers.filter(|c| c.saved_ms > 0.0).map(|c| place_at_holder(request, c));
    let options = options.chain(holders);
    options.min_by(|a, b| a.1.total_cmp(&b.1)).map(|(placement, _)| placement)
}

/// Returns the servers that are considered for a part of a prompt, by ascending rank: all of a small
/// division, the cheapest ones of a large one.
fn cheapest<'a>(
    request: &Request<'_>,
    servers: &[&'a Candidate],
    part_ms: f64,
) -> Vec<&'a Candidate> {
    if servers.len() <= MAX_CONSIDERED {
        return servers.to_vec();
    }
    let mut costs: Vec<(&Candidate, f64)> =
        servers.iter().map(|c| (*c, participant_cost(request, c, part_ms) + jitter())).collect();
    costs.select_nth_unstable_by(MAX_CONSIDERED, |a, b| a.1.total_cmp(&b.1));
    let mut considered: Vec<&Candidate> = costs[..MAX_CONSIDERED].iter().map(|(c, _)| *c).collect();
    considered.sort_by_key(|c| c.rank);
    considered
}

/// Returns the cheapest placement on `parts` servers and its cost. `arrivals_per_s` is the rate of
/// short prompts at each of their servers; those that arrive while it prefills a part are lost.
fn best_with_parts(
    request: &Request<'_>,
    division: &Division<'_>,
    arrivals_per_s: f64,
    parts: usize,
) -> Option<(Placement, f64)> {
    let part_ms = request.prefill_ms() / parts as f64;
    let displaced_loss = arrivals_per_s * part_ms / 1e3 * DISPLACED_LOSS;
    let rank_cost = RANK_COST / division.long.len().max(1) as f64;
    let long = division.long.iter().enumerate().map(|(n, c)| {
        (*c, participant_cost(request, c, part_ms) + jitter() + rank_cost * n as f64)
    });
    let short = division.short.iter().map(|c| {
        let busy = c.backlog_ms() + part_ms > HARMLESS_PREFILL_MS;
        (
            *c,
            participant_cost(request, c, part_ms)
                + jitter()
                + if busy { displaced_loss } else { 0.0 },
        )
    });
    let mut participants: Vec<(&Candidate, f64)> = long.chain(short).collect();
    participants.sort_by(|a, b| a.1.total_cmp(&b.1));
    participants.truncate(parts);
    let own_costs = participants.iter().map(|(c, _)| (*c, request.cost(c, part_ms) + jitter()));
    let (first, _) = own_costs.min_by(|a, b| a.1.total_cmp(&b.1))?;
    let first_ms = participants.iter().map(|(c, _)| c.part_end_ms(part_ms)).fold(0.0, f64::max);
    let participants_cost: f64 = participants.iter().map(|(_, cost)| cost).sum();
    let cost = request.wait_cost(first_ms) + request.cost(first, part_ms) + participants_cost;
    let helpers = participants.iter().filter(|(c, _)| c.id != first.id).map(|(c, _)| c.id.clone());
    let placement = Placement {
        server: first.id.clone(),
        helpers: helpers.collect(),
        holders: Vec::new(),
        part_ms,
        first_ms,
        reason: if part_ms <= HARMLESS_PREFILL_MS {
            Reason::SmallParts
        } else {
            Reason::LongDivision
        },
    };
    Some((placement, cost))
}

/// Returns a small random cost, which makes daemons that see the same loads choose differently.
fn jitter() -> f64 {
    rand::random::<f64>() * JITTER_COST
}

/// Returns the cost of prefilling a part on a server: delays of its streams and of the prompts that
/// wait there, the wait for its backlog, its slow start, and the delay of the prompt by a server of
/// slower pace.
pub fn participant_cost(request: &Request<'_>, candidate: &Candidate, part_ms: f64) -> f64 {
    let slower_ms = part_ms * (candidate.pace.factor() - 1.0);
    let urgency = utility::first_urgency(request.prompt.tokens, request.target_latency);
    utility::stream_loss(request.profile, candidate, part_ms)
        + utility::waiting_loss(candidate, part_ms)
        + candidate.backlog_ms() / 1e3 * WAIT_COST_PER_S
        + slower_ms * urgency
        + candidate.ramp_cost
        + PARTICIPANT_COST
}
