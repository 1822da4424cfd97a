use std::time::Duration;

use crate::Fault;

/// An error of a call to the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// The precondition did not hold; nothing was written.
    Conflict,
    /// The value exceeds the size limit; nothing was written.
    TooLarge,
    /// The platform rejected the call because of its rate limit or an outage; nothing was written.
    Unavailable {
        /// Delay that the platform asks for before the next call.
        retry_after: Option<Duration>,
    },
    /// The call got no usable response.
    Fault(Fault),
}

impl Error {
    /// Returns whether a write that failed with this error may have taken effect.
    pub const fn may_have_taken_effect(&self) -> bool {
        matches!(self, Self::Fault(Fault::Lost(_) | Fault::Malformed(_)))
    }
}

impl From<Fault> for Error {
    fn from(fault: Fault) -> Self {
        Self::Fault(fault)
    }
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Conflict => f.write_str("the object does not have the expected version"),
            Self::TooLarge => f.write_str("the value exceeds the size limit of the store"),
            Self::Unavailable { .. } => {
                f.write_str("the platform rejected the call because of its rate limit or an outage")
            }
            Self::Fault(fault) => fault.fmt(f),
        }
    }
}

impl std::error::Error for Error {}
