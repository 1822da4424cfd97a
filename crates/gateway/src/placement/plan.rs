use kumquattiller_base::runner;
use kumquattiller_base::size::Tokens;

/// Reason for choosing a server, as written to the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Reason {
    /// The server has the fewest requests per slot.
    FewestRequests,
    /// The prompt is short; the server has the lowest cost, normally one for short prompts.
    ShortDivision,
    /// The prompt is split into parts small enough to prefill on any server.
    #[strum(serialize = "thin")]
    SmallParts,
    /// The prompt exceeds the memory of one engine and is held by several servers.
    Joint,
    /// The prompt is long, and the server still holds its beginning.
    HeldPrefix,
    /// The prompt is long and is placed mainly on servers for long prompts.
    LongDivision,
}

/// Reason for not placing a request, as written to the log and used for the refusal.
#[derive(Debug, Clone, Copy, PartialEq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Declined {
    /// The service has no eligible server.
    NoServer,
    /// All servers of the service are in evacuated availability zones.
    Evacuated,
    /// The servers do not have enough free memory for the prompt.
    #[strum(serialize = "no_room")]
    NoMemory,
    /// The placement would cost other requests too much compared with the gain, both in units of
    /// request value.
    #[strum(serialize = "too_dear")]
    TooCostly {
        /// Expected loss of other requests.
        others: f64,
        /// Value of the response at its expected time.
        gain: f64,
    },
}

/// The servers that a request is placed on.
#[derive(Debug, Clone, PartialEq)]
pub struct Placement {
    /// The server that runs the request.
    pub server: runner::Id,
    /// Servers that prefill a part of the prompt.
    pub helpers: Vec<runner::Id>,
    /// Helpers that also hold a part of the prompt in memory, with the size of the part.
    pub holders: Vec<(runner::Id, Tokens)>,
    /// Prefill time of the part of each server, in milliseconds.
    pub part_ms: f64,
    /// Expected time until the prefill is complete, in milliseconds.
    pub first_ms: f64,
    /// Reason for the choice.
    pub reason: Reason,
}

impl Placement {
    /// Returns the ids of the helpers, separated by spaces, for the log.
    pub fn helper_names(&self) -> String {
        self.helpers.iter().map(runner::Id::as_str).collect::<Vec<_>>().join(" ")
    }
}
