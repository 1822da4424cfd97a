//! Which server gets a request, and which ones read its prompt along.

mod candidate;
mod division;
mod joint;
mod plain;
mod plan;
mod prompt;
mod utility;

pub use candidate::Candidate;
pub use division::Division;
pub use joint::fits_jointly;
pub use plain::place_plain;
pub use plan::Declined;
pub use plan::Placement;
pub use plan::Reason;
pub use prompt::Request;
pub use prompt::is_long;
pub use prompt::needs_joint;
pub use prompt::place_prompt;
pub use utility::request_value;
