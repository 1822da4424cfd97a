//! The known backend servers, and which of them may get new work.
//!
//! The platform's store keeps a registration for each server. A server gets no new work once its
//! registration is marked as draining or is removed. During an outage of the store, registrations
//! lapse although their servers are running; such servers are kept for a short grace period after
//! the store is available again.

mod exclusion;
mod server;
mod starts;
mod table;

pub use exclusion::Exclusion;
pub use server::Server;
pub use server::Status;
pub use starts::Starts;
pub use table::Change;
pub use table::LAPSE_GRACE;
pub use table::MAX_REGISTRATION_DELAY;
pub use table::MIN_OUTAGE;
pub use table::RETURN_GRACE;
pub use table::Table;
