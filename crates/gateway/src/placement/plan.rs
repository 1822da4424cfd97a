use kumquattiller_base::runner;
use kumquattiller_base::size::Tokens;

/// Why a server was chosen, for the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Reason {
    /// It has the fewest requests for its slots.
    FewestRequests,
    /// It has the least to read among the servers for short prompts.
    ShortDivision,
    /// Parts of the prompt are small enough to be read anywhere.
    #[strum(serialize = "thin")]
    SmallParts,
    /// No server's memory holds the prompt; several hold it together.
    Joint,
    /// It is among the servers for long prompts.
    LongDivision,
}

/// Why a request is placed nowhere, for the log and the refusal.
#[derive(Debug, Clone, Copy, PartialEq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Declined {
    /// Its service has no server that may get it.
    NoServer,
    /// The servers' memory does not hold its prompt beside what they do.
    NoRoom,
    /// Its placement would cost others too much for what it gains, both in worth.
    #[strum(serialize = "too_dear")]
    TooCostly {
        /// What others would lose.
        others: f64,
        /// What its answer is worth at the time at which it is expected.
        gain: f64,
    },
}

/// Where a request goes.
#[derive(Debug, Clone, PartialEq)]
pub struct Placement {
    /// The server that runs it.
    pub server: runner::Id,
    /// Servers that read a part of its prompt.
    pub helpers: Vec<runner::Id>,
    /// Helpers that also hold a part of the prompt in their memory, and how much.
    pub holders: Vec<(runner::Id, Tokens)>,
    /// Time to read the part of each server, in milliseconds.
    pub part_ms: f64,
    /// Expected time until the prompt is read, in milliseconds.
    pub first_ms: f64,
    /// Why.
    pub reason: Reason,
}

impl Placement {
    /// Returns the ids of the helpers, for the log.
    pub fn helper_names(&self) -> String {
        self.helpers.iter().map(runner::Id::as_str).collect::<Vec<_>>().join(" ")
    }
}
