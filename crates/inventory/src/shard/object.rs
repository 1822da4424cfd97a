use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use xxhash_rust::xxh3::xxh3_128;

use crate::section::Items;
use crate::section::Section;
use crate::shard::Manifest;

/// Shards that do not make up the version that a manifest names.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Corrupt {
    /// A shard is not there.
    Missing(String),
    /// A shard does not hold what its name says.
    Altered(String),
    /// The shards together differ from the manifest's digest.
    Digest,
}

impl std::fmt::Display for Corrupt {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Missing(name) => write!(f, "shard {name} is missing"),
            Self::Altered(name) => write!(f, "shard {name} does not hold what its name says"),
            Self::Digest => f.write_str("the shards differ from the manifest's digest"),
        }
    }
}

impl std::error::Error for Corrupt {}

/// An immutable part of a section.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Object {
    /// The section.
    pub section: Section,
    /// Bucket of the ids.
    pub bucket: u32,
    /// Items by id.
    pub items: BTreeMap<String, Value>,
}

impl Object {
    /// Returns the name, which holds the hash of the content.
    ///
    /// # Panics
    ///
    /// Panics when the items cannot be written as JSON, which their type rules out.
    pub fn name(&self) -> String {
        let content = serde_json::to_vec(&self.items).expect("items are JSON");
        format!("{}-{}-{:032x}", self.section, self.bucket, xxh3_128(&content))
    }
}

/// Puts the items of a manifest's version together from its shards by name.
///
/// # Errors
///
/// Fails when a shard is missing or altered, or when the shards together differ from the digest.
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
