//! Reservations of engine memory for items that are admitted later.

use kumquattiller_base::size::Tokens;
use kumquattiller_base::time::Moment;

use crate::Daemon;

/// Identifies a reservation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Id(u64);

impl Id {
    /// Creates an id from its number.
    pub const fn new(value: u64) -> Self {
        Self(value)
    }

    /// Returns the number of the id.
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl std::fmt::Display for Id {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// A reservation in the table.
#[derive(Debug, Clone)]
pub(crate) struct Reservation {
    pub(crate) daemon: Daemon,
    pub(crate) tokens: Tokens,
    pub(crate) expires: Moment,
}
