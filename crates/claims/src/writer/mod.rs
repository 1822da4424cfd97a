//! Writes claims and outcomes to the store, many in one write.
//!
//! Each shard has a [`Lane`] that is idle, reading or writing; there is never more than one call
//! to the store for a shard. What arrives meanwhile waits for the next write.

mod action;
mod answer;
mod batch;
mod event;
mod lane;
mod machine;
mod settings;

pub use action::Action;
pub use answer::Answer;
use batch::Batch;
pub use event::Call;
pub use event::Event;
pub use event::ReadResult;
pub use event::Want;
pub use event::WriteResult;
use lane::Lane;
pub use machine::Writer;
pub use settings::Settings;
