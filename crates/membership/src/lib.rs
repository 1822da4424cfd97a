//! Membership of entry daemons by heartbeats with incarnations.
//!
//! The daemons of an availability zone find each other by the platform's lagging list of VMs and
//! then keep each other by heartbeats: each round a daemon sends one to a few members in turn and
//! waits for their answers. Both carry entries: news first, then a random few, so that the bytes
//! a second do not grow with the zone. Who does not answer becomes suspect and only later is
//! removed. Who finds itself suspected refutes with a higher incarnation, and so does a daemon
//! that was paused and wakes.
//!
//! Nothing that must be agreed rests on this: views differ for seconds at any time, and whoever
//! acts on one only proposes.
//!
//! [`Table`] is a pure state machine: messages, moments and a random source in, messages out.

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
