use serde::Deserialize;
use serde::Serialize;

use crate::Fencing;

/// Value of the lease object in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// ID and incarnation of the daemon that holds the lease.
    pub holder: String,
    /// Fencing token, which increases with each acquisition.
    pub fencing: Fencing,
    /// Number of renewals since the acquisition; each renewal thus changes the record.
    pub renewals: u64,
}
