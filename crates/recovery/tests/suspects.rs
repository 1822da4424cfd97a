//! Tests that a request that crashes engines is isolated and then refused.
//!
//! They count the engines lost to such a request and check that requests running on the same
//! engines are not refused.

mod common;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use kumquattiller_base::fingerprint::Fingerprint;
use kumquattiller_base::time::Moment;
use kumquattiller_recovery::suspect::Death;
use kumquattiller_recovery::suspect::Document;
use kumquattiller_recovery::suspect::End;
use kumquattiller_recovery::suspect::Involved;
use kumquattiller_recovery::suspect::Monitor;
use kumquattiller_recovery::suspect::RETENTION;
use kumquattiller_recovery::suspect::Registry;
use kumquattiller_recovery::suspect::Standing;
use kumquattiller_recovery::suspect::death;
use proptest::collection::vec;
use proptest::prelude::*;

const ENGINES: usize = 4;
const DAEMONS: usize = 3;
const HARMLESS_REQUESTS: u32 = 12;
const CRASHER: Fingerprint = Fingerprint::new(0);

#[derive(Debug, Clone, Copy)]
enum Step {
    /// Starts a request, given by its number, through a daemon on an engine.
    Start(u32, usize, usize),
    /// An engine dies if it runs the crashing request, else it completes one request.
    Work(usize),
    /// A daemon receives its oldest pending report.
    Receive(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (0..=HARMLESS_REQUESTS, 0..DAEMONS, 0..ENGINES).prop_map(|(r, d, e)| Step::Start(r, d, e)),
        2 => (0..DAEMONS, 0..ENGINES).prop_map(|(d, e)| Step::Start(0, d, e)),
        3 => (0..ENGINES).prop_map(Step::Work),
        2 => (0..DAEMONS).prop_map(Step::Receive),
    ]
}

/// Simulated engines with their monitors and daemons with their registries.
struct Fleet {
    monitors: Vec<Monitor<u64>>,
    running: Vec<BTreeMap<u64, Fingerprint>>,
    registries: Vec<Registry>,
    pending_reports: Vec<Vec<Death>>,
    report_immediately: bool,
    attempts: u64,
    engines_lost: usize,
    finished: BTreeSet<Fingerprint>,
}

impl Fleet {
    fn new(report_immediately: bool) -> Self {
        Self {
            monitors: (0..ENGINES)
                .map(|index| Monitor::new(format!("runner-{index}"), 1))
                .collect(),
            running: vec![BTreeMap::new(); ENGINES],
            registries: (0..DAEMONS).map(|_| Registry::default()).collect(),
            pending_reports: vec![Vec::new(); DAEMONS],
            report_immediately,
            attempts: 0,
            engines_lost: 0,
            finished: BTreeSet::new(),
        }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Start(request, daemon, engine) => {
                self.start(Fingerprint::new(u128::from(request)), daemon, engine);
            }
            Step::Work(engine) => self.work(engine),
            Step::Receive(daemon) => {
                if !self.pending_reports[daemon].is_empty() {
                    let death = self.pending_reports[daemon].remove(0);
                    apply(&mut self.registries[daemon], &death);
                }
            }
        }
    }

    fn start(&mut self, request: Fingerprint, daemon: usize, engine: usize) -> Standing {
        let standing = self.registries[daemon].standing(request, Moment::ZERO);
        let suspect = match standing {
            Standing::Refused { .. } => return standing,
            Standing::Suspect => true,
            Standing::Clear => false,
        };
        self.attempts += 1;
        if self.monitors[engine].start(self.attempts, request, suspect) {
            self.running[engine].insert(self.attempts, request);
        }
        standing
    }

    fn work(&mut self, engine: usize) {
        let running = self.running[engine].clone();
        if running.values().any(|request| *request == CRASHER) {
            self.engines_lost += 1;
            self.running[engine].clear();
            for attempt in running.keys() {
                let death = self.monitors[engine].finish(*attempt, End::EngineDied);
                if let Some((death, true)) = death {
                    self.report(&death);
                }
            }
        } else if let Some((attempt, request)) = running.first_key_value() {
            self.running[engine].remove(attempt);
            self.monitors[engine].finish(*attempt, End::EngineSurvived);
            self.finished.insert(*request);
            for registry in &mut self.registries {
                registry.clear(*request);
            }
        }
    }

    fn report(&mut self, death: &Death) {
        for daemon in 0..DAEMONS {
            if self.report_immediately {
                apply(&mut self.registries[daemon], death);
            } else {
                self.pending_reports[daemon].push(death.clone());
            }
        }
    }

    fn copies_running(&self) -> usize {
        let all = self.running.iter().flat_map(BTreeMap::values);
        all.filter(|request| **request == CRASHER).count()
    }
}

fn apply(registry: &mut Registry, death: &Death) {
    for involved in &death.running {
        registry.record_death(*involved, death.id, Moment::ZERO);
    }
}

