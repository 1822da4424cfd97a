//! The admission queue: what enters it, and how its members are placed.

use std::time::Duration;

use kumquattiller_base::account::Rank;
use kumquattiller_base::daemon;
use kumquattiller_base::runner;
use kumquattiller_base::size::Bytes;
use kumquattiller_base::size::Tokens;
use kumquattiller_base::time::Moment;
use kumquattiller_routing::queue::Consumer;
use kumquattiller_routing::queue::Entry;
use kumquattiller_routing::queue::Identity;
use kumquattiller_routing::queue::Patience;
use kumquattiller_routing::queue::Pool;

use crate::Gateway;
use crate::dialect::Prompt;
use crate::engine::Profile;
use crate::http::Request;
use crate::load::max_report_age;
use crate::placement::CostBound;
use crate::placement::Declined;
use crate::placement::Placement;
use crate::placement::fits_jointly;
use crate::placement::has_free_memory;
use crate::placement::max_participants;
use crate::placement::needs_joint;
use crate::placement::request_value;
use crate::queue::Shared;
use crate::queue::WAIT_FRACTION;

/// Multiple of the prefill time of its part that a prompt needs on a server that computes other
/// prompts at the same time.
const BUSY_PREFILL_FACTOR: f64 = 2.0;

impl Gateway {
    /// Returns the admission queue.
    pub const fn queue(&self) -> &Shared {
        &self.queue
    }

    /// Returns whether a request that has no room now may fit once other requests have ended.
    pub fn may_fit_later(&self, request: &Request) -> bool {
        match (&request.service.engine, &request.metadata.prompt) {
            (Some(profile), Some(prompt)) => {
                fits_jointly(prompt, profile, self.serving_count(request))
            }
            _ => false,
        }
    }

    /// Returns the entry of a request for the queue, or `None` if the requests for its service do not
    /// differ in priority, if it cannot be declined for lack of room, or if it would not fit on idle
    /// servers either.
    pub fn queue_entry(&self, request: &Request) -> Option<Entry> {
        let (Some(profile), Some(prompt)) = (&request.service.engine, &request.metadata.prompt)
        else {
            return None;
        };
        let servers = self.serving_count(request);
        let is_ordered = self.config().is_some_and(|c| c.has_priorities(&request.service.name));
        if !is_ordered || !needs_joint(prompt, profile) || !fits_jointly(prompt, profile, servers) {
            return None;
        }
        let whole = request.features.iter().find(|feature| feature.is_whole());
        let identity = whole.filter(|_| request.account.is_some());
        let prefill = profile.prefill_ms(prompt.tokens) / 1e3;
        let run_time = run_time(profile, prompt, servers);
        Some(Entry {
            pool: Pool::of(&request.service.name),
            consumer: Consumer::of(request.account.as_ref()),
            identity: identity.map(|whole| Identity::of(whole.fingerprint, prompt.tokens)),
            urgency: Rank::new(request.priority),
            footprint: prompt.tokens.saturating_add(prompt.max_output),
            work: Duration::from_secs_f64(prefill / servers.max(1) as f64),
            value: request_value(prompt.tokens),
            body: Bytes::new(request.body.len() as u64),
            in_time_until: request.arrived + request.route.target_latency.mul_f64(WAIT_FRACTION),
            latest_start: request.deadline - run_time,
            deadline: request.deadline,
        })
    }

    /// Chooses the servers for a request of the queue, excluding those in `tried`. `reserve` is the
    /// memory that must remain for others.
    ///
    /// # Errors
    ///
    /// Fails if the request cannot be placed.
    pub fn place_from_queue(
        &self,
        request: &Request,
        tried: &[runner::Id],
        patience: Patience,
        reserve: Tokens,
    ) -> Result<Placement, Declined> {
        let now = self.now();
        let candidates = self.candidates(request, tried, now);
        if candidates.is_empty() && self.is_all_evacuated(request) {
            return Err(Declined::Evacuated);
        }
        if let (Some(profile), Some(prompt)) = (&request.service.engine, &request.metadata.prompt)
            && reserve > Tokens::ZERO
        {
            let needed = prompt.tokens.saturating_add(prompt.max_output).saturating_add(reserve);
            if !has_free_memory(&candidates, profile, needed) {
                return Err(Declined::NoMemory);
            }
        }
        let bound = match patience {
            Patience::Waited(_) | Patience::Exhausted => CostBound::USUAL,
            Patience::Promised => CostBound::Gain(1.0),
        };
        let placement = self.choose(request, &candidates, now, bound)?;
        self.count_against_limits(&placement);
        Ok(placement)
    }

    /// Returns the time until half of the servers have computed the prompts sent to them.
    pub fn room_in(&self, request: &Request) -> Duration {
        let candidates = self.candidates(request, &[], self.now());
        let mut backlogs: Vec<f64> = candidates.iter().map(|c| c.load.backlog_ms).collect();
        backlogs.sort_by(f64::total_cmp);
        let median_ms = backlogs.get(backlogs.len() / 2).copied().unwrap_or_default();
        Duration::from_secs_f64(median_ms / 1e3)
    }

    /// Lets waiting requests try again, because a request has ended or a server has joined.
    pub fn wake_queue(&self) {
        self.queue.wake(self.now());
    }

    /// Removes expired state of the queue.
    pub(super) fn expire_queue(&self, now: Moment) {
        let peers = self.peers.borrow();
        let known: Vec<&daemon::Id> = peers.serving(now).collect();
        self.queue.expire(now, max_report_age(peers.len()), |id| known.contains(&id));
    }
}

/// Returns the time from the start of a prompt on busy servers to the end of its answer.
fn run_time(profile: &Profile, prompt: &Prompt, servers: usize) -> Duration {
    let part_ms = profile.prefill_ms(prompt.tokens) / max_participants(servers) as f64;
    let decode_ms = prompt.max_output.get() as f64 * profile.step_ms;
    Duration::from_secs_f64((part_ms * BUSY_PREFILL_FACTOR + decode_ms) / 1e3)
}
