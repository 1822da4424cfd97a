//! Membership of entry daemons by heartbeats with incarnations, in the manner of SWIM.
//!
//! The daemons of an availability zone discover each other through the platform's list of VMs,
//! which lags behind the actual state, and then track each other by heartbeats. In each round a
//! daemon sends a heartbeat to a few members in turn and waits for their replies. Heartbeats and
//! replies carry membership entries: recent updates first, then a few chosen at random. The number
//! of entries is bounded, so that the bandwidth does not grow with the size of the zone.
//!
//! A member that does not reply becomes suspect and is removed only after a further timeout. A
//! daemon that learns that it is suspected refutes this with a higher incarnation; a daemon that
//! resumes after a pause also takes a higher incarnation.
//!
//! Membership is not consensus: the views of daemons may differ for seconds at any time. Decisions
//! that need agreement do not depend on it; a daemon that acts on its view only makes proposals.
//!
//! [`Table`] performs no I/O and reads no clock: callers pass in messages, the current time and a
//! random number generator, and it returns the messages to send.

mod entry;
mod limits;
mod member;
mod message;
mod state;
mod table;

pub use limits::Limits;
pub use member::Member;
pub use message::Message;
pub use state::State;
pub use table::Table;
