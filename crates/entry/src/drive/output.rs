use bytes::Bytes;
use kumquattiller_base::attempt;
use kumquattiller_base::outcome::Outcome;
use kumquattiller_base::request;
use kumquattiller_base::runner;
use kumquattiller_wire::Attempt;

/// Runner id in the position of an answer that comes from a claim's record.
const RECORDED_RUNNER: &str = "recorded";

/// What a driver sends to the HTTP handler.
#[derive(Debug, Clone)]
pub enum Output {
    /// The next data of the answer.
    Chunk(Chunk),
    /// The terminal outcome; nothing follows.
    End(End),
}

/// Data of an answer with its position.
#[derive(Debug, Clone)]
pub struct Chunk {
    /// Where the answer can be resumed after this chunk.
    pub position: Position,
    /// The data.
    pub data: Bytes,
}

/// A position in an answer from which any entry daemon can resume it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Position {
    /// The runner that computes the answer.
    pub runner: runner::Id,
    /// Incarnation of the runner's process.
    pub incarnation: u64,
    /// The attempt that produced the answer.
    pub attempt: Attempt,
    /// Offset of the next token, or of the next byte for plain services.
    pub offset: u64,
}

impl Position {
    /// Returns the position of an answer from a claim's record. It cannot be resumed, as no runner
    /// has the answer.
    pub(super) fn for_recorded_answer(request: request::Id) -> Self {
        let attempt = Attempt { request, number: attempt::Number::FIRST };
        let runner = RECORDED_RUNNER.parse().expect("RECORDED_RUNNER is a valid runner id");
        Self { runner, incarnation: 0, attempt, offset: 0 }
    }
}

/// The terminal outcome of a request, with the metadata of its answer.
#[derive(Debug, Clone)]
pub struct End {
    /// The outcome.
    pub outcome: Outcome,
    /// HTTP status of a plain service's answer, 0 otherwise.
    pub status: u16,
    /// Content type of a plain service's answer.
    pub content_type: String,
    /// Why the model stopped generating.
    pub finish_reason: String,
}

impl From<Outcome> for End {
    fn from(outcome: Outcome) -> Self {
        Self { outcome, status: 0, content_type: String::new(), finish_reason: String::new() }
    }
}
