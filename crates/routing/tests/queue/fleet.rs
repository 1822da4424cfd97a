//! Daemons with queues in front of servers that share memory, in steps of simulated time.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use kumquattiller_base::account::Rank;
use kumquattiller_base::size::Bytes;
use kumquattiller_base::size::Tokens;
use kumquattiller_base::time::Moment;
use kumquattiller_routing::queue::Consumer;
use kumquattiller_routing::queue::Entry;
use kumquattiller_routing::queue::Identity;
use kumquattiller_routing::queue::Key;
use kumquattiller_routing::queue::Limits;
use kumquattiller_routing::queue::Patience;
use kumquattiller_routing::queue::Pool;
use kumquattiller_routing::queue::Queue;
use kumquattiller_routing::queue::Report;
use kumquattiller_routing::queue::Shortage;
use kumquattiller_routing::queue::Turn;

pub const STEP: Duration = Duration::from_millis(10);
const REPORT_INTERVAL: Duration = Duration::from_millis(90);
const REPORT_DELAY: Duration = Duration::from_millis(20);
const REPORT_MAX_AGE: Duration = Duration::from_millis(600);
/// Delay of a returning caller beyond the one that it was told.
const RETURN_DELAY: Duration = Duration::from_millis(30);
pub const DEADLINE: Duration = Duration::from_secs(15);
/// Part of the target latency of 3 s that may be waited.
const ALLOWANCE: Duration = Duration::from_secs(1);
/// Part of the memory whose use costs others too much for a request that has not waited.
const USUAL_USE: f64 = 0.85;
pub const LIMITS: Limits = Limits { entries: 1_024, bytes: Bytes::new(16_000_000) };

/// A caller's request and what became of it.
#[derive(Debug, Clone, Default)]
pub struct Caller {
    pub arrives: Duration,
    pub account: u64,
    pub urgency: u8,
    pub tokens: u64,
    pub placed: Option<Duration>,
    pub refusals: u32,
    pub promised: bool,
    pub outcomes: u32,
}

impl Caller {
    /// Time for which the prompt holds its memory.
    pub fn run_time(&self) -> Duration {
        Duration::from_millis(500 + self.tokens / 400)
    }

    pub fn is_in_time(&self) -> bool {
        self.placed.is_some_and(|at| at <= self.arrives + ALLOWANCE)
    }
}

struct Daemon {
    queue: Queue,
    /// The callers of the waiting requests, and when each asks for its turn again.
    waiting: BTreeMap<Key, (usize, Moment)>,
}

struct Flight {
    arrives: Moment,
    from: usize,
    report: Report,
}

pub struct Fleet {
    pub callers: Vec<Caller>,
    daemons: Vec<Daemon>,
    memory: u64,
    free: u64,
    ends: BTreeMap<Moment, u64>,
    returns: Vec<(Moment, usize)>,
    flights: VecDeque<Flight>,
    pub longest_queue: usize,
}

impl Fleet {
    pub fn new(daemons: usize, memory: u64, limits: Limits, callers: Vec<Caller>) -> Self {
        let daemon = |_| Daemon { queue: Queue::new(limits), waiting: BTreeMap::new() };
        Self {
            callers,
            daemons: (0..daemons).map(daemon).collect(),
            memory,
            free: memory,
            ends: BTreeMap::new(),
            returns: Vec::new(),
            flights: VecDeque::new(),
            longest_queue: 0,
        }
    }

    /// Plays the load until every caller has its outcome.
    pub fn run(mut self) -> Self {
        let last = self.callers.iter().map(|c| c.arrives).max().unwrap_or_default();
        let (mut now, mut reported) = (Moment::ZERO, Moment::ZERO);
        let mut next = 0;
        while now < Moment::ZERO + last + DEADLINE * 2 {
            self.release(now);
            while let Some(caller) = self.callers.get(next)
                && Moment::ZERO + caller.arrives <= now
            {
                self.arrive(next, next % self.daemons.len(), now);
                next += 1;
            }
            let due = self.returns.extract_if(.., |(at, _)| *at <= now).collect::<Vec<_>>();
            for (_, caller) in due {
                self.arrive(caller, (caller * 7 + 3) % self.daemons.len(), now);
            }
            if now.since(reported) >= REPORT_INTERVAL {
                self.send_reports(now);
                reported = now;
            }
            self.deliver(now);
            (0..self.daemons.len()).for_each(|daemon| self.take_turns(daemon, now));
            now = now + STEP;
        }
        self
    }

