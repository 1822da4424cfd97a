//! Shares of the rate limits that servers state, in fleets of different sizes.

use std::collections::VecDeque;
use std::time::Duration;

use kumquattiller_base::daemon;
use kumquattiller_base::runner;
use kumquattiller_base::time::Moment;
use kumquattiller_gateway::load::report_interval;
use kumquattiller_gateway::rate_limit::Rate;
use kumquattiller_gateway::rate_limit::Report;
use kumquattiller_gateway::rate_limit::Table;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::Rng;
use rand_chacha::rand_core::SeedableRng;

/// Step of the simulated time.
const STEP: Duration = Duration::from_millis(10);
/// Simulated time of a run.
const RUN_TIME: Duration = Duration::from_secs(24);
/// Interval at which a daemon determines its shares again.
const SHARE_INTERVAL: Duration = Duration::from_millis(250);
/// Delay of a report on its way to a peer.
const REPORT_DELAY: Duration = Duration::from_millis(20);
/// Time after which a silent peer no longer counts.
const MIN_ALIVE_TIME: Duration = Duration::from_secs(2);
/// Time from the first statement of a limit until it binds.
const NOTICE_TIME: Duration = Duration::from_secs(3);
/// Length of any window in which the requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Identifies the incarnation of the server.
const START_KEY: u64 = 7;

fn server() -> runner::Id {
    "i-0".parse().unwrap()
}

fn rate(per_second: f64) -> Rate {
    Rate::new(per_second).unwrap()
}

/// Requests a second that a daemon would send to the server.
type Demand = fn(daemon: usize, fleet: usize, at: Duration) -> f64;

/// What a simulated daemon knows.
struct Daemon {
    id: daemon::Id,
    limits: Table,
    last_heard: Vec<Option<Moment>>,
    next_report: Moment,
    next_share: Moment,
    is_up: bool,
}

/// A report on its way to all peers.
struct Flight {
    arrives: Moment,
    from: usize,
    reports: Vec<Report>,
}

/// A fleet of daemons that send requests to one server.
struct Fleet {
    daemons: Vec<Daemon>,
    flights: VecDeque<Flight>,
    rng: ChaCha8Rng,
    /// Fraction of the reports that are lost.
    loss: f64,
    limit: f64,
    arrivals: Vec<Moment>,
}

impl Fleet {
    fn new(size: usize, limit: f64, loss: f64, seed: u64) -> Self {
        let daemon = |n: usize| Daemon {
            id: format!("entry-{n}").parse().unwrap(),
            limits: Table::default(),
            last_heard: vec![None; size],
            next_report: Moment::from_millis(n as u64 % 50),
            next_share: Moment::ZERO,
            is_up: true,
        };
        Self {
            daemons: (0..size).map(daemon).collect(),
            flights: VecDeque::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            loss,
            limit,
            arrivals: Vec::new(),
        }
    }

    fn draw(&mut self) -> f64 {
        self.rng.next_u32() as f64 / f64::from(u32::MAX)
    }

    fn interval(&self) -> Duration {
        report_interval(self.daemons.len() - 1)
    }

    fn report(&mut self, from: usize, now: Moment) {
        let reports = self.daemons[from].limits.reports(now).collect();
        self.flights.push_back(Flight { arrives: now + REPORT_DELAY, from, reports });
    }

    fn deliver(&mut self, now: Moment) {
        while self.flights.front().is_some_and(|f| f.arrives <= now) {
            let flight = self.flights.pop_front().unwrap();
            let from = self.daemons[flight.from].id.clone();
            for to in 0..self.daemons.len() {
                let is_lost = self.draw() < self.loss;
                let daemon = &mut self.daemons[to];
                if to == flight.from || is_lost || !daemon.is_up {
                    continue;
                }
                daemon.last_heard[flight.from] = Some(now);
                let resolve = |key| (key == START_KEY).then(server);
                daemon.limits.merge(&from, &flight.reports, resolve, now);
            }
        }
    }

    fn update_share(&mut self, n: usize, now: Moment) {
        let alive_time = (self.interval() * 4).max(MIN_ALIVE_TIME);
        let join_delay = (self.interval() * 2).max(Duration::from_millis(500));
        let heard = self.daemons[n].last_heard.clone();
        let ids: Vec<daemon::Id> = self.daemons.iter().map(|d| d.id.clone()).collect();
        let alive = ids
            .iter()
            .zip(&heard)
            .filter_map(|(id, heard)| heard.filter(|at| now.since(*at) < alive_time).map(|_| id));
        let own = &ids[n];
        self.daemons[n].limits.update_shares(own, alive, join_delay, now);
    }

    fn request(&mut self, n: usize, now: Moment) {
        let limit = rate(self.limit);
        let limits = &mut self.daemons[n].limits;
        let is_new_user = limits.record_demand(&server(), now);
        let is_open = limits.is_open(&server(), now);
        let mut change = None;
        if is_open {
            limits.take(&server(), now);
            change = limits.record_statement(&server(), START_KEY, Some(limit), now, now);
            self.arrivals.push(now);
        }
        if change.is_some() {
            self.update_share(n, now);
        }
        if is_new_user || change.is_some() {
            self.report(n, now);
        }
    }

    fn step(&mut self, demand: Demand, now: Moment) {
        self.deliver(now);
        let (fleet, interval) = (self.daemons.len(), self.interval());
        for n in 0..fleet {
            if !self.daemons[n].is_up {
                continue;
            }
            if self.daemons[n].next_report <= now {
                self.daemons[n].next_report = now + interval;
                self.report(n, now);
            }
            if self.daemons[n].next_share <= now {
                self.daemons[n].next_share = now + SHARE_INTERVAL;
                self.update_share(n, now);
            }
            let expected = demand(n, fleet, now.since(Moment::ZERO)) * STEP.as_secs_f64();
            if self.draw() < expected {
                self.request(n, now);
            }
        }
    }

