//! A configuration as items with ids, the common ground of differences, deltas and shards.
//!
//! [`Items`] holds each entry of register and rules as JSON under its [`Section`] and id. Entries
//! of a section have no order among themselves.

mod items;
mod kind;

pub use items::Digest;
pub use items::Invalid;
pub use items::Items;
pub use kind::Section;
