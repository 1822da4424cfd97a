use std::collections::BTreeMap;

use kumquattiller_base::runner;
use kumquattiller_dialect::engine::State;

/// Engine states last reported by the runner processes.
pub type Reports = BTreeMap<runner::Id, State>;
