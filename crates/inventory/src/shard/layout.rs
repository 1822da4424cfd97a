use std::collections::BTreeMap;

use serde_json::Value;
use strum::IntoEnumIterator;
use xxhash_rust::xxh3::xxh3_64;

use crate::diff::Delta;
use crate::section::Items;
use crate::section::Section;
use crate::shard::Manifest;
use crate::shard::Object;
use crate::shard::Revision;
use crate::shard::Table;

/// Mean shard size in bytes above which the number of buckets of a section is doubled.
const MAX_MEAN_SHARD_BYTES: usize = 48 << 10;
/// Mean shard size in bytes below which the number of buckets of a section is halved.
const MIN_MEAN_SHARD_BYTES: usize = 12 << 10;
/// Largest delta that a manifest includes, in bytes.
const MAX_DELTA_BYTES: usize = 16 << 10;

/// Distributes items over shards, as the version that follows the manifest and items `previous`.
///
/// `commit` is the id of the commit. Returns the new manifest and, by name, the shards that the
/// previous manifest does not contain.
///
/// # Panics
///
/// Panics if an item cannot be serialized to JSON, which its type rules out.
pub fn split(
    items: &Items,
    previous: (&Manifest, &Items),
    commit: &str,
) -> (Manifest, BTreeMap<String, Object>) {
    let (previous_manifest, old_items) = previous;
    let version = previous_manifest.version.next();
    let mut shards = BTreeMap::new();
    let mut tables = BTreeMap::new();
    for section in Section::iter() {
        let buckets = bucket_count(section, items, previous_manifest.tables.get(&section));
        let mut table = Table { buckets, shards: BTreeMap::new() };
        for object in section_objects(section, items, buckets) {
            let name = object.name();
            table.shards.insert(object.bucket, name.clone());
            shards.insert(name, object);
        }
        tables.insert(section, table);
    }
    for name in previous_manifest.shard_names() {
        shards.remove(name);
    }
    let revision = Revision { version, commit: commit.to_owned() };
    let history = previous_manifest.history_with(revision);
    let delta = Delta::between((previous_manifest.version, old_items), (version, items));
    let delta = Some(delta).filter(|delta| serialized_bytes(delta) <= MAX_DELTA_BYTES);
    let digest = items.digest();
    (Manifest { version, digest, tables, history, delta }, shards)
}

fn serialized_bytes(delta: &Delta) -> usize {
    serde_json::to_vec(delta).expect("a delta serializes to JSON").len()
}

/// Returns the number of buckets of a section. It keeps the previous number while the mean shard
/// size is within the limits, so that a change rewrites only the shard that it affects.
fn bucket_count(section: Section, items: &Items, previous: Option<&Table>) -> u32 {
    let bytes: usize = items.section(section).map(|(id, value)| item_bytes(id, value)).sum();
    let mut buckets = previous.map_or(1, |table| table.buckets.max(1));
    while bytes / buckets as usize > MAX_MEAN_SHARD_BYTES {
        buckets *= 2;
    }
    while buckets > 1 && bytes / (buckets as usize) < MIN_MEAN_SHARD_BYTES {
        buckets /= 2;
    }
    buckets
}

fn item_bytes(id: &str, value: &Value) -> usize {
    id.len() + value.to_string().len()
}

fn section_objects(section: Section, items: &Items, buckets: u32) -> Vec<Object> {
    let mut items_by_bucket: BTreeMap<u32, BTreeMap<String, Value>> = BTreeMap::new();
    for (id, value) in items.section(section) {
        let bucket = (xxh3_64(id.as_bytes()) % u64::from(buckets)) as u32;
        items_by_bucket.entry(bucket).or_default().insert(id.clone(), value.clone());
    }
    items_by_bucket.into_iter().map(|(bucket, items)| Object { section, bucket, items }).collect()
}
