use serde::Deserialize;
use serde::Serialize;

/// Body of the response to a rejected call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Error {
    /// Kind of the error: `memory_full`, `unknown_model`, `unknown_stream`, `unknown_handle`,
    /// `old_fencing` or `malformed`.
    pub kind: String,
    /// Description of the error.
    pub message: String,
}
