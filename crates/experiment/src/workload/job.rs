use kumquattiller_base::size::Tokens;
use kumquattiller_base::time::Moment;
use kumquattiller_routing::band::Band;

/// One request of a run.
#[derive(Debug, Clone, PartialEq)]
pub struct Job {
    /// Time at which the request arrives.
    pub arrival: Moment,
    /// Time by which the answer must be complete.
    pub deadline: Moment,
    /// Number of tokens in the prompt.
    pub prompt: Tokens,
    /// Number of tokens that the model generates.
    pub answer: Tokens,
    /// Maximum number of tokens that the caller requests.
    pub max_answer: Tokens,
    /// Session that the request belongs to.
    pub session: u64,
    /// Number of leading prompt tokens shared by the session's requests.
    pub prefix: Tokens,
    /// Hashes of the shared prefixes, shortest first.
    pub blocks: Vec<u64>,
}

impl Job {
    /// Returns the maximum KV memory that the request needs.
    pub fn footprint(&self) -> Tokens {
        self.prompt.saturating_add(self.max_answer)
    }

    /// Returns the band of the prompt size.
    pub fn band(&self) -> Band {
        Band::of(self.prompt)
    }
}
