use kumquattiller_base::attempt;
use kumquattiller_base::request;

/// Where a frame comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Origin {
    /// The request.
    pub request: request::Id,
    /// The attempt.
    pub attempt: attempt::Number,
    /// The start of the runner's process.
    pub incarnation: u64,
}
