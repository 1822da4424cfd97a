use kumquattiller_dialect::engine;

use crate::Fault;

/// A call to an engine that did not succeed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// The engine refused; nothing was done.
    Refused(engine::Error),
    /// The call brought no answer.
    Fault(Fault),
}

impl From<Fault> for Error {
    fn from(fault: Fault) -> Self {
        Self::Fault(fault)
    }
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Refused(error) => write!(f, "engine refused, {}: {}", error.kind, error.message),
            Self::Fault(fault) => fault.fmt(f),
        }
    }
}

impl std::error::Error for Error {}
