//! Stand-ins for model engines, plain services and the platform.
//!
//! Each stand-in answers the protocol of `kumquattiller-dialect` over HTTP and has switches for
//! the faults that tests cause. [`engine::Server`], [`service::Server`] and [`platform::Server`]
//! start inside a test, on a port that the operating system chooses; the program
//! `kumquattiller-standins` runs the same servers as processes and offers their switches under
//! `/admin`.
//!
//! Every server runs on a tokio runtime of its own, so that `kill` drops its tasks, its sockets
//! and its memory at once, as the end of a process would.

mod acceptor;
pub mod engine;
mod host;
pub mod platform;
pub mod service;
