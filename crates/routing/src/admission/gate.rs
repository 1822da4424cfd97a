use std::collections::HashMap;
use std::time::Duration;

use kumquattiller_base::error::Kind;
use kumquattiller_base::request::Id;
use kumquattiller_base::size::Tokens;
use kumquattiller_base::time::Moment;

use crate::admission::Action;
use crate::admission::Item;
use crate::admission::Limits;
use crate::admission::Refusal;
use crate::admission::Verdict;
use crate::admission::estimate;
use crate::admission::order::Waiting;
use crate::band::Band;
use crate::load::Load;

/// Shortest retry delay of a refusal.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Longest retry delay of a refusal.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// Retry delay while the runner is draining; the retry should go to another runner.
const DRAINING_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Multiple of the measured slowdown by which admission scales estimated run times.
const SAFETY_FACTOR: f64 = 5.0;

/// Largest measured slowdown that is recorded for a request.
const MAX_SLOWDOWN: f64 = 20.0;

/// Number of finished requests from which on the measured slowdown is used.
const MIN_SAMPLES: u32 = 8;

/// Smallest weight of one request in the moving average of the slowdown.
const SLOWDOWN_WEIGHT: f64 = 0.02;

/// A request that the engine runs.
#[derive(Debug, Clone, Copy)]
struct Running {
    item: Item,
    started: Moment,
    expected_end: Moment,
    is_prefilling: bool,
}

/// Decides when requests start on one engine.
#[derive(Debug, Clone)]
pub struct Gate {
    limits: Limits,
    running: HashMap<Id, Running>,
    waiting: Vec<Waiting>,
    held: Tokens,
    backlog: Tokens,
    long_backlog: Tokens,
    draining: bool,
    /// Moving average of the run times of requests, relative to [`estimate::busy_time`].
    slowdown: f64,
    /// Number of run times in `slowdown`.
    samples: u32,
}

