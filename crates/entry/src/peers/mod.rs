//! Links between entry daemons.
//!
//! Daemons find each other by the platform's lagging list of VMs. Each has links to all of its
//! availability zone and to a few of every other zone. Over them travel configuration and the
//! word that a VM is leaving.

mod chosen;
mod dialer;
mod list;
mod table;

pub use dialer::SILENCE_LIMIT;
pub use list::run;
pub use table::Guard;
pub use table::Table;
