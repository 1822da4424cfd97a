//! Load of the backend servers: the work in flight from this daemon and from the other daemons.
//!
//! A [`Ledger`] records the requests that this daemon sends and the loads that its peers report,
//! and estimates from both how much prefill work each server still has to do.

mod demand;
mod entry;
mod interval;
mod ledger;
mod streams;
mod view;

pub use demand::Demand;
pub use demand::Meter;
pub use entry::Assignment;
pub use interval::max_report_age;
pub use interval::report_interval;
pub use ledger::Key;
pub use ledger::Ledger;
pub use ledger::ReportedLoad;
pub use streams::GAP_GROUPS;
pub use streams::Streams;
pub use streams::gap_group;
pub use view::Load;
pub use view::server_key;
