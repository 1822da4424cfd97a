//! Requests that ran when an engine died.
//!
//! The runner process keeps a [`Monitor`]: it knows all that ran on its engine, and makes a [`Death`]
//! of it when the engine dies. Entry daemons keep a [`Registry`] that merges what runner processes,
//! other daemons and the store report. A request that was running when an engine died is a suspect:
//! a monitor lets at most one of them run on its engine. When that engine dies too, the suspect is
//! confirmed and refused until its record is old; those beside it merely become suspects. A suspect
//! that ends with its whole answer is cleared of the deaths before.

mod death;
mod monitor;
mod registry;
mod wire;

pub use death::Death;
pub use death::Id;
pub use death::Involved;
pub use monitor::End;
pub use monitor::Monitor;
pub use registry::RETENTION;
pub use registry::Record;
pub use registry::Registry;
pub use registry::Standing;
pub use wire::Wire;
