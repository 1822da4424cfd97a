//! Ownership of an engine's KV memory, and its reconciliation with what the engine holds.
//!
//! A runner process keeps one [`Table`]. Each [`Item`] that it admits, a stream or a handle, has an
//! [`Owner`]: an entry daemon, or a reservation that an entry daemon made. The table admits items
//! as long as the engine's memory suffices. When an owner is lost, it returns [`Action`]s that
//! free the memory.
//!
//! [`Table::observe`] compares the table with a list of what the engine holds. This finds items
//! that the table does not know: streams from before a restart of the runner process, and streams
//! whose start reached the engine after their cancellation. After a restart, an entry daemon that
//! continues such an item claims it with [`Table::claim`]; until then it is unclaimed and kept for
//! [`Limits::claim_grace`]. These claims have no relation to those in `kumquattiller-claims`.
//!
//! The table does no I/O and reads no clock. The runner process calls [`Table::tick`] a few times
//! a second and [`Table::observe`] about once a second, and carries out the actions. Because the
//! response to an action may be lost, the table repeats the action until
//! [`Table::confirm_released`] or an observation confirms it.

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
