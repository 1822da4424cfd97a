use kumquattiller_base::attempt;
use kumquattiller_base::request;

/// Identifies the attempt and the runner process that a frame comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Origin {
    /// Request that the frame belongs to.
    pub request: request::Id,
    /// Number of the attempt at that request.
    pub attempt: attempt::Number,
    /// Incarnation of the runner process; each start of the process has its own.
    pub incarnation: u64,
}
