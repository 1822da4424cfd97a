use std::time::Duration;

use crate::Fault;

/// A call to the platform that did not succeed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// The condition did not hold; nothing was written.
    Conflict,
    /// The value is over the limit; nothing was written.
    TooLarge,
    /// The platform turned the call away; nothing was written.
    Unavailable {
        /// When the platform asks to be called again.
        retry_after: Option<Duration>,
    },
    /// The call brought no answer.
    Fault(Fault),
}

impl Error {
    /// Tells whether a write with this error may have taken effect.
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
            Self::Conflict => f.write_str("the object has another version"),
            Self::TooLarge => f.write_str("the value is over the store's limit"),
            Self::Unavailable { .. } => f.write_str("the platform turned the call away"),
            Self::Fault(fault) => fault.fmt(f),
        }
    }
}

impl std::error::Error for Error {}
