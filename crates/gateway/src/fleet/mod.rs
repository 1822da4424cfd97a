//! The backend servers that are known, and which of them may get new work.
//!
//! The platform keeps a registration for each server. A server whose registration says that it
//! leaves, or is gone, gets no new work. While the platform's store is away registrations lapse
//! although their servers live; those are kept until a short while after its return.

mod server;
mod table;

pub use server::Server;
pub use server::Status;
pub use table::Change;
pub use table::LAPSE_GRACE;
pub use table::RETURN_GRACE;
pub use table::Table;
