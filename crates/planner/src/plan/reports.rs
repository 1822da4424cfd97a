use std::collections::BTreeMap;

use kumquattiller_base::runner;
use kumquattiller_dialect::engine::State;

/// What runner processes last said of their engines.
pub type Reports = BTreeMap<runner::Id, State>;
