//! Exchange of load, health and configuration between daemons.
//!
//! Each daemon sends a small datagram to every peer at a short interval: its load on each server,
//! the version of its configuration, how old its copies of the store are, the servers that it saw
//! draining, and the requests that were running on servers when they exited. The protocol tolerates the loss of any datagram. A daemon
//! that learns of a newer configuration and does not get it from the store fetches it from the peer
//! over a TCP connection. The fetched document also lists the backend servers, which are used if
//! the store has not listed any since the daemon started.

mod exchange;
mod fetch;
mod message;
mod table;

pub use exchange::interval;
pub use exchange::run;
pub use fetch::serve;
pub use message::Document;
pub use message::Load;
pub use message::Report;
pub use message::Server;
pub use message::Suspect;
pub use table::Table;
