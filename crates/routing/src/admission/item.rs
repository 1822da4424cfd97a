use kumquattiller_base::account::Rank;
use kumquattiller_base::request::Id;
use kumquattiller_base::size::Tokens;
use kumquattiller_base::time::Moment;

use crate::band::Band;

/// A request or reservation to be admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Item {
    /// Id of the request.
    pub request: Id,
    /// Size of the prompt.
    pub prompt: Tokens,
    /// Maximum size of the response.
    pub max_response: Tokens,
    /// Priority rank of the client account; 0 is served first.
    pub rank: Rank,
    /// Time by which the response must be complete, or at which a reservation expires.
    pub deadline: Moment,
    /// Whether the item only reserves memory for one part of a prompt larger than an engine.
    pub is_reservation: bool,
}

impl Item {
    /// Returns the maximum KV memory that the request uses.
    pub const fn footprint(&self) -> Tokens {
        self.prompt.saturating_add(self.max_response)
    }

    /// Returns the band of the prompt.
    pub fn band(&self) -> Band {
        Band::of(self.prompt)
    }
}
