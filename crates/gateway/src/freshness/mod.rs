//! How old the state is that a daemon has read from the store.
//!
//! A daemon holds a copy of each [`Kind`] of object. A copy is *confirmed* at a moment if the store
//! has shown that it was complete then. The age of a copy is the time since its last confirmation;
//! it grows whenever the daemon hears nothing, whatever the reason.

mod kind;
mod table;

pub use kind::Kind;
pub use table::Table;
