use kumquattiller_dialect::engine;

use crate::Fault;

/// An error of a call to an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// The engine rejected the call and did nothing.
    Refused(engine::Error),
    /// The call got no usable response.
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
