//! Property test of a rollout: it completes, and it keeps the limits on changing runners and loads.

use std::collections::BTreeMap;
use std::time::Duration;

use kumquattiller_base::time::Moment;
use kumquattiller_dialect::engine::Model;
use kumquattiller_dialect::engine::State;
use kumquattiller_inventory::Version;
use kumquattiller_planner::Fencing;
use kumquattiller_planner::plan::Limiter;
use kumquattiller_planner::plan::Plan;
use kumquattiller_planner::plan::Reports;
use kumquattiller_planner::plan::Target;
use kumquattiller_planner::plan::Targets;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;

const SEED: u64 = 14;
const STEP_INTERVAL: Duration = Duration::from_secs(5);
const MINUTE: Duration = Duration::from_secs(60);
const MAX_STEPS: usize = 2_000;

fn model(version: &str) -> Model {
    Model { name: "writing".to_owned(), version: version.to_owned() }
}

fn desired(runners: usize, version: &str) -> Targets {
    let target = Target { models: [model(version)].into(), ..Target::default() };
    let runner = |n: usize| format!("runner-{n}").parse().expect("valid name");
    let service = (0..runners).map(|n| (runner(n), target.clone())).collect();
    BTreeMap::from([("invoices".parse().expect("valid name"), service)])
}

fn config() -> Config {
    let cases = std::env::var("KUMQUATTILLER_CASES").ok().and_then(|text| text.parse().ok());
    Config {
        cases: cases.unwrap_or(256),
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn a_rollout_completes_within_its_capacity_and_rate_limits(
        runners in 1..40usize,
        per_minute in 1..20u32,
        load_steps in 1..8u32,
        holder_changes in proptest::collection::vec(0..200usize, 0..3),
    ) {
        let old = State { models: vec![model("1")], ..State::default() };
        let targets = desired(runners, "2");
        let service = targets.values().next().expect("one service");
        let mut reports: Reports = service.keys().map(|r| (r.clone(), old.clone())).collect();
        let mut plan = Plan { fencing: Fencing::new(1), targets: desired(runners, "1"), ..Plan::default() };
        let mut now = Moment::ZERO;
        let mut limiter = Limiter::exhausted(per_minute, now);
        let mut fencing = Fencing::new(1);
        let mut loading = BTreeMap::new();
        let mut loads: Vec<Moment> = Vec::new();
        let limit = (runners / 4).max(1);
        let mut steps = 0;
        while !reports.values().all(|state| state.models == [model("2")]) {
            steps += 1;
            prop_assert!(steps < MAX_STEPS, "the rollout does not complete");
            now = now + STEP_INTERVAL;
            if holder_changes.contains(&steps) {
                fencing = fencing.next();
                limiter = Limiter::exhausted(per_minute, now);
            }
            let next = plan.advance(fencing, Version::new(2), &targets, &reports, &mut limiter, now);
            plan = next.unwrap_or(plan);
            for (runner, state) in &reports {
                let target = plan.target(runner).expect("every runner has a target");
                if !target.is_met_by(state) && !loading.contains_key(runner) {
                    loading.insert(runner.clone(), load_steps);
                    loads.push(now);
                }
            }
            prop_assert!(loading.len() <= limit, "{} of {runners} runners change", loading.len());
            let recent = loads.iter().filter(|at| now.since(**at) < MINUTE).count();
            prop_assert!(recent <= per_minute as usize, "{recent} loads in a minute");
            loading.retain(|runner, steps_left| {
                *steps_left -= 1;
                if *steps_left == 0 {
                    reports.insert(runner.clone(), State { models: vec![model("2")], ..State::default() });
                }
                *steps_left > 0
            });
        }
    }
}
