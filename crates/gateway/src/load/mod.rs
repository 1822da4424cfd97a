//! What is in flight at each backend server, here and at the other daemons.

mod demand;
mod entry;
mod ledger;
mod streams;
mod view;

pub use demand::Demand;
pub use demand::Meter;
pub use entry::Work;
pub use ledger::Key;
pub use ledger::Ledger;
pub use ledger::Told;
pub use streams::GROUPS;
pub use streams::Streams;
pub use streams::group_of;
pub use view::Load;
pub use view::key_of;
