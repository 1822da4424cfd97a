//! Serves requests straight on backend servers, with no runner process between.
//!
//! The package is used where a platform already speaks HTTP on both sides and keeps the accepted
//! configuration. An adapter implements [`dialect::Dialect`], which turns the platform's messages
//! into the types of this package, and feeds a [`Gateway`] with configurations and backend
//! servers. Everything else is here:
//!
//! - decisions without I/O: [`config`] (routes, accounts, versions), [`fleet`] (which servers may
//!   get work), [`engine`] (how long reading takes), [`load`] (what is in flight where),
//!   [`placement`] (which server, which helpers, or a refusal), [`budget`] (retries), [`health`]
//!   (servers that fail), [`suspect`] (requests that end servers), [`events`] (whole events of a
//!   stream), [`stop`] (phases of a graceful stop), [`ticket`] (memory reserved for large prompts);
//! - I/O: [`http`] (the listener, connections to servers, the way of one request), [`relay`]
//!   (streams), [`peer`] (what daemons tell one another), [`observe`] (logs and metrics).
//!
//! One thread runs everything, so state is shared by `Rc` and `RefCell` and no borrow is held
//! over a wait.

pub mod budget;
pub mod config;
pub mod dialect;
pub mod engine;
pub mod events;
pub mod fleet;
mod gateway;
pub mod health;
pub mod http;
pub mod load;
pub mod observe;
pub mod peer;
pub mod placement;
pub mod relay;
pub mod settings;
pub mod stop;
pub mod suspect;
pub mod ticket;

pub use gateway::Gateway;
