use kumquattiller_planner::lease::Condition;
use kumquattiller_planner::lease::Record;
use kumquattiller_planner::plan::Plan;

/// Answer to a write.
pub enum Answer {
    Written(u64),
    Conflict,
    /// It took effect, but the writer does not learn of it.
    Lost,
}

/// The two objects in the platform's store.
#[derive(Default)]
pub struct Store {
    version: u64,
    pub lease: Option<(u64, Record)>,
    pub plan: Option<(u64, Plan)>,
}

impl Store {
    pub fn write_lease(&mut self, record: Record, condition: Condition, lost: &mut u8) -> Answer {
        let version = self.lease.as_ref().map(|(version, _)| *version);
        let expected = match condition {
            Condition::Absent => None,
            Condition::Version(version) => Some(version),
        };
        if version != expected {
            return Answer::Conflict;
        }
        self.version += 1;
        self.lease = Some((self.version, record));
        if *lost > 0 {
            *lost -= 1;
            return Answer::Lost;
        }
        Answer::Written(self.version)
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
