use crate::Fencing;

/// Reason for which an executor rejects an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// A newer order or a newer lease was seen before.
    Old {
        /// Highest fencing token seen.
        highest: Fencing,
    },
    /// The lease was not read from the store since the start of the process.
    Unconfirmed,
}

impl std::fmt::Display for Refusal {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Old { highest } => {
                write!(f, "order is older than one already seen under fencing token {highest}")
            }
            Self::Unconfirmed => f.write_str("lease has not been read from the store yet"),
        }
    }
}

impl std::error::Error for Refusal {}
