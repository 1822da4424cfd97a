//! The copy of the accepted configuration that one process holds.
//!
//! The version of a [`Replica`] only increases. A confirmation that there is no newer version is
//! dated by when its request was sent, not by when the response was handled, so that a response
//! that stayed in a buffer while the process was paused does not make the copy look fresh.

mod machine;
mod state;

pub use machine::Adoption;
pub use machine::FRESHNESS_LIMIT;
pub use machine::Replica;
pub use state::State;
