//! Stand-ins for model engines, plain services and the platform.
//!
//! Each stand-in implements the protocol of `kumquattiller-dialect` over HTTP and supports fault
//! injection. Tests start [`engine::Server`], [`service::Server`] and [`platform::Server`] in
//! their own process, on a port that the operating system chooses. The program
//! `kumquattiller-standins` runs the same servers as separate processes, whose faults are
//! controlled through the routes below `/admin`.
//!
//! Every server runs on its own tokio runtime, so that `kill` drops its tasks, sockets and memory
//! at once, like the end of a process.

mod acceptor;
pub mod engine;
mod host;
pub mod platform;
pub mod service;
