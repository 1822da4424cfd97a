use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use xxhash_rust::xxh3::xxh3_128;

use crate::section::Items;
use crate::section::Section;
use crate::shard::Manifest;

/// Error for shards that do not match their manifest.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Corrupt {
    /// The shard with this name is missing.
    Missing(String),
    /// The content of the shard with this name does not match the hash in the name.
    Altered(String),
    /// The digest of all items differs from that of the manifest.
    Digest,
}

impl std::fmt::Display for Corrupt {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Missing(name) => write!(f, "shard {name} is missing"),
            Self::Altered(name) => {
                write!(f, "content of shard {name} does not match the hash in its name")
            }
            Self::Digest => {
                f.write_str("the digest of the shards differs from that of the manifest")
            }
        }
    }
}

impl std::error::Error for Corrupt {}

/// Immutable shard: the items of one bucket of a section.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Object {
    /// Section of the items.
    pub section: Section,
    /// Bucket that the ids of the items are hashed into.
    pub bucket: u32,
    /// Items by id.
    pub items: BTreeMap<String, Value>,
}

impl Object {
    /// Returns the name of the object, which contains the hash of the items.
    ///
    /// # Panics
    ///
    /// Panics if the items cannot be serialized to JSON, which their type rules out.
    pub fn name(&self) -> String {
        let content = serde_json::to_vec(&self.items).expect("items serialize to JSON");
        format!("{}-{}-{:032x}", self.section, self.bucket, xxh3_128(&content))
    }
}

/// Assembles the items of a manifest from its shards, which are keyed by name.
///
/// # Errors
///
/// Returns an error if a shard is missing or altered, or if the digest of the items differs from
/// that of the manifest.
pub fn assemble(manifest: &Manifest, shards: &BTreeMap<String, Object>) -> Result<Items, Corrupt> {
    let mut items = Items::default();
    for name in manifest.shard_names() {
        let shard = shards.get(name).ok_or_else(|| Corrupt::Missing(name.to_owned()))?;
        if shard.name() != name {
            return Err(Corrupt::Altered(name.to_owned()));
        }
        for (id, value) in &shard.items {
            items.insert(shard.section, id.clone(), value.clone());
        }
    }
    if items.digest() == manifest.digest { Ok(items) } else { Err(Corrupt::Digest) }
}
