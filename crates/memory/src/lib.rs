//! Ownership of an engine's KV memory, and its reconciliation with what the engine holds.
//!
//! A runner process keeps one [`Table`]. Each stream and handle ([`Item`]) in it has an
//! [`Owner`]: an entry daemon, or a reservation that an entry daemon made. The table admits work
//! against the engine's memory, and turns the loss of an owner into [`Action`]s that free the
//! memory again. [`Table::observe`] compares it with a list of what the engine holds, and so
//! finds what the table never knew: streams from before a restart of the runner process, and
//! starts that reached the engine after their cancellation.
//!
//! The table does no I/O and reads no clock. The runner process calls [`Table::tick`] a few times
//! a second, [`Table::observe`] about once a second, and carries out the actions; an action whose
//! answer was lost comes again until [`Table::gone`] or an observation confirms it.

mod action;
mod daemon;
mod entry;
mod item;
mod limits;
mod name;
mod observation;
mod owner;
mod refusal;
pub mod reservation;
mod table;

pub use action::Action;
pub use daemon::Daemon;
pub use item::Item;
pub use limits::Limits;
pub use name::Name;
pub use observation::Observation;
pub use owner::Owner;
pub use refusal::Refusal;
pub use table::Table;
