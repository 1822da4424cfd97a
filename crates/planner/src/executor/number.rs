use serde::Deserialize;
use serde::Serialize;

use crate::Fencing;

/// Place of an order among all orders.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Number {
    /// Number of the lease.
    pub fencing: Fencing,
    /// Number of the plan under that lease.
    pub sequence: u64,
}