#[test]
fn a_resent_request_crashes_at_most_two_engines_and_no_other_is_refused() {
    let outcome = common::runner(9).run(&vec(step(), 0..200), |steps| {
        let mut fleet = Fleet::new(true);
        for step in steps {
            // The caller resends its request only after the previous attempt ended.
            let resent_while_running =
                matches!(step, Step::Start(0, ..)) && fleet.copies_running() > 0;
            if !resent_while_running {
                fleet.step(step);
            }
        }
        prop_assert!(fleet.engines_lost <= 2, "{} engines lost", fleet.engines_lost);
        for harmless in 1..=HARMLESS_REQUESTS {
            let harmless = Fingerprint::new(u128::from(harmless));
            let standing = fleet.start(harmless, 0, 0);
            prop_assert!(!matches!(standing, Standing::Refused { .. }), "harmless request refused");
        }
        for engine in 0..ENGINES {
            while !fleet.running[engine].is_empty() {
                fleet.work(engine);
            }
        }
        prop_assert!(fleet.engines_lost <= 2, "{} engines lost", fleet.engines_lost);
        Ok(())
    });
    if let Err(error) = outcome {
        panic!("{error}");
    }
}

#[test]
fn without_a_shared_record_the_loss_is_not_bounded_by_two() {
    let outcome = common::runner(9).run(&vec(step(), 0..200), |steps| {
        let mut fleet = Fleet::new(false);
        steps.into_iter().filter(|s| !matches!(s, Step::Receive(_))).for_each(|s| fleet.step(s));
        prop_assert!(fleet.engines_lost <= 2);
        Ok(())
    });
    assert!(outcome.is_err(), "the property above cannot fail");
}

#[test]
fn concurrent_copies_crash_no_more_engines_once_all_daemons_know() {
    let outcome = common::runner(9).run(&vec(step(), 0..200), |steps| {
        let mut fleet = Fleet::new(false);
        let mut bound = None;
        for step in steps {
            fleet.step(step);
            let all_refuse = fleet.registries.iter().all(|registry| {
                matches!(registry.standing(CRASHER, Moment::ZERO), Standing::Refused { .. })
            });
            if all_refuse {
                let now = fleet.engines_lost + fleet.copies_running();
                prop_assert!(bound.is_none_or(|bound| now <= bound), "more engines lost");
                bound = Some(now);
            }
        }
        Ok(())
    });
    if let Err(error) = outcome {
        panic!("{error}");
    }
}

#[test]
fn two_suspects_never_share_an_engine() {
    let mut monitor = Monitor::new("runner-a".to_owned(), 1);
    assert!(monitor.start(1, Fingerprint::new(1), true));
    assert!(monitor.start(2, Fingerprint::new(2), false));
    assert!(!monitor.start(3, Fingerprint::new(3), true));
    monitor.finish(1, End::EngineSurvived);
    assert!(monitor.start(3, Fingerprint::new(3), true));
}

#[test]
fn all_attempts_of_one_death_carry_one_id() {
    let mut monitor = Monitor::new("runner-a".to_owned(), 1);
    (1..=3_u64).for_each(|n| assert!(monitor.start(n, Fingerprint::new(u128::from(n)), false)));
    let (first, new) = monitor.finish(2, End::EngineDied).expect("a death");
    assert!(new);
    assert_eq!(first.running.len(), 3);
    let (second, new) = monitor.finish(1, End::EngineDied).expect("the same death");
    assert!(!new);
    assert_eq!(second.id, first.id);
    assert_eq!(monitor.finish(3, End::EngineSurvived), None);
}

#[test]
fn a_record_is_merged_through_the_store_and_expires() {
    let mut registry = Registry::default();
    let request = Fingerprint::new(1);
    let involved = |suspect| Involved { fingerprint: request, suspect };
    assert!(registry.record_death(involved(false), death::Id::new(1), Moment::ZERO));
    assert!(
        !registry.record_death(involved(false), death::Id::new(1), Moment::ZERO),
        "one death counts once"
    );
    assert_eq!(registry.standing(request, Moment::ZERO), Standing::Suspect);
    let json = serde_json::to_string(&Document::of(&registry, Moment::ZERO, 5_000)).expect("JSON");
    let document: Document = serde_json::from_str(&json).expect("stored records");
    let mut other = Registry::default();
    let now = Moment::from_millis(60_000);
    assert!(other.record_death(involved(true), death::Id::new(2), now));
    assert!(document.merge_into(&mut other, now, 6_000));
    assert!(matches!(other.standing(request, now), Standing::Refused { .. }));
    assert!(other.clear(request));
    assert_eq!(other.standing(request, now), Standing::Clear);
    let after = Moment::ZERO + RETENTION + Duration::from_millis(1);
    assert_eq!(registry.standing(request, after), Standing::Clear);
}
