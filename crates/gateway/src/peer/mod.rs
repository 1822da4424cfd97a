//! What daemons tell one another, so that each knows the load of all and none stays behind.
//!
//! Each daemon sends a small datagram to every peer at a short interval: what it has in flight at
//! each server, the version of its configuration, the servers that it saw leaving and the requests
//! that broke servers. Nothing rests on a datagram's arrival. A daemon that hears of a newer
//! configuration and does not get it from the store fetches it from the peer over a connection,
//! and with it the backend servers where the store has not told of any since its start.

mod exchange;
mod fetch;
mod message;
mod table;

pub use exchange::interval;
pub use exchange::run;
pub use fetch::serve;
pub use message::Count;
pub use message::Document;
pub use message::Load;
pub use message::Report;
pub use message::Server;
pub use table::Table;
