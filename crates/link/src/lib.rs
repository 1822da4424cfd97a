//! Connections that carry frames between processes.
//!
//! A [`Link`] is one TCP connection. The side that connects sends
//! [`Hello`](kumquattiller_wire::link::Hello) and the other side replies with
//! [`Welcome`](kumquattiller_wire::link::Welcome). Its [`Sender`] can be cloned. Request bodies are
//! sent in parts, so that a large body does not delay the frames of other requests.

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
