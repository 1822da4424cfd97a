//! Pace of the backend servers: by what factor each is slower than the others.
//!
//! Servers of one service may differ in speed, permanently or for some seconds. A [`Table`] compares the times that this daemon's requests were expected to take with those that
//! they took. It is relative to the median, so that nobody is avoided where all servers are slow.
//! Daemons tell each other what they have measured. A pace belongs to one incarnation of a server
//! and is forgotten after some seconds without requests.

mod measure;
mod table;

pub use measure::Measure;
pub use table::MAX_REPORTED;
pub use table::Pace;
pub use table::Table;
