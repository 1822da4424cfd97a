//! Exchange of load, health and configuration between daemons.
//!
//! Each daemon sends a small datagram to every peer at a short interval: its load on each server,
//! the version of its configuration, how old its copies of the store are, the servers that it saw
//! draining, and the requests that were running on servers when they exited. To another
//! availability zone it sends the datagram once, to a different daemon there each time, which
//! forwards it to the others of its zone. The protocol tolerates the loss of any datagram. A daemon
//! that learns of a newer configuration and does not get it from the store fetches it from the peer
//! over a TCP connection. The fetched document also lists the backend servers, which are used if
//! the store has not listed any since the daemon started.
//!
//! A daemon that does not watch the store itself learns from the reports that its copy of a kind
//! lacks a change, and asks a peer that has it for the changes since its own revision.
//!
//! What all daemons together may use of something is divided by the [`Roster`], which does not forget
//! those that are silent or cut off: they go on using their parts.

mod exchange;
mod fetch;
mod frames;
mod member;
mod message;
mod pace;
mod prefix;
mod queue;
mod rate_limit;
mod roster;
mod sync;
mod table;
mod transfer;

pub use exchange::run;
pub use fetch::serve;
pub use member::Member;
pub use message::Confirmation;
pub use message::Document;
pub use message::Load;
pub use message::Report;
pub use message::Server;
pub use message::Suspect;
pub use message::Unreadable;
pub use pace::Pace;
pub use prefix::Prefix;
pub use queue::Consumption;
pub use queue::Queue;
pub use queue::Slot;
pub use queue::Waiting;
pub use rate_limit::RateLimit;
pub use rate_limit::RateStatement;
pub use roster::MEMORY;
pub use roster::Roster;
pub use sync::serve as serve_changes;
pub use sync::start as fetch_changes;
pub use table::Recipients;
pub use table::Serial;
pub use table::Table;
pub use transfer::Object;
pub use transfer::Request;
pub use transfer::Response;
