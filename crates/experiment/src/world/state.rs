use kumquattiller_base::runner::Id;
use kumquattiller_base::size::Tokens;
use kumquattiller_base::time::Moment;

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Result {
    /// The whole answer came in time.
    Done,
    /// It was not run.
    Refused,
    /// Its runners were lost.
    Failed,
    /// Its deadline passed after it was admitted.
    Late,
}

/// The course of one request.
#[derive(Debug, Clone, Default)]
pub struct State {
    /// The present attempt.
    pub(super) attempt: u32,
    /// The runner of the present attempt.
    pub(super) runner: Option<usize>,
    /// Runners that refused or lost it.
    pub(super) tried: Vec<Id>,
    /// Runners that refused it.
    pub(super) refusals: u32,
    /// Runners that died with it.
    pub(super) losses: u32,
    /// When the caller had the first token.
    pub first: Option<Moment>,
    /// When the caller had the outcome.
    pub end: Option<Moment>,
    /// Prompt tokens that were cached.
    pub hit: Tokens,
    /// The outcome.
    pub result: Option<Result>,
}
