use std::time::Duration;

use kumquattiller_base::error;

/// How a job ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum End {
    /// The whole answer is in the buffer.
    Final {
        /// Length of the answer in tokens, or in bytes for plain services.
        total: u64,
        /// HTTP status of a plain service, 0 for models.
        status: u16,
        /// Content type of a plain service's answer.
        content_type: String,
        /// Finish reason that the model engine gave; empty for plain services.
        finish_reason: String,
    },
    /// Nothing was started on the backend server.
    Refused {
        /// Reason of the refusal.
        kind: error::Kind,
        /// Delay before a retry; `None` for the kind's default.
        retry_after: Option<Duration>,
    },
    /// The backend server started the work, and it failed.
    Failed {
        /// Reason of the failure.
        kind: error::Kind,
        /// Whether the backend server died while it ran the work.
        backend_died: bool,
        /// Description of the failure for operators.
        detail: String,
    },
}

impl End {
    /// Returns the end of a job whose start the backend server refused.
    pub const fn refused(kind: error::Kind) -> Self {
        Self::Refused { kind, retry_after: None }
    }

    /// Returns the end of a job that failed while its backend server kept running.
    pub fn failed(kind: error::Kind, detail: impl Into<String>) -> Self {
        Self::Failed { kind, backend_died: false, detail: detail.into() }
    }
}
