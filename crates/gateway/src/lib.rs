//! Sends requests directly to backend servers, without a runner process in between.
//!
//! This package is for a platform that already uses HTTP on both sides and stores the accepted
//! configuration. An adapter implements [`dialect::Dialect`], which turns the platform's messages
//! into the types of this package, and feeds a [`Gateway`] with configurations and backend
//! servers. This package does the rest:
//!
//! - decisions without I/O: [`config`] (routes, client accounts, versions), [`fleet`] (which
//!   servers may get work), [`evacuation`] (zones that get nothing new), [`regions`] (where a
//!   request may run), [`freshness`] (how old the copies of the store are), [`changes`] (what
//!   the copies lack), [`engine`] (prefill times of prompts), [`load`] (requests in flight per
//!   server), [`prefix`] (prompt beginnings that servers still hold), [`placement`] (choice of
//!   server and helpers, or a refusal), [`budget`] (retries), [`health`] (failing servers),
//!   [`backoff`] (pauses that servers ask for), [`rate_limit`] (rates that they state), [`pace`]
//!   (how fast they are), [`response_time`] (how long services without a
//!   profile take), [`suspect`] (requests that crash servers), [`events`] (splitting
//!   streams into events), [`stop`] (phases of a graceful stop), [`pause`] (times in which the
//!   process did not run), [`unread`] (responses that callers have not read yet);
//! - I/O: [`queue`] (prompts that wait for room), [`http`] (the listener, connections to servers,
//!   handling of a request), [`socket`] (connections, and which peers are dead), [`relay`] (streams), [`reservation`] (server memory reserved for
//!   large prompts), [`peer`] (reports between daemons), [`observe`] (logs and metrics).
//!
//! A request is admitted and placed in [`http`]. Each attempt to send it to a server is a
//! [`relay::Dispatch`], which counts in [`load`] until it ends. A streaming response continues in
//! [`relay`], which resumes it at another server if the first one fails.
//!
//! Everything runs on one thread, so state is shared through `Rc` and `RefCell`, and no `RefCell`
//! borrow is held across an `await`.

pub mod backoff;
pub mod budget;
pub mod changes;
pub mod config;
pub mod dialect;
pub mod engine;
pub mod evacuation;
pub mod events;
pub mod fleet;
pub mod freshness;
mod gateway;
pub mod health;
pub mod http;
pub mod load;
pub mod observe;
pub mod pace;
pub mod pause;
pub mod peer;
pub mod placement;
pub mod prefix;
pub mod queue;
pub mod rate_limit;
pub mod regions;
pub mod relay;
pub mod reservation;
pub mod response_time;
pub mod settings;
pub mod socket;
pub mod stop;
pub mod suspect;
pub mod unread;

pub use gateway::Gateway;
