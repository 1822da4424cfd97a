//! A lease in the platform's store, with fencing numbers.
//!
//! The clocks of daemons are not comparable. A holder counts its time from the moment at which
//! it began the last write that succeeded. Another daemon takes the lease when it has seen the
//! same version for the whole duration by its own clock. As the write began before the other saw
//! its version, the holder's time is over first.

/// Kind of the lease's object.
pub const KIND: &str = "lease";
/// Name of the lease's object.
pub const NAME: &str = "engines";

mod action;
mod contender;
mod record;

pub use action::Action;
pub use action::Condition;
pub use contender::Contender;
pub use contender::Timing;
pub use record::Record;
