use std::collections::BTreeMap;
use std::time::Duration;

use kumquattiller_inventory::shard::Manifest;
use kumquattiller_inventory::shard::Object;

use crate::commit::Outcome;

/// The manifest as read from the store.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Stored {
    /// Store version of the object; `None` when there is no manifest yet.
    pub store_version: Option<u64>,
    /// The manifest; empty when there is none yet.
    pub manifest: Manifest,
}

/// Result of a conditional update of the manifest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpdateResult {
    /// The update took effect.
    Written,
    /// The condition did not hold.
    Conflict,
    /// The store refused the call without executing it.
    Refused,
    /// No response arrived; the update may have taken effect.
    Lost,
}

/// Result of an [`Action`], reported to a commit.
#[derive(Debug, Clone)]
pub enum Event {
    /// The manifest has been read.
    Manifest(Stored),
    /// The shards that exist have been read; they are keyed by name.
    Shards(BTreeMap<String, Object>),
    /// All shards have been written.
    ShardsWritten,
    /// The conditional update has ended.
    Updated(UpdateResult),
    /// A read of the manifest or a read or write of shards failed.
    Failed,
    /// The delay of [`Action::Wait`] has elapsed.
    Waited,
}

/// Operation that a commit asks its caller to execute.
#[derive(Debug, Clone)]
pub enum Action {
    /// Read the manifest.
    ReadManifest,
    /// Read these shards.
    ReadShards(Vec<String>),
    /// Write these shards, keyed by name; a shard that already exists counts as written.
    WriteShards(BTreeMap<String, Object>),
    /// Write the manifest if its store version is still `condition`.
    UpdateManifest {
        /// Expected store version; `None` when no manifest may exist.
        condition: Option<u64>,
        /// The new manifest.
        manifest: Box<Manifest>,
    },
    /// Wait for this delay, then report [`Event::Waited`].
    Wait(Duration),
    /// Stop; the commit has ended with this outcome.
    Done(Outcome),
}
