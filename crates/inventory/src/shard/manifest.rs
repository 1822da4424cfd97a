use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::Version;
use crate::diff::Delta;
use crate::section::Digest;
use crate::section::Section;

/// Commits that a manifest remembers.
const MAX_HISTORY: usize = 32;

/// A commit that was accepted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Author {
    /// The version that it made.
    pub version: Version,
    /// Random id that the operator's program drew for the commit.
    pub commit: String,
}

/// The shards of a section.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Table {
    /// Number of buckets that ids are hashed into; a power of two.
    pub buckets: u32,
    /// Name of the shard object of each bucket that is not empty.
    pub shards: BTreeMap<u32, String>,
}

/// The one object whose conditional update accepts a configuration.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Manifest {
    /// Version of the configuration.
    pub version: Version,
    /// Digest of all items.
    pub digest: Digest,
    /// Shards by section.
    pub tables: BTreeMap<Section, Table>,
    /// The latest commits, newest last; by them a writer whose answer was lost knows its own.
    pub history: Vec<Author>,
    /// The way from the version before, when small.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub delta: Option<Delta>,
}

impl Manifest {
    /// Returns the names of all shard objects.
    pub fn shard_names(&self) -> impl Iterator<Item = &str> {
        self.tables.values().flat_map(|table| table.shards.values()).map(String::as_str)
    }

    /// Returns the version that a commit made, when it is remembered.
    pub fn version_of(&self, commit: &str) -> Option<Version> {
        self.history.iter().find(|author| author.commit == commit).map(|author| author.version)
    }

    /// Tells whether every commit after `version` is remembered.
    pub fn remembers_since(&self, version: Version) -> bool {
        let first = self.history.first().map_or(self.version.next(), |author| author.version);
        first <= version.next()
    }

    /// Returns the history with one more commit.
    pub(crate) fn history_with(&self, author: Author) -> Vec<Author> {
        let mut history = self.history.clone();
        history.push(author);
        let surplus = history.len().saturating_sub(MAX_HISTORY);
        history.drain(..surplus);
        history
    }
}