impl Gate {
    /// Creates the gate of an idle engine.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            running: HashMap::new(),
            waiting: Vec::new(),
            held: Tokens::ZERO,
            backlog: Tokens::ZERO,
            long_backlog: Tokens::ZERO,
            draining: false,
            slowdown: 1.0,
            samples: 0,
        }
    }

    /// Decides whether to start, queue or refuse an arriving request.
    pub fn arrive(&mut self, item: Item, now: Moment) -> Verdict {
        if self.draining {
            return refuse(Kind::Leaving, DRAINING_RETRY_AFTER);
        }
        if item.footprint() > self.limits.capacity {
            return refuse(Kind::PromptTooLarge, MAX_RETRY_AFTER);
        }
        if self.can_start(&item) && !self.would_overtake_aged(&item, now) {
            return match self.slack(&item, now) {
                Duration::ZERO if !self.has_few_samples() => {
                    refuse(Kind::Overloaded, MIN_RETRY_AFTER)
                }
                _ => Verdict::Admit { priority: self.start(item, now) },
            };
        }
        self.enqueue(item, now)
    }

    /// Records that the prompt of a running request is computed, and returns the resulting actions.
    pub fn prefilled(&mut self, request: Id, now: Moment) -> Vec<Action> {
        if let Some(running) = self.running.get_mut(&request)
            && running.is_prefilling
        {
            running.is_prefilling = false;
            let item = running.item;
            self.remove_from_backlog(&item);
        }
        self.advance(now)
    }

    /// Records that a request ended, was cancelled or lost, and returns the resulting actions.
    pub fn finished(&mut self, request: Id, now: Moment) -> Vec<Action> {
        self.waiting.retain(|w| w.item.request != request);
        if let Some(running) = self.running.remove(&request) {
            self.held = self.held.saturating_sub(running.item.footprint());
            if running.is_prefilling {
                self.remove_from_backlog(&running.item);
            } else if !running.item.is_reservation {
                self.record_run_time(&running, now);
            }
        }
        self.advance(now)
    }

    /// Admits queued requests that may start now, refuses those that can no longer finish in time,
    /// and expires reservations.
    pub fn advance(&mut self, now: Moment) -> Vec<Action> {
        let mut actions = Vec::new();
        self.expire(now, &mut actions);
        self.waiting.sort_by_key(|w| w.key(now));
        let mut index = 0;
        while let Some(waiting) = self.waiting.get(index).copied() {
            if self.can_start(&waiting.item) {
                self.waiting.remove(index);
                let priority = self.start(waiting.item, now);
                actions.push(Action::Admit { request: waiting.item.request, priority });
                continue;
            }
            if waiting.is_aged(now) {
                break;
            }
            index += 1;
        }
        actions
    }

    /// Removes all requests, for use after the engine has crashed. Measured run times are kept.
    pub fn clear(&mut self) {
        let (slowdown, samples) = (self.slowdown, self.samples);
        *self = Self { slowdown, samples, draining: self.draining, ..Self::new(self.limits) };
    }

    /// Refuses new requests from now on. Queued and running ones continue.
    pub const fn drain(&mut self) {
        self.draining = true;
    }

    /// Returns the load to report to entry daemons.
    pub fn load(&self) -> Load {
        let waiting = self.waiting.iter().map(|w| w.item);
        let reserved = self.running.values().filter(|r| r.item.is_reservation);
        let reserved = reserved.fold(Tokens::ZERO, |sum, r| sum.saturating_add(r.item.prompt));
        let needed = waiting.clone().fold(Tokens::ZERO, |sum, i| sum.saturating_add(i.footprint()));
        let prompts = waiting.clone().fold(Tokens::ZERO, |sum, i| sum.saturating_add(i.prompt));
        let long = waiting.filter(|i| i.band() != Band::UpTo8k);
        let long = long.fold(Tokens::ZERO, |sum, i| sum.saturating_add(i.prompt));
        Load {
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            held: self.held.saturating_add(needed),
            capacity: self.limits.capacity,
            backlog: self.backlog.saturating_add(prompts).saturating_add(reserved),
            long_backlog: self.long_backlog.saturating_add(long).saturating_add(reserved),
            draining: self.draining,
        }
    }

    /// Returns the KV memory reserved for running requests and reservations.
    pub const fn held(&self) -> Tokens {
        self.held
    }

    /// Returns the number of queued requests.
    pub const fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the limits that the gate enforces.
    pub const fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Queues a request, or refuses it if it could not finish in time or the queue is full.
    fn enqueue(&mut self, item: Item, now: Moment) -> Verdict {
        let slack = self.slack(&item, now);
        let wait = self.expected_wait(&item, now);
        if wait.is_none_or(|wait| wait > slack) || self.waiting.len() >= self.limits.max_waiting {
            let excess = wait.map_or(MAX_RETRY_AFTER, |wait| wait.saturating_sub(slack));
            return refuse(Kind::Overloaded, excess.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER));
        }
        self.waiting.push(Waiting::new(item, slack, now));
        Verdict::Hold
    }

    /// Returns how long a request may wait for memory and still finish in time. The time for
    /// prompts that the engine computes before it is already subtracted.
    fn slack(&self, item: &Item, now: Moment) -> Duration {
        let ahead = match item.band() {
            Band::UpTo8k => self.backlog.saturating_sub(self.long_backlog),
            _ => self.backlog,
        };
        let ahead = if item.is_reservation { Tokens::ZERO } else { ahead };
        let prefill = self.limits.pace.prefill_time(ahead) * 2;
        let busy = estimate::busy_time(item, &self.limits) + prefill;
        item.deadline.since(now).saturating_sub(busy.mul_f64(self.safety_factor()))
    }

    /// Returns the expected wait for memory and for the prompts ahead, or `None` if running
    /// requests would not release enough memory.
    fn expected_wait(&self, item: &Item, now: Moment) -> Option<Duration> {
        let is_ahead = |w: &&Waiting| w.is_aged(now) || w.item.band() == item.band();
        let ahead = self.waiting.iter().filter(is_ahead).map(|w| w.item);
        let needed =
            ahead.clone().fold(item.footprint(), |sum, w| sum.saturating_add(w.footprint()));
        let prompts = ahead.fold(self.backlog, |sum, w| sum.saturating_add(w.prompt));
        let free = self.usable_capacity(item).saturating_sub(self.held);
        let releases = self.running.values().map(|r| (r.expected_end, r.item.footprint()));
        let memory = estimate::memory_wait(needed.saturating_sub(free), now, releases)?;
        let prefill = match item.band() {
            Band::UpTo8k => Duration::ZERO,
            _ => self.limits.pace.prefill_time(prompts) * 2,
        };
        Some(memory.max(prefill))
    }

    /// Starts a request and returns its engine priority.
    fn start(&mut self, item: Item, now: Moment) -> u32 {
        let expected_end = if item.is_reservation {
            item.deadline
        } else {
            now + estimate::busy_time(&item, &self.limits).mul_f64(self.slowdown)
        };
        let is_prefilling = !item.is_reservation;
        if is_prefilling {
            self.add_to_backlog(&item);
        }
        self.held = self.held.saturating_add(item.footprint());
        self.running
            .insert(item.request, Running { item, started: now, expected_end, is_prefilling });
        item.band().priority()
    }

    /// Returns whether memory and the bound on long prefill allow a request to start.
    fn can_start(&self, item: &Item) -> bool {
        let fits = self.held.saturating_add(item.footprint()) <= self.usable_capacity(item);
        fits && (item.band() == Band::UpTo8k || item.is_reservation || self.has_prefill_room(item))
    }

    fn has_prefill_room(&self, item: &Item) -> bool {
        let after = self.long_backlog.saturating_add(item.prompt);
        self.long_backlog == Tokens::ZERO || after <= self.limits.long_prefill
    }

    /// Returns whether the item would overtake an aged request of its band or of a longer one.
    /// Short prompts that fit into the reserve for them may always overtake.
    fn would_overtake_aged(&self, item: &Item, now: Moment) -> bool {
        let blocks = |w: &Waiting| w.is_aged(now) && w.item.band() >= item.band();
        let is_short = item.band() == Band::UpTo8k;
        let within_reserve = self.limits.short_reserve >= item.footprint();
        self.waiting.iter().any(blocks) && !(is_short && within_reserve)
    }

    /// Expires reservations and refuses queued requests that can no longer finish in time.
    fn expire(&mut self, now: Moment, actions: &mut Vec<Action>) {
        self.expire_reservations(now, actions);
        let is_late = |w: &&Waiting| self.slack(&w.item, now).is_zero();
        let late = self.waiting.iter().filter(is_late).map(|w| w.item.request);
        let late: Vec<Id> = late.collect();
        self.waiting.retain(|w| !late.contains(&w.item.request));
        let refusal = Refusal { kind: Kind::Overloaded, retry_after: MIN_RETRY_AFTER };
        actions.extend(late.into_iter().map(|request| Action::Refuse { request, refusal }));
    }

    /// Releases reservations that are past their deadline because their owner did not release them.
    fn expire_reservations(&mut self, now: Moment, actions: &mut Vec<Action>) {
        let is_expired = |r: &Running| r.item.is_reservation && r.item.deadline <= now;
        let expired: Vec<Item> =
            self.running.values().filter(|r| is_expired(r)).map(|r| r.item).collect();
        for item in expired {
            self.running.remove(&item.request);
            self.held = self.held.saturating_sub(item.footprint());
            actions.push(Action::Expire { request: item.request });
        }
    }

    /// Adds the run time of a finished request to the measured slowdown.
    fn record_run_time(&mut self, running: &Running, now: Moment) {
        let estimated = estimate::busy_time(&running.item, &self.limits).as_secs_f64();
        let elapsed = now.since(running.started).as_secs_f64();
        let ratio = (elapsed / estimated.max(f64::MIN_POSITIVE)).min(MAX_SLOWDOWN);
        self.samples = self.samples.saturating_add(1);
        let weight = SLOWDOWN_WEIGHT.max(1.0 / f64::from(self.samples));
        self.slowdown += (ratio - self.slowdown) * weight;
    }

    /// Returns the factor that admission applies to the estimated busy time. It is a multiple of
    /// the measured slowdown, but at most 1 unless the engine is slower than the estimate.
    fn safety_factor(&self) -> f64 {
        if self.has_few_samples() {
            return 1.0;
        }
        (self.slowdown * SAFETY_FACTOR).min(self.slowdown.max(1.0))
    }

    /// Returns whether too few run times are recorded to rely on the measured slowdown. Until then, a
    /// request that could start now is not refused for its deadline.
    const fn has_few_samples(&self) -> bool {
        self.samples < MIN_SAMPLES
    }

    /// Returns the memory that may be in use once a request has started. Long prompts leave out the
    /// reserve for short ones, unless they do not fit without it.
    fn usable_capacity(&self, item: &Item) -> Tokens {
        let without_reserve = self.limits.capacity.saturating_sub(self.limits.short_reserve);
        if item.band() == Band::UpTo8k || item.footprint() > without_reserve {
            self.limits.capacity
        } else {
            without_reserve
        }
    }

    fn add_to_backlog(&mut self, item: &Item) {
        self.backlog = self.backlog.saturating_add(item.prompt);
        if item.band() != Band::UpTo8k {
            self.long_backlog = self.long_backlog.saturating_add(item.prompt);
        }
    }

    fn remove_from_backlog(&mut self, item: &Item) {
        self.backlog = self.backlog.saturating_sub(item.prompt);
        if item.band() != Band::UpTo8k {
            self.long_backlog = self.long_backlog.saturating_sub(item.prompt);
        }
    }
}

const fn refuse(kind: Kind, retry_after: Duration) -> Verdict {
    Verdict::Refuse(Refusal { kind, retry_after })
}