    /// Runs the fleet; `event` is called before each step.
    fn run(&mut self, demand: Demand, event: impl Fn(&mut Self, Moment)) {
        let mut now = Moment::from_millis(1_000);
        while now.since(Moment::ZERO) < RUN_TIME {
            event(self, now);
            self.step(demand, now);
            now = now + STEP;
        }
    }

    /// Restarts a daemon, which forgets everything.
    fn restart(&mut self, n: usize) {
        let size = self.daemons.len();
        let daemon = &mut self.daemons[n];
        daemon.limits = Table::default();
        daemon.last_heard = vec![None; size];
        daemon.is_up = true;
    }

    /// Checks that no window has more requests than the limit allows.
    fn check_limit(&self) {
        let first = *self.arrivals.first().unwrap();
        let binding: Vec<Moment> =
            self.arrivals.iter().copied().filter(|at| at.since(first) >= NOTICE_TIME).collect();
        let in_window = |from: &Moment| {
            binding.iter().filter(|at| (*from..*from + WINDOW).contains(at)).count()
        };
        let most = binding.iter().map(in_window).max().unwrap_or_default() as f64;
        let allowed = self.limit * WINDOW.as_secs_f64() * 1.5 + 5.0;
        assert!(most <= allowed, "{most} requests in {WINDOW:?}, {allowed} are allowed");
    }

    /// Checks that the server gets at least this fraction of its limit.
    fn check_use(&self, fraction: f64) {
        let first = *self.arrivals.first().unwrap() + NOTICE_TIME;
        let used = self.arrivals.iter().filter(|at| **at >= first).count() as f64;
        let time = RUN_TIME - first.since(Moment::ZERO);
        let expected = self.limit * time.as_secs_f64() * fraction;
        assert!(used >= expected, "{used} requests, at least {expected} are expected");
    }
}

const fn steady(_: usize, _: usize, _: Duration) -> f64 {
    5.0
}

/// All daemons begin at the same moment, after a while without requests.
fn sudden(daemon: usize, _: usize, at: Duration) -> f64 {
    let is_probe = daemon == 0 && at < Duration::from_secs(2);
    if is_probe || at > Duration::from_secs(14) { 20.0 } else { 0.0 }
}

/// A tenth of the daemons, at least one, has all the requests.
fn uneven(daemon: usize, fleet: usize, _: Duration) -> f64 {
    if daemon < fleet.div_ceil(10) { 10.0 } else { 0.0 }
}

/// Each daemon has a request now and then.
const fn rare(_: usize, fleet: usize, _: Duration) -> f64 {
    4.0 / fleet as f64
}

/// Daemons have requests in turn, for two seconds each.
fn in_turn(daemon: usize, fleet: usize, at: Duration) -> f64 {
    let turn = at.as_secs() as usize / 2;
    if turn % fleet.min(5) == daemon % 5 { 10.0 } else { 0.0 }
}

/// Declares a test for each fleet and limit.
macro_rules! fleets {
    ($($name:ident: $size:literal daemons, $limit:literal per_second,)*) => {
        $(mod $name {
            use test_case::test_case;

            use super::*;

            #[test_case(steady, Some(0.6); "steady requests")]
            #[test_case(sudden, None; "requests begin at once everywhere")]
            #[test_case(uneven, Some(0.4); "few daemons have requests")]
            #[test_case(rare, None; "each daemon has few requests")]
            #[test_case(in_turn, None; "daemons have requests in turn")]
            fn no_window_exceeds_the_limit(demand: Demand, min_use: Option<f64>) {
                for seed in 0..3 {
                    let mut fleet = Fleet::new($size, $limit, 0.03, seed);
                    fleet.run(demand, |_, _| {});
                    fleet.check_limit();
                    if let Some(fraction) = min_use {
                        fleet.check_use(fraction);
                    }
                }
            }

            #[test]
            fn no_window_exceeds_the_limit_while_daemons_restart_in_turn() {
                let mut fleet = Fleet::new($size, $limit, 0.03, 1);
                fleet.run(steady, |fleet, now| {
                    let ms = now.since(Moment::ZERO).as_millis() as usize;
                    if ms % 2_000 == 0 {
                        fleet.restart(ms / 2_000 % fleet.daemons.len());
                    }
                });
                fleet.check_limit();
            }

            #[test]
            fn no_window_exceeds_the_limit_after_a_third_of_the_daemons_has_died() {
                let mut fleet = Fleet::new($size, $limit, 0.0, 2);
                fleet.run(steady, |fleet, now| {
                    if now.since(Moment::ZERO) == Duration::from_secs(10) {
                        fleet.daemons.iter_mut().skip(1).step_by(3).for_each(|d| d.is_up = false);
                    }
                });
                fleet.check_limit();
                fleet.check_use(0.5);
            }
        })*
    };
}

fleets! {
    of_one_daemon: 1 daemons, 1.0 per_second,
    of_three_daemons: 3 daemons, 1.0 per_second,
    of_six_daemons: 6 daemons, 1.6 per_second,
    of_31_daemons: 31 daemons, 1.0 per_second,
    of_31_daemons_at_a_high_limit: 31 daemons, 12.0 per_second,
    of_300_daemons: 300 daemons, 1.6 per_second,
    of_300_daemons_at_a_low_limit: 300 daemons, 0.5 per_second,
}
