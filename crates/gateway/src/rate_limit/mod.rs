//! Rate limits that servers state in their responses, over all daemons together.
//!
//! A server in need states how many requests a second it takes in total. The daemons that use the
//! server divide this rate: each is told by its peers of the limit and of who uses the server, and
//! keeps to an equal [`share`](Table::update_shares) of it. At most [`max_sharers`] daemons send to the
//! server at all, chosen by rendezvous hashing, so that even if all of them send at the same moment,
//! the sum stays close to the limit. A limit holds until a response to a later request no longer
//! states one, or the server restarts.
//!
//! Shares begin empty and views of the fleet may differ for a while: a daemon waits for the reports
//! of its peers before it takes a share, and loses what it has saved when it is no longer chosen.

mod bucket;
mod entry;
mod rate;
mod report;
mod table;

use bucket::Bucket;
use entry::Entry;
pub use entry::max_sharers;
pub use rate::InvalidRate;
pub use rate::Rate;
pub use report::Report;
pub use report::Statement;
pub use table::Change;
pub use table::Table;
