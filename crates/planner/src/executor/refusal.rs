use crate::Fencing;

/// Why an executor refuses an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// It has seen a higher number.
    Old {
        /// The highest fencing number that it has seen.
        highest: Fencing,
    },
    /// It started and has not yet read the lease from the store.
    Unconfirmed,
}

impl std::fmt::Display for Refusal {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Old { highest } => write!(f, "an order of lease {highest} came before"),
            Self::Unconfirmed => f.write_str("the lease was not read yet"),
        }
    }
}

impl std::error::Error for Refusal {}
