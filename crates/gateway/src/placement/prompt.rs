use std::time::Duration;

use kumquattiller_base::size::Tokens;

use crate::dialect::Prompt;
use crate::engine::Profile;
use crate::load::Demand;
use crate::placement::Candidate;
use crate::placement::Declined;
use crate::placement::Division;
use crate::placement::Placement;
use crate::placement::Reason;
use crate::placement::joint::place_joint;
use crate::placement::utility;

/// Reading time from which a prompt counts as long, in milliseconds: beside a stream with short
/// pauses it would make that stream late.
const LONG_PREFILL_MS: f64 = 125.0;
/// Most helpers of one prompt.
pub const MAX_HELPERS: usize = 16;
/// Reading time beside streams with short pauses that does no harm, in milliseconds.
const HARMLESS_PREFILL_MS: f64 = 110.0;
/// Cost of a wait of a second, in worth.
const WAIT_COST_PER_S: f64 = 0.3;
/// Cost of each request that a server has, in worth.
const REQUEST_COST: f64 = 0.004;
/// Cost of a server whose memory does not hold the request, in worth.
const NO_MEMORY_COST: f64 = 8.0;
/// Cost of a server without a free slot, in worth.
const NO_SLOT_COST: f64 = 3.0;
/// Cost of placing a short prompt on a server for long ones, in worth.
const WRONG_DIVISION_COST: f64 = 0.3;
/// Part of the short prompts that come while a server reads a long one and are late for it.
const DISPLACED_FRACTION: f64 = 0.3;
/// Servers of which a short prompt gets the cheapest.
const SAMPLE_SIZE: usize = 4;
/// Most that chance adds to the cost of a server for a long prompt, in worth.
const JITTER_COST: f64 = 0.1;
/// Cost of each server that takes part, in worth.
const PART_COST: f64 = 0.02;

/// Part of an engine's memory that one prompt takes at most without others' memory.
const ALONE_FRACTION: f64 = 0.97;

/// A prompt that is to be placed.
#[derive(Debug, Clone, Copy)]
pub struct Request<'a> {
    /// The prompt.
    pub prompt: &'a Prompt,
    /// Time within which its first event is on time.
    pub target_latency: Duration,
    /// Longest pause between events that is on time.
    pub target_gap: Duration,
    /// How the engines work.
    pub profile: &'a Profile,
}

/// Tells whether a prompt counts as long.
pub fn is_long(prompt: &Prompt, profile: &Profile) -> bool {
    profile.prefill_ms(prompt.tokens) > LONG_PREFILL_MS
}

/// Tells whether a prompt is too large for the memory of one engine.
pub fn needs_joint(prompt: &Prompt, profile: &Profile) -> bool {
    let memory = prompt.tokens.saturating_add(prompt.answer);
    memory.get() as f64 > profile.memory.get() as f64 * ALONE_FRACTION
}

/// Chooses the server of a prompt, and helpers where it is long.
///
/// Answers a load of short prompts whose streams allow short pauses, mixed with prompts whose
/// reading takes seconds. Each choice is priced by the worth that it is expected to cost: that of
/// the request itself when it is late, that of the streams beside which it is read, and that of
/// the short prompts that come meanwhile.
///
/// # Errors
///
/// Fails where there is no server, or no room for a prompt that several have to hold.
pub fn place_prompt(
    request: &Request<'_>,
    candidates: &[Candidate],
    demand: &Demand,
    unreported: f64,
) -> Result<Placement, Declined> {
    let division = Division::of(candidates, demand);
    if needs_joint(request.prompt, request.profile) {
        return place_joint(request, &division, demand);
    }
    let placement = if is_long(request.prompt, request.profile) {
        place_long(request, &division, demand)
    } else {
        place_short(request, &division, unreported)
    };
    placement.ok_or(Declined::NoServer)
}

impl Request<'_> {
    /// Returns how long one engine reads the prompt, in milliseconds.
    pub fn prefill_ms(&self) -> f64 {
        self.profile.prefill_ms(self.prompt.tokens)
    }

    /// Returns the memory that the prompt and its answer take.
    pub fn memory(&self) -> Tokens {
        self.prompt.tokens.saturating_add(self.prompt.answer)
    }

    /// Returns what the request loses when a server reads `part_ms` of it and writes its answer,
    /// and what it costs that server, in worth.
    fn cost(&self, candidate: &Candidate, part_ms: f64) -> f64 {
        let load = &candidate.load;
        let pass_ms = utility::pass_ms(self.profile, candidate, part_ms);
        let value = utility::request_value(self.prompt.tokens);
        let paused = utility::lateness(pass_ms, utility::millis(self.target_gap));
        let mut cost = value * paused + f64::from(load.requests) * REQUEST_COST;
        if load.memory + self.memory().get() > self.profile.memory.get() {
            cost += NO_MEMORY_COST;
        }
        if load.requests >= self.profile.slots {
            cost += NO_SLOT_COST;
        }
        cost
    }

    /// Returns what it loses when its prompt is read after `first_ms`, in worth.
    pub fn wait_cost(&self, first_ms: f64) -> f64 {
        let value = utility::request_value(self.prompt.tokens);
        value * utility::first_lateness(first_ms, utility::millis(self.target_latency))
            + first_ms / 1e3 * WAIT_COST_PER_S
    }
}

