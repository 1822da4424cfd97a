use serde::Deserialize;
use serde::Serialize;

use crate::executor::Number;
use crate::plan::Target;

/// The order of a plan to one runner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Number of the plan, by which older orders are rejected.
    pub number: Number,
    /// What the engine should have loaded.
    pub target: Target,
}
