//! Committing a configuration to the platform's store.
//!
//! A [`Commit`] reads the manifest, writes the shards that differ, and updates the manifest on
//! the condition that nobody else did. Until that update takes effect nothing has changed. When
//! its answer is lost, the commit reads the manifest back and finds its own id in the history, or
//! not.

mod event;
mod machine;
mod outcome;

pub use event::Action;
pub use event::Answer;
pub use event::Event;
pub use event::Stored;
pub use machine::Commit;
pub use outcome::Outcome;
