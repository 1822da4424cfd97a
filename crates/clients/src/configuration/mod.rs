//! Access to the accepted configuration, in the platform's store and over links.
//!
//! [`Store`] reads and writes the manifest and its shards. [`commit`] makes the calls that the
//! state machine [`Commit`](kumquattiller_rollout::commit::Commit) requests. [`Spread`] exchanges
//! configuration versions with the peers of a process over its links.

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
