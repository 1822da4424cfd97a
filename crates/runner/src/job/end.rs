use std::time::Duration;

use kumquattiller_base::error;

/// How a job ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum End {
    /// The whole answer is in the buffer.
    Final {
        /// Tokens, or bytes for plain services.
        total: u64,
        /// HTTP status of a plain service, 0 for models.
        status: u16,
        /// Content type of a plain service's answer.
        content_type: String,
        /// Why a model stopped.
        finish_reason: String,
    },
    /// Nothing was started on the backend server.
    Refused {
        /// Why.
        kind: error::Kind,
        /// When trying again makes sense.
        retry_after: Option<Duration>,
    },
    /// It started and failed.
    Failed {
        /// Why.
        kind: error::Kind,
        /// The backend server ended meanwhile.
        backend_died: bool,
        /// What went wrong.
        detail: String,
    },
}

impl End {
    /// Makes the end of a job whose start the backend server refused.
    pub const fn refused(kind: error::Kind) -> Self {
        Self::Refused { kind, retry_after: None }
    }

    /// Makes the end of a job that failed while its backend server went on.
    pub fn failed(kind: error::Kind, detail: impl Into<String>) -> Self {
        Self::Failed { kind, backend_died: false, detail: detail.into() }
    }
}
