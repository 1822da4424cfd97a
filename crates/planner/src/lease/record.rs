use serde::Deserialize;
use serde::Serialize;

use crate::Fencing;

/// Value of the lease's object.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Id and incarnation of the daemon that holds it.
    pub holder: String,
    /// Rises with each acquisition.
    pub fencing: Fencing,
    /// Rises with each renewal.
    pub renewals: u64,
}
