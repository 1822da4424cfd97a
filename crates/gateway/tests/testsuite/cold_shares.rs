//! Shares of the rate of a cold server, in fleets of different sizes: daemons learn of the server at
//! different times, restart, join, and are cut off.

use std::time::Duration;

use kumquattiller_base::daemon;
use kumquattiller_base::runner;
use kumquattiller_base::time::Moment;
use kumquattiller_gateway::peer::Roster;
use kumquattiller_gateway::rate_limit::ColdStatement;
use kumquattiller_gateway::rate_limit::Origin;
use kumquattiller_gateway::rate_limit::Rate;
use kumquattiller_gateway::rate_limit::Table;
use kumquattiller_gateway::rate_limit::Terms;
use kumquattiller_gateway::settings::ColdBound;
use proptest::prelude::ProptestConfig;
use proptest::prelude::any;
use proptest::proptest;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::Rng;
use rand_chacha::rand_core::SeedableRng;

/// Step of the simulated time.
const STEP_MS: u64 = 10;
/// Simulated time of a run, all of which the server is cold.
const RUN_MS: u64 = 8_000;
/// Interval at which a daemon determines its shares again.
const SHARE_INTERVAL_MS: u64 = 250;
/// Latest time at which a daemon learns of the server, or of another daemon.
const MAX_NOTICE_MS: u64 = 1_500;
/// Longest time from the placement of a request until it is sent.
const MAX_SEND_DELAY_MS: u64 = 250;
/// Time in which daemons hear of one another.
const JOIN_DELAY: Duration = Duration::from_millis(500);
/// How long the server is cold after each statement.
const COLD_TIME: Duration = Duration::from_secs(20);
/// Window in which the requests are counted.
const WINDOW_MS: u64 = 1_000;
/// How far the rate may be exceeded.
const BOUND: ColdBound = ColdBound { overshoot: 1.5, slack: 5.0 };
/// Identifies the incarnation of the server.
const START_KEY: u64 = 7;

fn server() -> runner::Id {
    "i-0".parse().unwrap()
}

/// A simulated daemon. All times are in milliseconds.
struct Daemon {
    id: daemon::Id,
    table: Table,
    roster: Roster,
    /// When it learns of the server.
    learns_at: u64,
    /// When it is restarted, if it is.
    restarts_at: Option<u64>,
    /// When it learns of the daemon that joins; never if it is cut off.
    meets_at: Option<u64>,
}

/// A fleet whose last daemon joins while the others run.
struct Fleet {
    daemons: Vec<Daemon>,
    rng: ChaCha8Rng,
    per_second: f64,
    /// Times at which requests are sent to the server.
    sends: Vec<u64>,
}

impl Fleet {
    fn new(size: usize, per_second: f64, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut draw = |limit: u64| u64::from(rng.next_u32()) % limit;
        let joins_at = draw(RUN_MS);
        let daemon = |n: usize| {
            let is_cut = draw(3) == 0;
            let is_joining = n == size;
            let notice = draw(MAX_NOTICE_MS);
            Daemon {
                id: format!("entry-{n}").parse().unwrap(),
                table: Table::default(),
                roster: Roster::default(),
                learns_at: if is_joining { joins_at } else { notice },
                restarts_at: (draw(3) == 0).then(|| draw(RUN_MS)).filter(|_| !is_joining),
                meets_at: (!is_cut).then(|| joins_at + draw(500)),
            }
        };
        let daemons = (0..=size).map(daemon).collect();
        Self { daemons, rng, per_second, sends: Vec::new() }
    }

    fn draw(&mut self) -> f64 {
        f64::from(self.rng.next_u32()) / f64::from(u32::MAX)
    }

    fn learn(&mut self, n: usize, now: Moment) {
        let statement = ColdStatement::now(COLD_TIME);
        let table = &mut self.daemons[n].table;
        table.record_cold(&server(), START_KEY, statement, Origin::Registration, now);
    }

