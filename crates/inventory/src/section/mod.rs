//! A configuration as items with ids, the representation that diffs, deltas and shards work on.
//!
//! [`Items`] holds each entry of the register and the rules as JSON, by its [`Section`] and id.
//! The order of the entries of a section in the file has no meaning and is not kept.

mod items;
mod kind;

pub use items::Digest;
pub use items::Invalid;
pub use items::Items;
pub use kind::Section;