    fn release(&mut self, now: Moment) {
        let later = self.ends.split_off(&(now + STEP));
        let released: u64 = std::mem::replace(&mut self.ends, later).into_values().sum();
        self.free += released;
        if released > 0 {
            self.daemons.iter_mut().for_each(|d| d.wake(now));
        }
    }

    fn arrive(&mut self, index: usize, daemon: usize, now: Moment) {
        let caller = &self.callers[index];
        let deadline = Moment::ZERO + caller.arrives + DEADLINE;
        let entry = Entry {
            pool: Pool::new(1),
            consumer: Consumer::new(caller.account),
            identity: Some(Identity::new(index as u64)),
            urgency: Rank::new(caller.urgency),
            footprint: Tokens::new(caller.tokens),
            work: caller.run_time().mul_f64(caller.tokens as f64 / self.memory as f64),
            value: caller.tokens as f64,
            body: Bytes::new(caller.tokens / 4),
            in_time_until: now + ALLOWANCE,
            latest_start: deadline - caller.run_time(),
            deadline,
        };
        let daemon = &mut self.daemons[daemon];
        let key = daemon.queue.arrive(entry, now);
        daemon.waiting.insert(key, (index, now));
        daemon.wake(now);
    }

    fn send_reports(&mut self, now: Moment) {
        for (from, daemon) in self.daemons.iter_mut().enumerate() {
            daemon.queue.expire(now, REPORT_MAX_AGE);
            let report = daemon.queue.report(now);
            self.flights.push_back(Flight { arrives: now + REPORT_DELAY, from, report });
        }
    }

    fn deliver(&mut self, now: Moment) {
        while let Some(flight) = self.flights.pop_front_if(|f| f.arrives <= now) {
            let id = format!("entry-{}", flight.from);
            let others = self.daemons.iter_mut().enumerate().filter(|(n, _)| *n != flight.from);
            for (_, daemon) in others {
                daemon.queue.merge(id.parse().unwrap(), flight.report.clone(), now);
                daemon.wake(now);
            }
        }
    }

    fn take_turns(&mut self, daemon: usize, now: Moment) {
        let keys: Vec<Key> = self.daemons[daemon].waiting.keys().copied().collect();
        for key in keys {
            while self.take_turn(daemon, key, now) {}
        }
        self.longest_queue = self.longest_queue.max(self.daemons[daemon].queue.len());
    }

    /// Returns whether the request is asked again at once.
    fn take_turn(&mut self, daemon: usize, key: Key, now: Moment) -> bool {
        let (memory, free) = (self.memory as f64, self.free);
        let daemon = &mut self.daemons[daemon];
        let Some((caller, _)) = daemon.waiting.get(&key).copied().filter(|(_, at)| *at <= now)
        else {
            return false;
        };
        let room_in = Duration::from_millis(500);
        match daemon.queue.turn(key, now) {
            Turn::Wait { until } => {
                daemon.waiting.insert(key, (caller, until));
                until <= now
            }
            Turn::Try { patience, reserve } => {
                let request = &mut self.callers[caller];
                let bound = match patience {
                    Patience::Waited(part) => USUAL_USE + (1.0 - USUAL_USE) * part,
                    Patience::Exhausted | Patience::Promised => 1.0,
                };
                let used = memory - free as f64 + request.tokens as f64;
                if free < request.tokens + reserve.get() {
                    daemon.queue.declined(key, Shortage::Memory, room_in, now);
                } else if used > memory * bound {
                    daemon.queue.declined(key, Shortage::Cost, room_in, now);
                } else {
                    daemon.queue.admitted(key, now);
                    daemon.waiting.remove(&key);
                    daemon.wake(now);
                    self.free -= request.tokens;
                    *self.ends.entry(now + request.run_time()).or_default() += request.tokens;
                    request.placed = Some(now.since(Moment::ZERO));
                    request.outcomes += 1;
                    return false;
                }
                true
            }
            Turn::Refuse(_) => {
                let refusal = daemon.queue.refuse(key, room_in, now).unwrap();
                daemon.waiting.remove(&key);
                daemon.wake(now);
                let request = &mut self.callers[caller];
                request.refusals += 1;
                match request.refusals {
                    1 => {
                        request.promised = refusal.promised;
                        self.returns.push((now + refusal.retry_after + RETURN_DELAY, caller));
                    }
                    _ => request.outcomes += 1,
                }
                false
            }
        }
    }
}

impl Daemon {
    fn wake(&mut self, now: Moment) {
        self.queue.wake(now);
        self.waiting.values_mut().for_each(|(_, at)| *at = now);
    }
}
