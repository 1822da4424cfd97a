//! Connections that carry frames between processes.
//!
//! A [`Link`] is one TCP connection with its [`Hello`](kumquattiller_wire::link::Hello) and
//! [`Welcome`](kumquattiller_wire::link::Welcome) done. Its [`Sender`] can be cloned; bodies are
//! cut into parts so that frames of other requests go in between.

mod clock;
mod closed;
mod connection;
mod control;
mod identity;
pub mod incarnation;
mod sender;

pub use clock::Clock;
pub use closed::Closed;
pub use connection::Link;
pub use connection::Receiver;
pub use identity::Identity;
pub use sender::BODY_PART_BYTES;
pub use sender::Sender;
