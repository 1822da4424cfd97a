//! Tests of complete runs.

use std::time::Duration;

use kumquattiller_base::size::Tokens;
use kumquattiller_experiment::deployment::Deployment;
use kumquattiller_experiment::engine::Engine;
use kumquattiller_experiment::engine::Task;
use kumquattiller_experiment::model::Model;
use kumquattiller_experiment::options::Options;
use kumquattiller_experiment::suite;
use kumquattiller_experiment::workload;
use kumquattiller_experiment::world::Outcome;
use kumquattiller_experiment::world::World;
use kumquattiller_routing::band::Band;
use kumquattiller_routing::policy::Policy;
use test_case::test_case;

const SPAN: Duration = Duration::from_secs(40);

fn options(policy: Policy) -> Options {
    Options {
        deployments: vec![Deployment::Bayanihan],
        policies: vec![policy],
        loads: vec![0.8],
        seeds: vec![1],
        span: Duration::from_secs(60),
        ..Options::default()
    }
}

#[test_case(Policy::RoundRobin; "round robin")]
#[test_case(Policy::TwoChoices; "two choices")]
#[test_case(Policy::Kumquattiller; "kumquattiller")]
fn the_same_seed_gives_the_same_lines(policy: Policy) {
    assert_eq!(suite::run(&options(policy)), suite::run(&options(policy)));
}

#[test]
fn other_seeds_give_other_lines() {
    let other = Options { seeds: vec![2], ..options(Policy::Kumquattiller) };
    assert_ne!(suite::run(&options(Policy::Kumquattiller)), suite::run(&other));
}

#[test_case(Deployment::Bayanihan, 0.8, None; "bayanihan")]
#[test_case(Deployment::AddisKetema, 2.0, None; "addis ketema at twice the capacity")]
#[test_case(Deployment::Bayanihan, 0.8, Some(60); "bayanihan with engine crashes")]
fn every_request_has_one_outcome_and_none_is_late(
    deployment: Deployment,
    load: f64,
    crash_interval_s: Option<u64>,
) {
    let model =
        Model { death_interval: crash_interval_s.map(Duration::from_secs), ..Model::default() };
    let jobs = workload::draw(deployment, &model, load, 7, SPAN);
    let world = World::new(deployment, model, Policy::Kumquattiller, jobs, 7);
    let (jobs, states, _) = world.run();
    assert_eq!(jobs.len(), states.len());
    for (job, state) in jobs.iter().zip(&states) {
        assert!(state.outcome.is_some(), "{job:?} has no outcome");
        assert_ne!(state.outcome, Some(Outcome::Late), "{job:?}");
    }
}

#[test]
fn prompts_larger_than_an_engine_are_served() {
    let model = Model::default();
    let jobs = workload::draw(Deployment::AddisKetema, &model, 0.5, 3, Duration::from_secs(120));
    let world = World::new(Deployment::AddisKetema, model, Policy::Kumquattiller, jobs, 3);
    let (jobs, states, _) = world.run();
    let larger = jobs.iter().zip(&states).filter(|(job, _)| job.prompt > model.memory);
    let done = larger.clone().filter(|(_, state)| state.outcome == Some(Outcome::Done)).count();
    assert!(done > 0);
    assert!(done * 2 > larger.count());
}

#[test]
fn one_prompt_in_fifty_is_over_100k() {
    let model = Model::default();
    for deployment in [Deployment::Bayanihan, Deployment::AddisKetema] {
        let jobs = workload::draw(deployment, &model, 1.0, 1, Duration::from_secs(600));
        let long = jobs.iter().filter(|job| job.band() == Band::Over100k).count();
        let share = long as f64 / jobs.len() as f64;
        assert!((0.015..0.025).contains(&share), "{share}");
        assert!(jobs.iter().all(|job| (1_000..=1_000_000).contains(&job.prompt.get())));
    }
}

#[test]
fn an_engine_holds_no_more_than_its_memory() {
    let model = Model::default();
    let mut engine = Engine::new(model);
    for job in 0..64 {
        let prompt = Tokens::new(1_000 + 7_919 * job as u64 % 200_000);
        engine.start(Task {
            job,
            priority: (job % 3) as u32,
            prompt,
            answer: Tokens::new(50),
            footprint: prompt.saturating_add(Tokens::new(64)),
            session: job as u64 % 8,
            prefix: Tokens::new(prompt.get() / 2),
        });
    }
    let mut ended = 0;
    while !engine.is_idle() {
        assert!(engine.held() <= model.memory);
        engine.begin_step();
        ended += engine.finish_step().ended.len();
    }
    assert_eq!(ended, 64);
    assert_eq!(engine.held(), Tokens::ZERO);
}

#[test]
fn a_long_prefill_slows_the_answers_beside_it() {
    let model = Model::default();
    let mut engine = Engine::new(model);
    let task = |job, prompt| Task {
        job,
        priority: 0,
        prompt: Tokens::new(prompt),
        answer: Tokens::new(100),
        footprint: Tokens::new(prompt + 100),
        session: job as u64,
        prefix: Tokens::ZERO,
    };
    engine.start(task(0, 1_000));
    engine.begin_step();
    engine.finish_step();
    assert_eq!(engine.begin_step(), model.decode_step);
    engine.finish_step();
    engine.start(task(1, 100_000));
    assert_eq!(engine.begin_step(), model.busy_step());
}
