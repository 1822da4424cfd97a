use serde::Deserialize;
use serde::Serialize;

/// Body of a refusal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Error {
    /// One of `memory_full`, `unknown_model`, `unknown_stream`, `unknown_handle`, `old_fencing`,
    /// `malformed`.
    pub kind: String,
    /// What went wrong.
    pub message: String,
}