    fn update_shares(&mut self, n: usize, at: u64) {
        let last = self.daemons.len() - 1;
        let rate = Rate::new(self.per_second).ok();
        let ids: Vec<daemon::Id> = self.daemons.iter().map(|d| d.id.clone()).collect();
        let daemon = &mut self.daemons[n];
        let knows_last = daemon.meets_at.is_some_and(|meets| meets <= at);
        let others = ids.iter().enumerate().filter(|(i, _)| *i != n && (*i != last || knows_last));
        let now = Moment::from_millis(at);
        daemon.roster.observe(others.map(|(_, id)| id), now);
        let terms = |_: &runner::Id| Terms { rate, bound: BOUND, join_delay: JOIN_DELAY };
        daemon.table.update_cold_shares(&daemon.id, &daemon.roster, terms, now);
    }

    /// Lets each daemon that knows the server have `demand_per_s` requests a second for it.
    fn run(&mut self, demand_per_s: f64) {
        for at in (0..RUN_MS).step_by(STEP_MS as usize) {
            let now = Moment::from_millis(at);
            for n in 0..self.daemons.len() {
                let Daemon { learns_at, restarts_at, .. } = self.daemons[n];
                if learns_at > at {
                    continue;
                }
                let restarts = restarts_at.is_some_and(|r| r / STEP_MS == at / STEP_MS);
                if restarts {
                    self.daemons[n].table = Table::default();
                    self.daemons[n].roster = Roster::default();
                }
                if restarts || learns_at / STEP_MS == at / STEP_MS || at < learns_at + STEP_MS {
                    self.learn(n, now);
                    self.update_shares(n, at);
                }
                if (at / STEP_MS + n as u64).is_multiple_of(SHARE_INTERVAL_MS / STEP_MS) {
                    self.update_shares(n, at);
                }
                self.request(n, demand_per_s, at);
            }
        }
        self.sends.sort_unstable();
    }

    fn request(&mut self, n: usize, demand_per_s: f64, at: u64) {
        let now = Moment::from_millis(at);
        if self.draw() >= demand_per_s * STEP_MS as f64 / 1e3 {
            return;
        }
        if self.daemons[n].table.is_open(&server(), now) {
            self.daemons[n].table.take(&server(), now);
            let delay = self.draw() * MAX_SEND_DELAY_MS as f64;
            self.sends.push(at + delay as u64);
        }
    }

    /// Returns the most requests in one window.
    fn most(&self) -> usize {
        let in_window = |from: &u64| {
            let end = self.sends.partition_point(|at| *at < from + WINDOW_MS);
            end - self.sends.partition_point(|at| at < from)
        };
        self.sends.iter().map(in_window).max().unwrap_or_default()
    }
}

fn check(size: usize, per_second: f64, seed: u64) {
    let mut fleet = Fleet::new(size, per_second, seed);
    fleet.run(50.0);
    let allowed = per_second * BOUND.overshoot + BOUND.slack;
    let most = fleet.most();
    assert!(most as f64 <= allowed, "{most} requests in a second, {allowed} are allowed");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 12, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn no_second_of_3_daemons_exceeds_the_bound(per_second in 0.1..200.0_f64, seed in any::<u64>()) {
        check(3, per_second, seed);
    }

    #[test]
    fn no_second_of_23_daemons_exceeds_the_bound(
        per_second in 0.1..200.0_f64,
        seed in any::<u64>(),
    ) {
        check(23, per_second, seed);
    }

    #[test]
    fn no_second_of_300_daemons_exceeds_the_bound(
        per_second in 0.1..200.0_f64,
        seed in any::<u64>(),
    ) {
        check(300, per_second, seed);
    }

    #[test]
    fn no_second_of_23_daemons_exceeds_the_bound_at_the_usual_rate(seed in any::<u64>()) {
        check(23, 34.0, seed);
    }
}

/// A share that is too small for what a server usually gets would leave it unused while it is cold.
#[test]
fn a_cold_server_gets_three_quarters_of_its_usual_load() {
    let usual_per_s = 6.0;
    let (mut sent, runs) = (0, 10);
    for seed in 0..runs {
        let mut fleet = Fleet::new(23, 34.0, seed);
        fleet.run(usual_per_s / 24.0);
        sent += fleet.sends.iter().filter(|at| (3_000..7_000).contains(*at)).count();
    }
    let expected = usual_per_s * 4.0 * runs as f64 * 0.75;
    assert!(sent as f64 >= expected, "{sent} requests, at least {expected} are expected");
}
