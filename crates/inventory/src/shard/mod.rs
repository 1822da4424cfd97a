//! Shards: how a configuration fits into values of limited size.
//!
//! A [`Manifest`] names immutable shard objects by the hash of what they hold. Items go to
//! buckets by the hash of their id, so a change of one item writes one new shard and the
//! manifest; all other shards stand as they are. The manifest also carries the [`Delta`] from the
//! version before when that is small, so that whoever holds that version reads nothing else.
//!
//! [`Delta`]: crate::diff::Delta

mod layout;
mod manifest;
mod object;

pub use layout::split;
pub use manifest::Author;
pub use manifest::Manifest;
pub use manifest::Table;
pub use object::Corrupt;
pub use object::Object;
pub use object::assemble;
