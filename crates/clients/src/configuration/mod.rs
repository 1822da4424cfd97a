//! The accepted configuration in the platform's store.
//!
//! [`Store`] reads and writes the manifest and its shards. [`commit`] carries out the calls that
//! a [`Commit`](kumquattiller_rollout::commit::Commit) asks for. [`Spread`] carries the versions
//! that a process holds over its links.

mod commit;
mod frame;
mod spread;
mod store;

pub use commit::commit;
pub use spread::Link;
pub use spread::Spread;
pub use spread::Task;
pub use store::Error;
pub use store::MANIFEST_KIND;
pub use store::Store;
