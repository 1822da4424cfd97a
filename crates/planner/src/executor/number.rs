use serde::Deserialize;
use serde::Serialize;

use crate::Fencing;

/// Number that orders the plans of all leases by fencing token and then by sequence.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Number {
    /// Fencing token of the lease.
    pub fencing: Fencing,
    /// Sequence number of the plan under that lease.
    pub sequence: u64,
}
