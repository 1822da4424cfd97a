use kumquattiller_planner::lease::Condition;
use kumquattiller_planner::lease::Record;
use kumquattiller_planner::plan::Plan;

/// Result of a write as seen by the writer.
pub enum Outcome {
    Written(u64),
    Conflict,
    /// The write took effect, but its response was lost.
    Lost,
}

/// Simulated store with the lease and plan objects.
#[derive(Default)]
pub struct Store {
    version: u64,
    pub lease: Option<(u64, Record)>,
    pub plan: Option<(u64, Plan)>,
}

impl Store {
    pub fn write_lease(
        &mut self,
        record: Record,
        condition: Condition,
        to_lose: &mut u8,
    ) -> Outcome {
        let version = self.lease.as_ref().map(|(version, _)| *version);
        let expected = match condition {
            Condition::Absent => None,
            Condition::Version(version) => Some(version),
        };
        if version != expected {
            return Outcome::Conflict;
        }
        self.version += 1;
        self.lease = Some((self.version, record));
        if *to_lose > 0 {
            *to_lose -= 1;
            return Outcome::Lost;
        }
        Outcome::Written(self.version)
    }

    pub fn write_plan(&mut self, plan: &Plan, expected: u64) -> bool {
        let version = self.plan.as_ref().map_or(0, |(version, _)| *version);
        if version != expected {
            return false;
        }
        self.version += 1;
        self.plan = Some((self.version, plan.clone()));
        true
    }
}
