use kumquattiller_base::account::Rank;
use kumquattiller_base::request::Id;
use kumquattiller_base::size::Tokens;
use kumquattiller_base::time::Moment;

use crate::band::Band;

/// A request as the gate sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Item {
    /// The request.
    pub request: Id,
    /// Tokens of the prompt.
    pub prompt: Tokens,
    /// Most tokens of the answer.
    pub answer: Tokens,
    /// Rank of the client account; 0 is served first.
    pub rank: Rank,
    /// When the answer must be whole.
    pub deadline: Moment,
    /// The item only holds memory, for one part of a prompt larger than an engine.
    pub is_reservation: bool,
}

impl Item {
    /// Returns the most KV memory that the request takes.
    pub const fn footprint(&self) -> Tokens {
        self.prompt.saturating_add(self.answer)
    }

    /// Returns the size band.
    pub fn band(&self) -> Band {
        Band::of(self.prompt)
    }
}
