use std::collections::BTreeMap;
use std::time::Duration;

use kumquattiller_inventory::shard::Manifest;
use kumquattiller_inventory::shard::Object;

use crate::commit::Outcome;

/// The manifest as the store holds it.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Stored {
    /// Store version of the object; `None` when there is no manifest yet.
    pub condition: Option<u64>,
    /// The manifest; the empty one when there is none yet.
    pub manifest: Manifest,
}

/// How the store answered a conditional update.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    /// The update took effect.
    Written,
    /// The condition failed.
    Conflict,
    /// The store refused the call without acting on it.
    Refused,
    /// No answer came; the update may have taken effect.
    Lost,
}

/// What the edge reports to a commit.
#[derive(Debug, Clone)]
pub enum Event {
    /// The manifest was read.
    Manifest(Stored),
    /// Shards were read, by name.
    Shards(BTreeMap<String, Object>),
    /// All shards were written.
    ShardsWritten,
    /// The update was answered.
    Updated(Answer),
    /// A read or a write of shards failed.
    Failed,
    /// The wait is over.
    Waited,
}

/// What a commit asks of the edge.
#[derive(Debug, Clone)]
pub enum Action {
    /// Read the manifest.
    ReadManifest,
    /// Read these shards.
    ReadShards(Vec<String>),
    /// Write these shards; one that exists already counts as written.
    WriteShards(BTreeMap<String, Object>),
    /// Write the manifest when its store version is still `condition`.
    UpdateManifest {
        /// Expected store version; `None` when there must be no manifest.
        condition: Option<u64>,
        /// The new manifest.
        manifest: Box<Manifest>,
    },
    /// Wait before the next step.
    Wait(Duration),
    /// Stop; this is how it ended.
    Done(Outcome),
}
