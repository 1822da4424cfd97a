//! Requests that ran when an engine died.
//!
//! The runner process keeps a [`Ward`]: it knows all that ran on its engine, and makes a [`Death`]
//! of it when the engine dies. Entry daemons keep a [`Registry`] that merges what runner processes,
//! other daemons and the store report. A request that was running when an engine died is a suspect:
//! a ward lets at most one of them run on its engine. When that engine dies too, the suspect is
//! convicted and refused until its case is old; those beside it merely become suspects. A suspect
//! that ends with its whole answer is acquitted of the deaths before.

mod death;
mod registry;
mod ward;
mod wire;

pub use death::Accused;
pub use death::Death;
pub use death::Id;
pub use registry::Case;
pub use registry::RETENTION;
pub use registry::Registry;
pub use registry::Standing;
pub use ward::End;
pub use ward::Ward;
pub use wire::Wire;
