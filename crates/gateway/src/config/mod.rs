//! The accepted configuration: routes, services, client accounts and limits.
//!
//! An adapter parses the platform's configuration document into these types; [`Config`] then
//! answers the look-ups for each request.

mod cold_start;
mod limits;
mod route;
mod service;
mod table;

pub use kumquattiller_inventory::Version;

pub use cold_start::ColdStart;
pub use limits::Limits;
pub use route::Retry;
pub use route::Route;
pub use route::Target;
pub use service::Service;
pub use table::Account;
pub use table::Config;
pub use table::Denied;
