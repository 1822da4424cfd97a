//! Placement of requests on backend servers.
//!
//! A request of a plain service goes to the server with the fewest requests. For a model engine,
//! [`place_prompt`] divides the servers between short and long prompts ([`Division`]) and picks the
//! placement with the lowest expected loss. The prefill of a long prompt may be split between a
//! server and helpers; a prompt that exceeds the memory of one engine is held by several servers.

mod bound;
mod candidate;
mod division;
mod expected;
mod holder;
mod joint;
mod plain;
mod plan;
mod prompt;
mod ramp;
mod utility;

pub use bound::CostBound;
pub use candidate::Candidate;
pub use division::Division;
pub use expected::expected_response;
pub use joint::fits_jointly;
pub use joint::has_free_memory;
pub use joint::max_participants;
pub use plain::place_plain;
pub use plan::Declined;
pub use plan::Placement;
pub use plan::Reason;
pub use prompt::Request;
pub use prompt::is_long;
pub use prompt::needs_joint;
pub use prompt::place_prompt;
pub use prompt::place_within;
pub use ramp::RAMP_TIME;
pub use ramp::ramp_cost;
pub use utility::first_urgency;
pub use utility::request_value;
