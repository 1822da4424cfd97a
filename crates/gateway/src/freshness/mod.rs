//! How old the state is that a daemon has read from the store, and when to ask the store again.
//!
//! A daemon holds a copy of each [`Kind`] of object and watches the store for changes. A watch that
//! stays quiet proves nothing, since its connection may be dead. A copy is therefore *confirmed* at
//! a moment only if an answer of the store, or a report of a peer, shows that it was complete then.
//! The age of a copy is the time since its last confirmation.
//!
//! The first daemon of the fleet asks the store to answer each watch soon, change or no change, and
//! its reports to the peers confirm the copies of those that have seen the same last change. The
//! others watch for long and ask the store themselves only if a copy is overdue: no report has
//! confirmed it for a while, or a peer has seen a change that it lacks. [`Table`] keeps the ages,
//! and [`Question`] says how the store is asked next.

mod confirmation;
mod kind;
mod question;
mod revision;
mod table;

pub use confirmation::Confirmation;
pub use kind::Kind;
pub use question::Question;
pub use revision::Revision;
pub use table::Table;
