use serde::Deserialize;
use serde::Serialize;

use crate::executor::Number;
use crate::plan::Target;

/// What a plan asks of one runner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Its place among all orders.
    pub number: Number,
    /// What the engine is to have loaded.
    pub target: Target,
}
