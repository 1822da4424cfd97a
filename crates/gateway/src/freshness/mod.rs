//! How old the state is that a daemon has read from the store, and when to ask the store again.
//!
//! A daemon holds a copy of each [`Kind`] of object and watches the store for changes. A watch that
//! stays quiet proves nothing, since its connection may be dead. A copy is therefore *confirmed* at
//! a moment only if an answer of the store, or a report of a peer, shows that it was complete then.
//! The age of a copy is the time since its last confirmation.
//!
//! The first daemon of the fleet asks the store to answer each watch soon, change or no change, and
//! its reports to the peers confirm the copies of those that have seen the same last change. A few
//! daemons of each availability zone are [watchers](Role::Watcher): they watch for long, and tell
//! their peers of each change at once. All others are [listeners](Role::Listener), which get the
//! changes from a peer. So the calls to the store grow with changes and zones, not with daemons.
//!
//! Every daemon but the first asks the store itself when a copy is overdue: no report has confirmed
//! it for a while, or a peer has seen a change that has not arrived. [`Table`] keeps the ages, and
//! [`Question`] says how the store is asked next.

mod confirmation;
mod kind;
mod question;
mod revision;
mod role;
mod table;

pub use confirmation::Confirmation;
pub use kind::Kind;
pub use question::Question;
pub use question::purpose;
pub use revision::Era;
pub use revision::ParseError;
pub use revision::Revision;
pub use role::Role;
pub use role::WATCHERS_PER_ZONE;
pub use table::Effect;
pub use table::Source;
pub use table::Table;
