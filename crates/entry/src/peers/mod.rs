//! Links between entry daemons.
//!
//! Daemons discover each other through the platform's list of VMs, which lags behind; those of one
//! availability zone then track each other by gossip. Each daemon has links to all daemons of its
//! own zone and to a few of every other zone. The links carry configuration, gossip, demands on
//! account limits and notices that a VM is leaving.

mod dialer;
mod gossip;
mod list;
mod members;
mod select;
mod table;

pub use dialer::SILENCE_LIMIT;
pub use list::run;
pub use members::Members;
pub use table::Guard;
pub use table::Table;
