//! Committing a configuration to the platform's store.
//!
//! A [`Commit`] reads the manifest, writes the shards that differ, and updates the manifest on
//! the condition that it was not modified in the meantime. The accepted configuration changes
//! only when that update takes effect. When its response is lost, the commit reads the manifest
//! back and looks for its own id in the history to learn whether the update took effect.

mod event;
mod machine;
mod outcome;

pub use event::Action;
pub use event::Event;
pub use event::Stored;
pub use event::UpdateResult;
pub use machine::Commit;
pub use outcome::Outcome;
