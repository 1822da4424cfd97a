//! Memory set aside before it is used.

use kumquattiller_base::size::Tokens;
use kumquattiller_base::time::Moment;

use crate::Daemon;

/// Identifies a reservation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Id(u64);

impl Id {
    /// Wraps a plain number.
    pub const fn new(value: u64) -> Self {
        Self(value)
    }

    /// Returns the plain number.
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl std::fmt::Display for Id {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// A reservation as the table keeps it.
#[derive(Debug, Clone)]
pub(crate) struct Reservation {
    pub(crate) daemon: Daemon,
    pub(crate) tokens: Tokens,
    pub(crate) expires: Moment,
}
