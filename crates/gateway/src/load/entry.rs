use kumquattiller_base::runner;
use kumquattiller_base::size::Tokens;

/// What one request asks of one server.
#[derive(Debug, Clone, PartialEq)]
pub struct Work {
    /// The server.
    pub server: runner::Id,
    /// Time to read its part of the prompt, in milliseconds.
    pub read_ms: f64,
    /// Whether the prompt counts as long.
    pub long: bool,
    /// Whether its stream allows only short pauses.
    pub tight: bool,
    /// Tokens that it holds in the engine's memory until it ends.
    pub memory: Tokens,
    /// Whether the server only reads a part and does not write.
    pub helper: bool,
}
