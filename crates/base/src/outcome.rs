//! Terminal outcomes of requests.

use std::time::Duration;

use crate::attempt::NotStarted;
use crate::error;
use crate::size::Tokens;

/// The single terminal outcome of an admitted request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The complete answer was delivered.
    Done {
        /// Number of tokens in the answer.
        tokens: Tokens,
    },
    /// The request was started on no backend server.
    NotRun(Refusal),
    /// The request started and failed.
    Failed(error::Kind),
    /// Whether the request ran cannot be known.
    Unknown(error::Kind),
}

/// Why a request was not run, and when to retry it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    kind: error::Kind,
    retry_after: Option<Duration>,
}

impl Refusal {
    /// Returns the error kind.
    pub const fn kind(&self) -> error::Kind {
        self.kind
    }

    /// Returns the delay before a retry; `None` for the kind's default.
    pub const fn retry_after(&self) -> Option<Duration> {
        self.retry_after
    }
}

impl Outcome {
    /// Creates the outcome "not run", which requires the proof that nothing was started.
    pub fn not_run(proof: NotStarted, kind: error::Kind, retry_after: Option<Duration>) -> Self {
        let _ = proof;
        Self::NotRun(Refusal { kind, retry_after })
    }

    /// Tells whether the request ran.
    pub const fn ran(&self) -> error::Ran {
        match self {
            Self::Done { .. } | Self::Failed(_) => error::Ran::Yes,
            Self::NotRun(_) => error::Ran::No,
            Self::Unknown(_) => error::Ran::Unknown,
        }
    }
}

impl std::fmt::Display for Outcome {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Done { tokens } => write!(f, "done, {tokens}"),
            Self::NotRun(refusal) => write!(f, "not run: {}", refusal.kind),
            Self::Failed(kind) => write!(f, "failed: {kind}"),
            Self::Unknown(kind) => write!(f, "unknown: {kind}"),
        }
    }
}
