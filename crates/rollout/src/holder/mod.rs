//! What one process holds of the accepted configuration.
//!
//! The version of a [`Holder`] only rises. Each confirmation that there is nothing newer counts
//! from the moment at which the question was sent, so that an answer which lay in a buffer while
//! the process was paused proves nothing about the present.

mod machine;
mod state;

pub use machine::Adoption;
pub use machine::FRESHNESS_LIMIT;
pub use machine::Holder;
pub use state::State;
