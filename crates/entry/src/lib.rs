//! The entry daemon.
//!
//! It accepts requests from callers over HTTP and gives each exactly one terminal outcome. A
//! request passes through these modules: [`http`] parses it and authenticates the client account,
//! [`request`] represents it once it is admitted, with a deadline, [`drive`] runs attempts on
//! runners until one ends, and [`runners`] exchanges frames over the links. A
//! [`snapshot::Snapshot`] of the accepted configuration describes the fleet; [`source`] keeps it
//! up to date. [`link`] serves other daemons and operators.

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
