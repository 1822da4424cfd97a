use std::collections::VecDeque;
use std::time::Duration;

use kumquattiller_base::size::Tokens;
use kumquattiller_base::time::Moment;

use crate::queue::Identity;
use crate::queue::Pool;
use crate::queue::Slot;

/// Time after it is due for which capacity is held for a promise: callers return over a new
/// connection, and their timers are not exact.
const HOLD: Duration = Duration::from_secs(1);
/// Length of the spans of time in which promises are summed in reports.
const SLOT: Duration = Duration::from_millis(500);
/// Maximum number of promises that a daemon holds; the oldest are dropped first.
const MAX_PROMISES: usize = 1_024;

/// Capacity that is held for a refused request until it returns.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Promise {
    /// By what the request is recognised, if it can be.
    pub identity: Option<Identity>,
    /// The servers that it competes for.
    pub pool: Pool,
    /// When it is told to return.
    pub due: Moment,
    /// When its caller gives up.
    pub deadline: Moment,
    /// Time for which it would occupy all servers of the pool together.
    pub work: Duration,
    /// Memory that it needs.
    pub footprint: Tokens,
}

impl Promise {
    /// Returns whether capacity is held for it.
    fn is_held(&self, now: Moment) -> bool {
        now <= self.due + HOLD
    }
}

/// The promises of one daemon, oldest first.
#[derive(Debug, Clone, Default)]
pub struct Promises {
    promises: VecDeque<Promise>,
}

impl Promises {
    /// Adds a promise.
    pub fn add(&mut self, promise: Promise) {
        if self.promises.len() >= MAX_PROMISES {
            self.promises.pop_front();
        }
        self.promises.push_back(promise);
    }

    /// Takes the promise of a request that has returned; returns `false` if there is none.
    pub fn take(&mut self, identity: Identity) -> bool {
        let index = self.promises.iter().position(|p| p.identity == Some(identity));
        index.and_then(|index| self.promises.remove(index)).is_some()
    }

    /// Removes the promises of callers that have given up. A caller that comes later than it was
    /// told is still recognised, but nothing is held for it.
    pub fn expire(&mut self, now: Moment) {
        self.promises.retain(|p| now < p.deadline && (p.identity.is_some() || p.is_held(now)));
    }

    /// Returns the sums of the held promises per pool and span of time.
    pub fn slots(&self, now: Moment) -> Vec<Slot> {
        let mut slots: Vec<Slot> = Vec::new();
        for promise in self.promises.iter().filter(|p| p.is_held(now)) {
            let spans = promise.due.since(now).as_millis() / SLOT.as_millis();
            let due_in = SLOT * u32::try_from(spans).unwrap_or(u32::MAX);
            match slots.iter_mut().find(|s| s.pool == promise.pool && s.due_in == due_in) {
                Some(slot) => {
                    slot.work += promise.work;
                    slot.footprint = slot.footprint.saturating_add(promise.footprint);
                }
                None => slots.push(Slot {
                    pool: promise.pool,
                    due_in,
                    work: promise.work,
                    footprint: promise.footprint,
                }),
            }
        }
        slots.sort_by_key(|slot| slot.due_in);
        slots
    }

    /// Returns the work of the held promises in a pool.
    pub fn held_work(&self, pool: Pool, now: Moment) -> Duration {
        self.promises.iter().filter(|p| p.pool == pool && p.is_held(now)).map(|p| p.work).sum()
    }

    /// Returns the memory that is held in a pool for promises that are due until a moment.
    pub fn held_memory(&self, pool: Pool, until: Moment, now: Moment) -> Tokens {
        let is_due = |p: &&Promise| p.pool == pool && p.due <= until && p.is_held(now);
        let due = self.promises.iter().filter(is_due);
        due.fold(Tokens::ZERO, |sum, p| sum.saturating_add(p.footprint))
    }

    /// Returns the identities of the newest promises.
    pub fn newest(&self, count: usize) -> Vec<Identity> {
        self.promises.iter().rev().filter_map(|p| p.identity).take(count).collect()
    }

    /// Returns the number of promises.
    pub fn len(&self) -> usize {
        self.promises.len()
    }

    /// Returns whether there is no promise.
    pub fn is_empty(&self) -> bool {
        self.promises.is_empty()
    }
}
