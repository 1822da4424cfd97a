//! Which server gets a request, and which ones read its prompt along.

mod candidate;
mod division;
mod joint;
mod plain;
mod plan;
mod price;
mod prompt;

pub use candidate::Candidate;
pub use division::Division;
pub use joint::fits;
pub use plain::place_plain;
pub use plan::Declined;
pub use plan::Placement;
pub use plan::Reason;
pub use price::worth;
pub use prompt::Request;
pub use prompt::is_joint;
pub use prompt::is_long;
pub use prompt::place_prompt;
