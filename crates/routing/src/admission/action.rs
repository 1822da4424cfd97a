use std::time::Duration;

use kumquattiller_base::error::Kind;
use kumquattiller_base::request::Id;

/// Refusal of a request by the gate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// The error kind for the entry daemon.
    pub kind: Kind,
    /// Delay after which a retry may succeed.
    pub retry_after: Duration,
}

impl From<Kind> for Refusal {
    /// Creates a refusal with the default retry delay of the error kind.
    fn from(kind: Kind) -> Self {
        Self { kind, retry_after: kind.response().retry_after.unwrap_or_default() }
    }
}

/// Decision about an arriving request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Start the request now.
    Admit {
        /// The engine priority; lower values run first.
        priority: u32,
    },
    /// Queue the request; a later [`Action`] decides about it.
    Hold,
    /// Refuse the request without starting it.
    Refuse(Refusal),
}

/// Action for a queued request or an admitted reservation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Start the queued request now.
    Admit {
        /// The request.
        request: Id,
        /// The engine priority; lower values run first.
        priority: u32,
    },
    /// The reservation expired and its memory was released.
    Expire {
        /// The request.
        request: Id,
    },
    /// Refuse the queued request without starting it.
    Refuse {
        /// The request.
        request: Id,
        /// The error kind and retry delay.
        refusal: Refusal,
    },
}
