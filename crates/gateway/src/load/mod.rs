//! What is in flight at each backend server, here and at the other daemons.

mod demand;
mod entry;
mod ledger;
mod view;

pub use demand::Demand;
pub use demand::Meter;
pub use entry::Work;
pub use ledger::Key;
pub use ledger::Ledger;
pub use view::Load;
pub use view::key_of;
