//! The entry daemon.
//!
//! It takes requests of callers over HTTP and brings each to exactly one terminal outcome. The
//! way of a request: [`http`] reads it and authenticates the client account, [`request`] turns it
//! into an admitted request with a deadline, [`drive`] runs attempts on runners until one ends,
//! and [`runners`] carries frames over the links. What the daemon knows of the fleet is a
//! [`snapshot::Snapshot`] of the accepted configuration, kept by [`source`]; [`link`] answers
//! other daemons and operators.

pub mod claims;
pub mod daemon;
pub mod drive;
pub mod http;
pub mod limits;
pub mod link;
pub mod orders;
pub mod peers;
pub mod request;
pub mod runners;
pub mod settings;
pub mod snapshot;
pub mod source;
pub mod suspects;

pub use daemon::Daemon;
pub use settings::Settings;
