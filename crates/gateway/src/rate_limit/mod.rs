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
//!
//! A server that starts cold tolerates a rate that its service states, until a time. Its bound holds
//! over every second and over daemons that hear nothing of one another, at loads of a few requests a
//! second for each server. Therefore the rate is divided between all daemons that are or were known
//! ([`Roster`](crate::peer::Roster)), whether or not they use the server, by [`Division`]. If both limits of a server
//! hold, a request has to be within both.

mod allowance;
mod bucket;
mod change;
mod cold;
mod cold_statement;
mod division;
mod entry;
mod origin;
mod rate;
mod report;
mod table;
mod terms;

use allowance::Allowance;
use bucket::Bucket;
pub use change::Change;
use cold::Cold;
pub use cold::MAX_COLD_TIME;
use cold::MAX_SEND_DELAY;
pub use cold_statement::ColdStatement;
pub use division::Division;
use entry::Entry;
pub use entry::max_sharers;
pub use origin::Origin;
pub use rate::InvalidRate;
pub use rate::Rate;
pub use report::Report;
pub use report::Statement;
pub use table::Table;
pub use terms::Terms;
