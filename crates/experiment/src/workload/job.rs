use kumquattiller_base::size::Tokens;
use kumquattiller_base::time::Moment;
use kumquattiller_routing::band::Band;

/// One request of a run.
#[derive(Debug, Clone, PartialEq)]
pub struct Job {
    /// When its caller sends it.
    pub arrival: Moment,
    /// When its answer must be whole.
    pub deadline: Moment,
    /// Tokens of the prompt.
    pub prompt: Tokens,
    /// Tokens that the model generates.
    pub answer: Tokens,
    /// Most tokens that the caller asks for.
    pub max_answer: Tokens,
    /// The session that it belongs to.
    pub session: u64,
    /// Tokens at the start of the prompt that the session's requests share.
    pub prefix: Tokens,
    /// Hashes of the shared prefix, shortest first.
    pub blocks: Vec<u64>,
}

impl Job {
    /// Returns the most KV memory that the request takes.
    pub fn footprint(&self) -> Tokens {
        self.prompt.saturating_add(self.max_answer)
    }

    /// Returns the size band.
    pub fn band(&self) -> Band {
        Band::of(self.prompt)
    }
}
