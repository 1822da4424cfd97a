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

/// Shortest time that a refusal names for trying again.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Longest time that a refusal names for trying again.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// When to try another runner while this one leaves.
const LEAVING_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Multiple of the learnt time that admission counts with.
const CAUTION: f64 = 5.0;

/// Largest learnt multiple of the busy time.
const MAX_STRETCH: f64 = 20.0;

/// Requests that must have ended before their times are relied on.
const MIN_LEARNT: u32 = 8;

/// Weight of one request in the learnt share of the busy time.
const STRETCH_WEIGHT: f64 = 0.02;

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
    leaving: bool,
    stretch: f64,
    learnt: u32,
}

impl Gate {
    /// Makes the gate of an idle engine.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            running: HashMap::new(),
            waiting: Vec::new(),
            held: Tokens::ZERO,
            backlog: Tokens::ZERO,
            long_backlog: Tokens::ZERO,
            leaving: false,
            stretch: 1.0,
            learnt: 0,
        }
    }

    /// Decides about a request that wants in.
    pub fn arrive(&mut self, item: Item, now: Moment) -> Verdict {
        if self.leaving {
            return refuse(Kind::Leaving, LEAVING_RETRY_AFTER);
        }
        if item.footprint() > self.room_for(item.band()) {
            return refuse(Kind::MemoryFull, MAX_RETRY_AFTER);
        }
        if self.admits(&item) && !self.is_reserved_for_others(&item, now) {
            return match self.slack(&item, now) {
                Duration::ZERO if !self.is_cold() => refuse(Kind::Overloaded, MIN_RETRY_AFTER),
                _ => Verdict::Admit { priority: self.start(item, now) },
            };
        }
        self.hold(item, now)
    }

    /// Records that the prompt of a running request is computed.
    pub fn prefilled(&mut self, request: Id, now: Moment) -> Vec<Action> {
        if let Some(running) = self.running.get_mut(&request)
            && running.is_prefilling
        {
            running.is_prefilling = false;
            let item = running.item;
            self.take_from_backlog(&item);
        }
        self.advance(now)
    }

    /// Records that a request ended, was cancelled or lost.
    pub fn finished(&mut self, request: Id, now: Moment) -> Vec<Action> {
        self.waiting.retain(|w| w.item.request != request);
        if let Some(running) = self.running.remove(&request) {
            self.held = self.held.saturating_sub(running.item.footprint());
            if running.is_prefilling {
                self.take_from_backlog(&running.item);
            } else if !running.item.is_reservation {
                self.learn(&running, now);
            }
        }
        self.advance(now)
    }

    /// Admits what may start now and refuses what can no longer end in time.
    pub fn advance(&mut self, now: Moment) -> Vec<Action> {
        let mut actions = Vec::new();
        self.expire(now, &mut actions);
        self.waiting.sort_by_key(|w| w.key(now));
        let mut index = 0;
        while let Some(waiting) = self.waiting.get(index).copied() {
            if self.admits(&waiting.item) {
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

    /// Forgets all requests, as after the death of the engine, but not how long they took.
    pub fn clear(&mut self) {
        let (stretch, learnt) = (self.stretch, self.learnt);
        *self = Self { stretch, learnt, leaving: self.leaving, ..Self::new(self.limits) };
    }

    /// Refuses new work from now on; what waits or runs goes on.
    pub const fn leave(&mut self) {
        self.leaving = true;
    }

    /// Returns the load to report.
    pub fn load(&self) -> Load {
        let waiting = self.waiting.iter().map(|w| w.item);
        let reserved = self.running.values().filter(|r| r.item.is_reservation);
        let reserved = reserved.fold(Tokens::ZERO, |s, r| s.saturating_add(r.item.prompt));
        let wanted = waiting.clone().fold(Tokens::ZERO, |s, i| s.saturating_add(i.footprint()));
        let prompts = waiting.clone().fold(Tokens::ZERO, |s, i| s.saturating_add(i.prompt));
        let long = waiting.filter(|i| i.band() != Band::UpTo8k);
        let long = long.fold(Tokens::ZERO, |s, i| s.saturating_add(i.prompt));
        Load {
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            held: self.held.saturating_add(wanted),
            capacity: self.limits.capacity,
            backlog: self.backlog.saturating_add(prompts).saturating_add(reserved),
            long_backlog: self.long_backlog.saturating_add(long).saturating_add(reserved),
            leaving: self.leaving,
        }
    }

    /// Returns the KV memory of what runs.
    pub const fn held(&self) -> Tokens {
        self.held
    }

    /// Returns the number of requests that wait.
    pub const fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the bounds.
    pub const fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Holds a request, or refuses it when it could not end in time.
    fn hold(&mut self, item: Item, now: Moment) -> Verdict {
        let slack = self.slack(&item, now);
        let wait = self.expected_wait(&item, now);
        if wait.is_none_or(|wait| wait > slack) || self.waiting.len() >= self.limits.max_waiting {
            let over = wait.map_or(MAX_RETRY_AFTER, |wait| wait.saturating_sub(slack));
            return refuse(Kind::Overloaded, over.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER));
        }
        self.waiting.push(Waiting::new(item, slack, now));
        Verdict::Hold
    }

    /// Returns how long a request may wait for memory and still end in time, after the prompts
    /// that the engine computes before it.
    fn slack(&self, item: &Item, now: Moment) -> Duration {
        let ahead = match item.band() {
            Band::UpTo8k => self.backlog.saturating_sub(self.long_backlog),
            _ => self.backlog,
        };
        let ahead = if item.is_reservation { Tokens::ZERO } else { ahead };
        let prefill = self.limits.pace.prefill_time(ahead) * 2;
        let busy = estimate::busy_time(item, &self.limits) + prefill;
        item.deadline.since(now).saturating_sub(busy.mul_f64(self.caution()))
    }

    /// Returns the expected wait for memory and for the prompts ahead.
    fn expected_wait(&self, item: &Item, now: Moment) -> Option<Duration> {
        let is_ahead = |w: &&Waiting| w.is_aged(now) || w.item.band() == item.band();
        let ahead = self.waiting.iter().filter(is_ahead).map(|w| w.item);
        let wanted = ahead.clone().fold(item.footprint(), |s, w| s.saturating_add(w.footprint()));
        let prompts = ahead.fold(self.backlog, |s, w| s.saturating_add(w.prompt));
        let free = self.room_for(item.band()).saturating_sub(self.held);
        let ends = self.running.values().map(|r| (r.expected_end, r.item.footprint()));
        let memory = estimate::memory_wait(wanted.saturating_sub(free), now, ends)?;
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
            now + estimate::busy_time(&item, &self.limits).mul_f64(self.stretch)
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

    /// Tells whether memory and the bound on long prefill let a request start.
    fn admits(&self, item: &Item) -> bool {
        let fits = self.held.saturating_add(item.footprint()) <= self.room_for(item.band());
        fits && (item.band() == Band::UpTo8k || item.is_reservation || self.has_prefill_room(item))
    }

    fn has_prefill_room(&self, item: &Item) -> bool {
        let after = self.long_backlog.saturating_add(item.prompt);
        self.long_backlog == Tokens::ZERO || after <= self.limits.long_prefill
    }

    /// Tells whether an aged request waits that this one may not overtake.
    fn is_reserved_for_others(&self, item: &Item, now: Moment) -> bool {
        let blocks = |w: &Waiting| w.is_aged(now) && w.item.band() >= item.band();
        let is_short = item.band() == Band::UpTo8k;
        let within_reserve = self.limits.short_reserve >= item.footprint();
        self.waiting.iter().any(blocks) && !(is_short && within_reserve)
    }

    fn expire(&mut self, now: Moment, actions: &mut Vec<Action>) {
        self.expire_reservations(now, actions);
        let is_late = |w: &&Waiting| self.slack(&w.item, now).is_zero();
        let late = self.waiting.iter().filter(is_late).map(|w| w.item.request);
        let late: Vec<Id> = late.collect();
        self.waiting.retain(|w| !late.contains(&w.item.request));
        let refusal = Refusal { kind: Kind::Overloaded, retry_after: MIN_RETRY_AFTER };
        actions.extend(late.into_iter().map(|request| Action::Refuse { request, refusal }));
    }

    /// Frees the memory of reservations whose owner did not release them in time.
    fn expire_reservations(&mut self, now: Moment, actions: &mut Vec<Action>) {
        let is_over = |r: &Running| r.item.is_reservation && r.item.deadline <= now;
        let over: Vec<Item> =
            self.running.values().filter(|r| is_over(r)).map(|r| r.item).collect();
        for item in over {
            self.running.remove(&item.request);
            self.held = self.held.saturating_sub(item.footprint());
            actions.push(Action::Expire { request: item.request });
        }
    }

    /// Learns how long requests take, as a share of their time on a busy engine.
    fn learn(&mut self, running: &Running, now: Moment) {
        let assumed = estimate::busy_time(&running.item, &self.limits).as_secs_f64();
        let taken = now.since(running.started).as_secs_f64();
        let ratio = (taken / assumed.max(f64::MIN_POSITIVE)).min(MAX_STRETCH);
        self.learnt = self.learnt.saturating_add(1);
        let weight = STRETCH_WEIGHT.max(1.0 / f64::from(self.learnt));
        self.stretch += (ratio - self.stretch) * weight;
    }

    /// Returns the factor on the busy time that admission counts with: a multiple of what requests
    /// took, but no more than a busy engine needs unless the engine is slower than assumed.
    fn caution(&self) -> f64 {
        if self.is_cold() {
            return 1.0;
        }
        (self.stretch * CAUTION).min(self.stretch.max(1.0))
    }

    /// Tells whether too little was learnt to refuse a request that could start now.
    const fn is_cold(&self) -> bool {
        self.learnt < MIN_LEARNT
    }

    /// Returns the memory that a band may fill.
    fn room_for(&self, band: Band) -> Tokens {
        match band {
            Band::UpTo8k => self.limits.capacity,
            _ => self.limits.capacity.saturating_sub(self.limits.short_reserve),
        }
    }

    fn add_to_backlog(&mut self, item: &Item) {
        self.backlog = self.backlog.saturating_add(item.prompt);
        if item.band() != Band::UpTo8k {
            self.long_backlog = self.long_backlog.saturating_add(item.prompt);
        }
    }

    fn take_from_backlog(&mut self, item: &Item) {
        self.backlog = self.backlog.saturating_sub(item.prompt);
        if item.band() != Band::UpTo8k {
            self.long_backlog = self.long_backlog.saturating_sub(item.prompt);
        }
    }
}

const fn refuse(kind: Kind, retry_after: Duration) -> Verdict {
    Verdict::Refuse(Refusal { kind, retry_after })
}
