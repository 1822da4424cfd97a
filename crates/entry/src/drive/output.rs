use bytes::Bytes;
use kumquattiller_base::attempt;
use kumquattiller_base::outcome::Outcome;
use kumquattiller_base::request;
use kumquattiller_base::runner;
use kumquattiller_wire::Attempt;

/// Stands for the runner of an answer that came from the record of a claim.
const RECORDED_RUNNER: &str = "recorded";

/// What a driver hands to the caller's side.
#[derive(Debug, Clone)]
pub enum Output {
    /// The next piece of the answer.
    Chunk(Chunk),
    /// The terminal outcome; nothing follows.
    End(End),
}

/// A piece of an answer.
#[derive(Debug, Clone)]
pub struct Chunk {
    /// Where the answer can be continued after this piece.
    pub position: Position,
    /// The data.
    pub data: Bytes,
}

/// A position in an answer that any entry daemon can continue from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Position {
    /// The runner that has the answer.
    pub runner: runner::Id,
    /// The start of its process.
    pub incarnation: u64,
    /// The attempt.
    pub attempt: Attempt,
    /// Offset of the next token, or byte for plain services.
    pub offset: u64,
}

impl Position {
    /// Returns the position of an answer that a record kept; no runner has it to continue.
    pub(super) fn recorded(request: request::Id) -> Self {
        let attempt = Attempt { request, number: attempt::Number::FIRST };
        let runner = RECORDED_RUNNER.parse().expect("the constant is a valid name");
        Self { runner, incarnation: 0, attempt, offset: 0 }
    }
}

/// The terminal outcome of a request.
#[derive(Debug, Clone)]
pub struct End {
    /// The outcome.
    pub outcome: Outcome,
    /// HTTP status of a plain service's answer, 0 otherwise.
    pub status: u16,
    /// Content type of a plain service's answer.
    pub content_type: String,
    /// Why a model stopped.
    pub finish_reason: String,
}

impl From<Outcome> for End {
    fn from(outcome: Outcome) -> Self {
        Self { outcome, status: 0, content_type: String::new(), finish_reason: String::new() }
    }
}
