//! The retry budget of all daemons together, while daemons restart, hear nothing of one another, or do
//! not know the others.

use std::time::Duration;

use kumquattiller_base::daemon;
use kumquattiller_base::time::Moment;
use kumquattiller_gateway::budget::Bounds;
use kumquattiller_gateway::budget::Budget;
use kumquattiller_gateway::budget::Share;
use kumquattiller_gateway::peer::Roster;
use proptest::prelude::*;

use crate::support::cases;

/// Fixed seed of the properties' cases.
const SEED: u64 = 0x5eed_0102;
/// The limits.
const BOUNDS: Bounds = Bounds { ratio: 0.2, extra: 100.0, window: Duration::from_secs(10) };
/// Time between two steps.
const STEP: Duration = Duration::from_millis(20);

/// What happens in a step.
#[derive(Debug, Clone)]
enum Step {
    /// Callers send a request to the daemon with this number, and it retries as often as it may.
    Load(usize),
    /// The daemons hear nothing of one another from now on, or again.
    Cut(bool),
    /// The daemon with this number restarts, with or without a list of the others.
    Restart(usize, bool),
    /// All daemons restart, with or without a list of the others, unless they have restarted twice in
    /// the window already.
    RestartAll(bool),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        400 => any::<usize>().prop_map(Step::Load),
        4 => any::<bool>().prop_map(Step::Cut),
        2 => (any::<usize>(), any::<bool>()).prop_map(|(n, list)| Step::Restart(n, list)),
        1 => any::<bool>().prop_map(Step::RestartAll),
    ]
}

/// A simulated daemon.
#[derive(Default)]
struct Daemon {
    budget: Budget,
    roster: Roster,
    /// Whether it has no list of the others.
    is_alone: bool,
    restarts: Vec<Moment>,
}

impl Daemon {
    fn restart(&mut self, has_list: bool, now: Moment) {
        let recent = self.restarts.iter().filter(|at| now.since(**at) <= BOUNDS.window).count();
        if recent < 2 {
            let restarts = self.restarts.iter().copied().chain([now]).collect();
            *self = Self { is_alone: !has_list, restarts, ..Self::default() };
        }
    }

    /// Makes as many retries as the budget allows and returns their number.
    fn retry(&mut self, now: Moment) -> usize {
        let share = Share { daemons: self.roster.daemons(), known_for: self.roster.known_for(now) };
        std::iter::from_fn(|| self.budget.withdraw(now, &BOUNDS, share).then_some(())).count()
    }
}

fn id(n: usize) -> daemon::Id {
    format!("entry-{n}").parse().unwrap()
}

/// Returns the number of times within the window that ends now.
fn recent(times: &[Moment], now: Moment) -> f64 {
    times.iter().filter(|at| now.since(**at) <= BOUNDS.window).count() as f64
}

proptest! {
    #![proptest_config(cases(SEED))]

    #[test]
    fn daemons_keep_the_retry_budget_together(
        size in 1..24_usize,
        steps in proptest::collection::vec(step(), 1..1_500),
    ) {
        let ids: Vec<daemon::Id> = (0..size).map(id).collect();
        let mut daemons: Vec<Daemon> = (0..size).map(|_| Daemon::default()).collect();
        let (mut requests, mut retries) = (Vec::new(), Vec::new());
        let (mut now, mut is_cut) = (Moment::from_millis(1), false);
        for step in steps {
            now = now + STEP;
            for (n, daemon) in daemons.iter_mut().enumerate() {
                if !daemon.is_alone && daemon.roster.is_due(now) {
                    let known = ids.iter().enumerate().filter(|(other, _)| *other != n && !is_cut);
                    daemon.roster.observe(known.map(|(_, id)| id), now);
                }
            }
            match step {
                Step::Cut(cut) => is_cut = cut,
                Step::Restart(n, has_list) => daemons[n % size].restart(has_list && !is_cut, now),
                Step::RestartAll(has_list) => {
                    daemons.iter_mut().for_each(|daemon| daemon.restart(has_list && !is_cut, now));
                }
                Step::Load(n) => {
                    let daemon = &mut daemons[n % size];
                    daemon.budget.record_request(now, &BOUNDS);
                    requests.push(now);
                    let made = daemon.retry(now);
                    retries.extend(std::iter::repeat_n(now, made));
                }
            }
            let allowed = recent(&requests, now) * BOUNDS.ratio + BOUNDS.extra;
            prop_assert!(recent(&retries, now) <= allowed, "{size} daemons at {now}");
        }
    }
}

/// A daemon that knows the others and has run for a window retries as often as before it shared.
#[test]
fn daemons_that_run_for_long_use_the_budget() {
    let share = Share { daemons: 4, known_for: Some(BOUNDS.window) };
    let mut budget = Budget::default();
    (0..100).for_each(|_| budget.record_request(Moment::ZERO, &BOUNDS));
    let made = (0..100).filter(|_| budget.withdraw(Moment::ZERO, &BOUNDS, share)).count();
    assert!(made >= 20, "{made} retries of 100 requests");
}

#[test]
fn a_daemon_that_does_not_know_the_others_retries_in_proportion_to_its_requests() {
    let share = Share { daemons: 1, known_for: None };
    let mut budget = Budget::default();
    (0..100).for_each(|_| budget.record_request(Moment::ZERO, &BOUNDS));
    let made = (0..100).filter(|_| budget.withdraw(Moment::ZERO, &BOUNDS, share)).count();
    assert!((10..=20).contains(&made), "{made} retries of 100 requests");
}
