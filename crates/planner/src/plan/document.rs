use kumquattiller_base::runner;
use kumquattiller_base::time::Moment;
use kumquattiller_inventory::Version;
use serde::Deserialize;
use serde::Serialize;

use crate::Fencing;
use crate::plan::Limiter;
use crate::plan::Reports;
use crate::plan::Target;
use crate::plan::Targets;

/// At most one in this many runners of a service, but at least one runner, changes at a time.
const MAX_CHANGING_DIVISOR: usize = 4;

/// The orders in force; value of the plan object in the store.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// Fencing token of the lease under which the plan was written.
    pub fencing: Fencing,
    /// Number of the plan among those with the same fencing token, starting at 1.
    pub sequence: u64,
    /// Version of the configuration that the plan implements.
    pub configuration: Version,
    /// Ordered target of each runner.
    pub targets: Targets,
}

impl Plan {
    /// Returns the next plan, or `None` if nothing changes.
    ///
    /// A plan with another fencing token is always replaced, so that a late write by a previous
    /// lease holder fails its precondition.
    pub fn advance(
        &self,
        fencing: Fencing,
        configuration: Version,
        desired: &Targets,
        reports: &Reports,
        limiter: &mut Limiter,
        now: Moment,
    ) -> Option<Self> {
        let targets = desired
            .iter()
            .map(|(service, targets)| {
                let ordered = self.targets.get(service).cloned().unwrap_or_default();
                (service.clone(), advance_service(ordered, targets, reports, limiter, now))
            })
            .collect();
        let sequence = if fencing == self.fencing { self.sequence + 1 } else { 1 };
        let next = Self { fencing, sequence, configuration, targets };
        let changed = next.targets != self.targets
            || next.fencing != self.fencing
            || next.configuration != self.configuration;
        changed.then_some(next)
    }

    /// Returns the ordered target of a runner, if there is one.
    pub fn target(&self, runner: &runner::Id) -> Option<&Target> {
        self.targets.values().find_map(|service| service.get(runner))
    }
}

/// Targets of the runners of one service.
type ServiceTargets = std::collections::BTreeMap<runner::Id, Target>;

/// Returns the targets of a service, with new orders for the runners that may change now.
fn advance_service(
    mut ordered: ServiceTargets,
    desired: &ServiceTargets,
    reports: &Reports,
    limiter: &mut Limiter,
    now: Moment,
) -> ServiceTargets {
    ordered.retain(|runner, _| desired.contains_key(runner));
    let is_changing = |(runner, target): &(&runner::Id, &Target)| {
        !reports.get(*runner).is_some_and(|state| target.is_met_by(state))
    };
    let changing = ordered.iter().filter(is_changing).count();
    let max_changing = (desired.len() / MAX_CHANGING_DIVISOR).max(1);
    let mut available = max_changing.saturating_sub(changing);
    for (runner, target) in desired {
        let Some(state) = reports.get(runner) else { continue };
        if ordered.get(runner) == Some(target) {
            continue;
        }
        let current = Target::of(state);
        // A runner that is already changing or already has its target takes no further capacity.
        let reduces_capacity =
            current != *target && ordered.get(runner).is_none_or(|t| t.is_met_by(state));
        if reduces_capacity && available == 0
            || !limiter.try_acquire(target.loads_from(&current), now)
        {
            continue;
        }
        available -= usize::from(reduces_capacity);
        ordered.insert(runner.clone(), target.clone());
    }
    ordered
}
