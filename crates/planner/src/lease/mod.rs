//! A lease in the platform's store, with fencing tokens.
//!
//! Each daemon measures the lease by its own clock, because the clocks of daemons are not
//! synchronized. For the holder, the lease runs from the start of its last successful write.
//! Another daemon acquires the lease after it has seen the same version of the record for the full
//! duration. Since the holder started its write before the other daemon could see the version, the
//! lease ends for the holder first.

/// Kind of the lease object in the store.
pub const KIND: &str = "lease";
/// Name of the lease object in the store.
pub const NAME: &str = "engines";

mod action;
mod candidate;
mod record;

pub use action::Action;
pub use action::Condition;
pub use candidate::Candidate;
pub use candidate::Timing;
pub use record::Record;