/// Chooses the server of a short prompt. `unseen` is how many requests the other daemons have
/// placed since they last told of theirs.
fn place_short(
    request: &Request<'_>,
    division: &Division<'_>,
    unreported: f64,
) -> Option<Placement> {
    let prefill_ms = request.prefill_ms();
    let cost = |c: &Candidate| {
        let first_ms = c.load.backlog_ms + prefill_ms;
        request.cost(c, prefill_ms)
            + request.wait_cost(first_ms)
            + utility::stream_loss(request.profile, c, prefill_ms)
    };
    let short = division.short.iter().map(|c| (*c, cost(c)));
    let long = division.long.iter().map(|c| (*c, cost(c) + WRONG_DIVISION_COST));
    let mut costs: Vec<(&Candidate, f64)> = short.chain(long).collect();
    costs.sort_by(|a, b| a.1.total_cmp(&b.1));
    let chosen = sample(&costs, unreported)?;
    Some(Placement {
        server: chosen.id.clone(),
        helpers: Vec::new(),
        holders: Vec::new(),
        part_ms: prefill_ms,
        first_ms: chosen.load.backlog_ms + prefill_ms,
        reason: Reason::ShortDivision,
    })
}

/// Returns the cheapest of a few servers drawn from the cheapest ones, as many as other daemons
/// may have chosen meanwhile: daemons that see the same loads do not all choose the same server.
fn sample<'a>(costs: &[(&'a Candidate, f64)], unreported: f64) -> Option<&'a Candidate> {
    let among = costs.len().min(1 + unreported.ceil() as usize);
    let draws = (0..SAMPLE_SIZE).map(|_| rand::random_range(0..among.max(1)));
    let first = if among <= SAMPLE_SIZE { 0 } else { draws.min().unwrap_or(0) };
    costs.get(first).map(|(c, _)| *c)
}

/// Chooses how many servers read a long prompt, and which.
fn place_long(
    request: &Request<'_>,
    division: &Division<'_>,
    demand: &Demand,
) -> Option<Placement> {
    let most = (division.long.len() + division.short.len()).min(MAX_HELPERS + 1);
    let options = (1..=most).filter_map(|parts| option(request, division, demand, parts));
    options.min_by(|a, b| a.1.total_cmp(&b.1)).map(|(placement, _)| placement)
}

/// Returns the best placement on `parts` servers and its cost.
fn option(
    request: &Request<'_>,
    division: &Division<'_>,
    demand: &Demand,
    parts: usize,
) -> Option<(Placement, f64)> {
    let part_ms = request.prefill_ms() / parts as f64;
    let displaced = displaced(division, demand, part_ms);
    let long = division.long.iter().map(|c| (*c, participant_cost(request, c, part_ms) + jitter()));
    let short = division.short.iter().map(|c| {
        let busy = c.load.backlog_ms + part_ms > HARMLESS_PREFILL_MS;
        (*c, participant_cost(request, c, part_ms) + jitter() + if busy { displaced } else { 0.0 })
    });
    let mut participants: Vec<(&Candidate, f64)> = long.chain(short).collect();
    participants.sort_by(|a, b| a.1.total_cmp(&b.1));
    participants.truncate(parts);
    let own_costs = participants.iter().map(|(c, _)| (*c, request.cost(c, part_ms) + jitter()));
    let (first, _) = own_costs.min_by(|a, b| a.1.total_cmp(&b.1))?;
    let wait = participants.iter().map(|(c, _)| c.load.backlog_ms).fold(0.0, f64::max);
    let first_ms = wait + part_ms;
    let read_cost: f64 = participants.iter().map(|(_, cost)| cost).sum();
    let cost = request.wait_cost(first_ms) + request.cost(first, part_ms) + read_cost;
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

/// Returns a small random cost, so that daemons that see the same loads choose differently.
fn jitter() -> f64 {
    rand::random::<f64>() * JITTER_COST
}

/// Returns what reading a part at a server costs: the streams there, and the wait.
pub fn participant_cost(request: &Request<'_>, candidate: &Candidate, part_ms: f64) -> f64 {
    utility::stream_loss(request.profile, candidate, part_ms)
        + candidate.load.backlog_ms / 1e3 * WAIT_COST_PER_S
        + PART_COST
}

/// Returns what the short prompts lose that come while one of their servers reads a long part.
fn displaced(division: &Division<'_>, demand: &Demand, part_ms: f64) -> f64 {
    let servers = division.short.len().max(1) as f64;
    demand.short_per_s / servers * part_ms / 1e3 * DISPLACED_FRACTION
}
