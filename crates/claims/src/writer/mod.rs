//! Writes claims and outcomes to the store, many in one write.
//!
//! The writer keeps a [`ShardState`] for each shard and has at most one store operation in flight
//! for it, a read or a write. Claims, outcomes and releases that arrive meanwhile wait for the
//! next write.

mod action;
mod answer;
mod batch;
mod event;
mod machine;
mod settings;
mod shard_state;

pub use action::Action;
pub use answer::Answer;
use batch::Batch;
pub use event::CallId;
pub use event::ClaimRequest;
pub use event::Event;
pub use event::ReadResult;
pub use event::WriteResult;
pub use machine::Writer;
pub use settings::Settings;
use shard_state::ShardState;
