use kumquattiller_base::runner;
use kumquattiller_clients::platform;
use kumquattiller_planner::Fencing;
use kumquattiller_planner::executor::Number;
use kumquattiller_planner::executor::Order;
use kumquattiller_planner::lease;
use kumquattiller_planner::lease::Action;
use kumquattiller_planner::lease::Candidate;
use kumquattiller_planner::lease::Timing;
use kumquattiller_planner::plan;
use kumquattiller_planner::plan::Limiter;
use kumquattiller_planner::plan::Plan;
use kumquattiller_planner::plan::Reports;
use kumquattiller_wire::Body;
use kumquattiller_wire::link;

use crate::Daemon;

/// Frames sent to runner processes at each look.
const FRAMES_PER_STEP: usize = 16;

/// A daemon that holds the lease or would like to.
#[derive(Debug)]
pub struct Holder {
    candidate: Candidate,
    /// The plan in the store with its version, as read or written under the present lease.
    plan: Option<(Fencing, Option<u64>, Plan)>,
    limiter: Limiter,
    /// Where the round over all runners stands.
    next: usize,
}

impl Holder {
    pub fn new(daemon: &Daemon) -> Self {
        let identity = daemon.identity();
        let name = format!("{}/{}", identity.name, identity.incarnation);
        Self {
            candidate: Candidate::new(name, Timing::default()),
            plan: None,
            limiter: Limiter::new(0),
            next: 0,
        }
    }

    /// Looks after the lease and, while it is held, after the plan.
    pub async fn step(&mut self, daemon: &Daemon) {
        let mut action = self.candidate.next_action(daemon.now());
        while let Some(call) = action {
            action = self.call(daemon, call).await;
        }
        let Some(fencing) = self.candidate.held_fencing(daemon.now()) else {
            self.plan = None;
            return;
        };
        if self.read_plan(daemon, fencing).await && self.commit(daemon, fencing).await {
            self.send(daemon, fencing);
        }
    }

    /// Makes a call for the lease; returns what follows from its answer.
    async fn call(&mut self, daemon: &Daemon, action: Action) -> Option<Action> {
        let platform = daemon.platform();
        match action {
            Action::Read => match platform.get::<lease::Record>(lease::KIND, lease::NAME).await {
                Ok(stored) => {
                    let found = stored.map(|stored| (stored.version, stored.value));
                    return self.candidate.handle_read(found, daemon.now());
                }
                Err(_) => self.candidate.handle_failure(false, daemon.now()),
            },
            Action::Write { record, condition } => {
                let condition = match condition {
                    lease::Condition::Absent => platform::Condition::Absent,
                    lease::Condition::Version(version) => platform::Condition::Version(version),
                };
                let written = platform.put(lease::KIND, lease::NAME, condition, &record).await;
                let now = daemon.now();
                match written {
                    Ok(version) => self.candidate.handle_write(version, now),
                    Err(platform::Error::Conflict) => self.candidate.handle_conflict(now),
                    Err(error) => self.candidate.handle_failure(error.may_have_taken_effect(), now),
                }
            }
        }
        None
    }

    /// Reads the plan once under each lease; returns whether it is known.
    async fn read_plan(&mut self, daemon: &Daemon, fencing: Fencing) -> bool {
        if self.plan.as_ref().is_some_and(|(under, ..)| *under == fencing) {
            return true;
        }
        let Ok(stored) = daemon.platform().get::<Plan>(plan::KIND, plan::NAME).await else {
            return false;
        };
        let limit = daemon.snapshot().configuration().rules.loads_per_minute;
        let (version, plan) = match stored {
            Some(stored) => {
                self.limiter = Limiter::exhausted(limit, daemon.now());
                (Some(stored.version), stored.value)
            }
            None => {
                self.limiter = Limiter::new(limit);
                (None, Plan::default())
            }
        };
        let is_older = plan.fencing <= fencing;
        if is_older {
            log::info!(fencing:%; "this daemon plans the orders to engines");
            self.plan = Some((fencing, version, plan));
        }
        is_older
    }

    /// Writes the plan that follows; returns whether the plan in the store is known.
    async fn commit(&mut self, daemon: &Daemon, fencing: Fencing) -> bool {
        let Some((_, version, plan)) = &self.plan else { return false };
        let snapshot = daemon.snapshot();
        let configuration = snapshot.configuration();
        self.limiter.set_limit(configuration.rules.loads_per_minute);
        let wanted = plan::targets(configuration);
        let reports = daemon.orders().reports();
        let configured = configuration.version;
        let limiter = &mut self.limiter;
        let next = plan.advance(fencing, configured, &wanted, &reports, limiter, daemon.now());
        let Some(next) = next else { return true };
        let condition = version.map_or(platform::Condition::Absent, platform::Condition::Version);
        match daemon.platform().put(plan::KIND, plan::NAME, condition, &next).await {
            Ok(version) => {
                self.plan = Some((fencing, Some(version), next));
                true
            }
            Err(error) => {
                log::warn!(fencing:%; "plan was not written and is read again: {error}");
                self.plan = None;
                false
            }
        }
    }

    /// Sends orders, the unmet ones first, and questions to runners without an order.
    fn send(&mut self, daemon: &Daemon, fencing: Fencing) {
        let Some((_, _, plan)) = &self.plan else { return };
        if self.candidate.held_fencing(daemon.now()) != Some(fencing) {
            return;
        }
        let reports = daemon.orders().reports();
        let wanted = plan::targets(daemon.snapshot().configuration());
        let mut runners: Vec<&runner::Id> = wanted.values().flat_map(|s| s.keys()).collect();
        let shift = self.next % runners.len().max(1);
        runners.rotate_left(shift);
        runners.sort_by_key(|runner| is_met(plan, &reports, runner));
        for runner in runners.into_iter().take(FRAMES_PER_STEP) {
            let sender = daemon.runners().get(runner).and_then(|remote| remote.sender());
            if let Some(sender) = sender {
                sender.try_send(Body::Order(frame(plan, runner)));
            }
        }
        self.next = self.next.wrapping_add(FRAMES_PER_STEP);
    }
}

/// Tells whether a runner last reported what is ordered.
fn is_met(plan: &Plan, reports: &Reports, runner: &runner::Id) -> bool {
    let target = plan.target(runner);
    target.zip(reports.get(runner)).is_some_and(|(target, state)| target.is_met_by(state))
}

/// Builds the order to a runner, or a question when there is none.
fn frame(plan: &Plan, runner: &runner::Id) -> link::Order {
    let number = Number { fencing: plan.fencing, sequence: plan.sequence };
    let order = plan.target(runner).map(|target| Order { number, target: target.clone() });
    let data = order.and_then(|order| serde_json::to_vec(&order).ok()).unwrap_or_default();
    link::Order { id: plan.sequence, fencing: plan.fencing.get(), data: data.into() }
}
