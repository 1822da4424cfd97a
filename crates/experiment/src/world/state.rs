use kumquattiller_base::runner::Id;
use kumquattiller_base::size::Tokens;
use kumquattiller_base::time::Moment;

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The complete answer arrived in time.
    Done,
    /// The request was refused without running.
    Refused,
    /// The runners of the request were lost.
    Failed,
    /// The deadline passed after the request was admitted.
    Late,
}

/// State of one request.
#[derive(Debug, Clone, Default)]
pub struct State {
    /// Number of the current attempt.
    pub(super) attempt: u32,
    /// The runner of the current attempt.
    pub(super) runner: Option<usize>,
    /// Runners that refused or lost the request.
    pub(super) tried: Vec<Id>,
    /// Number of attempts that runners refused.
    pub(super) refusals: u32,
    /// Number of attempts that were lost.
    pub(super) losses: u32,
    /// Time at which the caller received the first token.
    pub first: Option<Moment>,
    /// Time at which the caller received the outcome.
    pub end: Option<Moment>,
    /// Number of prompt tokens that were cached.
    pub hit: Tokens,
    /// The outcome.
    pub outcome: Option<Outcome>,
}
