//! Replays a load against the placement code and a model of the engines' passes.
//!
//! Each daemon has its own ledger and hears of the others only by their reports. Time advances by
//! one millisecond. A pass of an engine decodes [`Profile::stride`] steps and prefills what had
//! arrived before its start.

mod engine;
mod fleet;
mod job;

pub use fleet::Fleet;
pub use job::Kind;
pub use job::Outcome;
