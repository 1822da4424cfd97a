//! Admission queue of an entry daemon for requests that the servers have no room for now.
//!
//! It bridges the seconds in which large prompts arrive at several daemons faster than the servers
//! can take them. A [`Queue`] decides whose turn it is to be placed, and
//! who is refused with a promise to be served on return. The daemon places the request and tells
//! the queue the result. The queue itself reads no clock and sends nothing.
//!
//! - [`Place`] is the order: urgency, promises, shares of the client accounts, time left.
//! - [`Shares`] divides short capacity between client accounts, max-min fairly.
//! - [`Promises`] holds what was promised to refused callers.
//! - [`Report`] tells the other daemons what waits here and what is promised. It is bounded, and a
//!   lost report only makes the order between daemons less exact.
//!
//! Among the requests of one daemon the order is strict. Between daemons it holds as far as the
//! reports are recent.

mod entry;
mod identity;
mod patience;
mod peers;
mod place;
mod pool;
mod promises;
mod reason;
mod refusal;
mod report;
mod shares;
mod slot;
mod state;
mod turn;
mod usage;
mod waiting;

pub use entry::Entry;
pub use entry::Key;
pub use identity::Identity;
pub use patience::Patience;
pub use place::Place;
pub use place::Shortage;
pub use pool::Pool;
pub use promises::Promise;
pub use promises::Promises;
pub use reason::Reason;
pub use refusal::Refusal;
pub use report::Report;
pub use shares::Shares;
pub use slot::Slot;
pub use state::Limits;
pub use state::Queue;
pub use turn::Turn;
pub use usage::Consumer;
pub use usage::Consumption;
pub use usage::Usage;
