use std::time::Duration;

use kumquattiller_base::error::Kind;
use kumquattiller_base::request::Id;

/// Why a request was not admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// The error kind for the entry daemon.
    pub kind: Kind,
    /// When trying again makes sense.
    pub retry_after: Duration,
}

impl From<Kind> for Refusal {
    /// Makes a refusal with the kind's usual time to try again.
    fn from(kind: Kind) -> Self {
        Self { kind, retry_after: kind.answer().retry_after.unwrap_or_default() }
    }
}

/// The answer to a request that wants in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Start it now with this engine priority; lower runs first.
    Admit {
        /// The engine priority.
        priority: u32,
    },
    /// It waits here and is the subject of a later [`Action`].
    Hold,
    /// It is not started here.
    Refuse(Refusal),
}

/// What to do with a request that was held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Start it now.
    Admit {
        /// The request.
        request: Id,
        /// The engine priority; lower runs first.
        priority: u32,
    },
    /// The reservation ran out, and its memory is free again.
    Expire {
        /// The request.
        request: Id,
    },
    /// Refuse it; nothing was started.
    Refuse {
        /// The request.
        request: Id,
        /// The reason.
        refusal: Refusal,
    },
}
