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

/// Upper limit on the order frames sent in one step.
const FRAMES_PER_STEP: usize = 16;

/// Contends for the planning lease and, while it holds the lease, maintains the plan and sends
/// its orders.
#[derive(Debug)]
pub struct Planner {
    candidate: Candidate,
    /// The stored plan and its version, as read or written under the lease with this fencing
    /// number.
    plan: Option<(Fencing, Option<u64>, Plan)>,
    limiter: Limiter,
    /// Offset into the list of runners at which the next step starts sending.
    next_runner: usize,
}

impl Planner {
    pub fn new(daemon: &Daemon) -> Self {
        let identity = daemon.identity();
        let name = format!("{}/{}", identity.name, identity.incarnation);
        Self {
            candidate: Candidate::new(name, Timing::default()),
            plan: None,
            limiter: Limiter::new(0),
            next_runner: 0,
        }
    }

    /// Acquires or renews the lease; while it is held, updates the plan and sends orders.
    pub async fn step(&mut self, daemon: &Daemon) {
        let mut action = self.candidate.next_action(daemon.now());
        while let Some(call) = action {
            action = self.execute_lease_action(daemon, call).await;
        }
        let Some(fencing) = self.candidate.held_fencing(daemon.now()) else {
            self.plan = None;
            return;
        };
        if self.read_plan(daemon, fencing).await && self.commit_plan(daemon, fencing).await {
            self.send_orders(daemon, fencing);
        }
    }

    /// Executes a store call for the lease; returns the action that follows from the answer.
    async fn execute_lease_action(&mut self, daemon: &Daemon, action: Action) -> Option<Action> {
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

    /// Reads the plan once under each lease. Returns `false` if it cannot be read, or if it was
    /// written under a later lease.
    async fn read_plan(&mut self, daemon: &Daemon, fencing: Fencing) -> bool {
        if self.plan.as_ref().is_some_and(|(read_under, ..)| *read_under == fencing) {
            return true;
        }
        let Ok(stored) = daemon.platform().get::<Plan>(plan::KIND, plan::NAME).await else {
            return false;
        };
        let loads_per_minute = daemon.snapshot().configuration().rules.loads_per_minute;
        let (version, plan) = match stored {
            Some(stored) => {
                self.limiter = Limiter::exhausted(loads_per_minute, daemon.now());
                (Some(stored.version), stored.value)
            }
            None => {
                self.limiter = Limiter::new(loads_per_minute);
                (None, Plan::default())
            }
        };
        let is_usable = plan.fencing <= fencing;
        if is_usable {
            log::info!(
                fencing:%;
                "acquired the planning lease; this daemon plans the orders to engines"
            );
            self.plan = Some((fencing, version, plan));
        }
        is_usable
    }

    /// Advances the plan and writes it to the store if it changed. Returns `false` if the write
    /// failed and the plan must be read again.
    async fn commit_plan(&mut self, daemon: &Daemon, fencing: Fencing) -> bool {
        let Some((_, version, plan)) = &self.plan else { return false };
        let snapshot = daemon.snapshot();
        let configuration = snapshot.configuration();
        self.limiter.set_limit(configuration.rules.loads_per_minute);
        let targets = plan::targets(configuration);
        let reports = daemon.orders().reports();
        let config_version = configuration.version;
        let limiter = &mut self.limiter;
        let next = plan.advance(fencing, config_version, &targets, &reports, limiter, daemon.now());
        let Some(next) = next else { return true };
        let condition = version.map_or(platform::Condition::Absent, platform::Condition::Version);
        match daemon.platform().put(plan::KIND, plan::NAME, condition, &next).await {
            Ok(version) => {
                self.plan = Some((fencing, Some(version), next));
                true
            }
            Err(error) => {
                log::warn!(fencing:%; "failed to write the plan; reading it again: {error}");
                self.plan = None;
                false
            }
        }
    }

    /// Sends orders, those not yet fulfilled first, and queries the state of runners without one.
    fn send_orders(&mut self, daemon: &Daemon, fencing: Fencing) {
        let Some((_, _, plan)) = &self.plan else { return };
        if self.candidate.held_fencing(daemon.now()) != Some(fencing) {
            return;
        }
        let reports = daemon.orders().reports();
        let targets = plan::targets(daemon.snapshot().configuration());
        let mut runners: Vec<&runner::Id> = targets.values().flat_map(|s| s.keys()).collect();
        let offset = self.next_runner % runners.len().max(1);
        runners.rotate_left(offset);
        runners.sort_by_key(|runner| is_fulfilled(plan, &reports, runner));
        for runner in runners.into_iter().take(FRAMES_PER_STEP) {
            let sender = daemon.runners().get(runner).and_then(|remote| remote.sender());
            if let Some(sender) = sender {
                sender.try_send(Body::Order(order_frame(plan, runner)));
            }
        }
        self.next_runner = self.next_runner.wrapping_add(FRAMES_PER_STEP);
    }
}

/// Returns whether the last state that a runner reported matches its order.
fn is_fulfilled(plan: &Plan, reports: &Reports, runner: &runner::Id) -> bool {
    let target = plan.target(runner);
    target.zip(reports.get(runner)).is_some_and(|(target, state)| target.is_met_by(state))
}

/// Builds the order to a runner; without an order the data is empty and the frame is a query.
fn order_frame(plan: &Plan, runner: &runner::Id) -> link::Order {
    let number = Number { fencing: plan.fencing, sequence: plan.sequence };
    let order = plan.target(runner).map(|target| Order { number, target: target.clone() });
    let data = order.and_then(|order| serde_json::to_vec(&order).ok()).unwrap_or_default();
    link::Order { id: plan.sequence, fencing: plan.fencing.get(), data: data.into() }
}
