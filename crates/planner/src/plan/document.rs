use kumquattiller_base::runner;
use kumquattiller_base::time::Moment;
use kumquattiller_inventory::Version;
use serde::Deserialize;
use serde::Serialize;

use crate::Fencing;
use crate::plan::Pace;
use crate::plan::Reports;
use crate::plan::Target;
use crate::plan::Targets;

/// Share of a service's runners that may change at a time, as a divisor.
const CHANGING_DIVISOR: usize = 4;

/// The orders in force; value of the plan's object in the store.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// Number of the lease under which it was written.
    pub fencing: Fencing,
    /// Rises with each plan of one fencing number.
    pub sequence: u64,
    /// The configuration that it leads to.
    pub configuration: Version,
    /// What is ordered of each runner.
    pub targets: Targets,
}

impl Plan {
    /// Returns the plan that follows, or `None` when nothing changes.
    ///
    /// A plan of another fencing number is always followed, so that a former holder's write
    /// fails its condition.
    pub fn advance(
        &self,
        fencing: Fencing,
        configuration: Version,
        desired: &Targets,
        reports: &Reports,
        pace: &mut Pace,
        now: Moment,
    ) -> Option<Self> {
        let targets = desired
            .iter()
            .map(|(service, wanted)| {
                let ordered = self.targets.get(service).cloned().unwrap_or_default();
                (service.clone(), advance_service(ordered, wanted, reports, pace, now))
            })
            .collect();
        let sequence = if fencing == self.fencing { self.sequence + 1 } else { 1 };
        let next = Self { fencing, sequence, configuration, targets };
        let changed = next.targets != self.targets
            || next.fencing != self.fencing
            || next.configuration != self.configuration;
        changed.then_some(next)
    }

    /// Returns what is ordered of a runner.
    pub fn target(&self, runner: &runner::Id) -> Option<&Target> {
        self.targets.values().find_map(|service| service.get(runner))
    }
}

type Service = std::collections::BTreeMap<runner::Id, Target>;

/// Orders the next runners of a service to change.
fn advance_service(
    mut ordered: Service,
    wanted: &Service,
    reports: &Reports,
    pace: &mut Pace,
    now: Moment,
) -> Service {
    ordered.retain(|runner, _| wanted.contains_key(runner));
    let is_changing = |(runner, target): &(&runner::Id, &Target)| {
        !reports.get(*runner).is_some_and(|state| target.is_met_by(state))
    };
    let changing = ordered.iter().filter(is_changing).count();
    let most = (wanted.len() / CHANGING_DIVISOR).max(1);
    let mut free = most.saturating_sub(changing);
    for (runner, target) in wanted {
        let Some(state) = reports.get(runner) else { continue };
        if ordered.get(runner) == Some(target) {
            continue;
        }
        let present = Target::of(state);
        // A runner that is changing already, or has what is wanted, costs no more capacity.
        let costs = present != *target && ordered.get(runner).is_none_or(|t| t.is_met_by(state));
        if costs && free == 0 || !pace.take(target.loads_from(&present), now) {
            continue;
        }
        free -= usize::from(costs);
        ordered.insert(runner.clone(), target.clone());
    }
    ordered
}
