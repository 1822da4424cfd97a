//! Storage of a configuration in objects of limited size.
//!
//! A [`Manifest`] lists immutable shard objects whose names contain the hash of their content.
//! Items are assigned to buckets by the hash of their id, so that a change of one item writes one
//! new shard and the manifest and leaves all other shards unchanged. The manifest also contains
//! the [`Delta`] from the previous version when that is small, so that a process that has the
//! previous version reads no shards.
//!
//! [`Delta`]: crate::diff::Delta

mod layout;
mod manifest;
mod object;

pub use layout::split;
pub use manifest::Manifest;
pub use manifest::Revision;
pub use manifest::Table;
pub use object::Corrupt;
pub use object::Object;
pub use object::assemble;
