//! What is in flight at each backend server, here and at the other daemons.

mod demand;
mod entry;
mod ledger;
mod streams;
mod view;

pub use demand::Demand;
pub use demand::Meter;
pub use entry::Assignment;
pub use ledger::Key;
pub use ledger::Ledger;
pub use ledger::ReportedLoad;
pub use streams::GAP_GROUPS;
pub use streams::Streams;
pub use streams::gap_group;
pub use view::Load;
pub use view::server_key;
