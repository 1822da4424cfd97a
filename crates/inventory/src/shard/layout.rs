use std::collections::BTreeMap;

use serde_json::Value;
use strum::IntoEnumIterator;
use xxhash_rust::xxh3::xxh3_64;

use crate::diff::Delta;
use crate::section::Items;
use crate::section::Section;
use crate::shard::Author;
use crate::shard::Manifest;
use crate::shard::Object;
use crate::shard::Table;

/// Mean size of a shard above which a section gets more buckets, in bytes.
const MAX_MEAN_SHARD_BYTES: usize = 48 << 10;
/// Mean size of a shard below which a section gets fewer buckets, in bytes.
const MIN_MEAN_SHARD_BYTES: usize = 12 << 10;
/// Largest delta that a manifest carries, in bytes.
const MAX_DELTA_BYTES: usize = 16 << 10;

/// Splits items into shards, as the version after `previous`.
///
/// Returns the manifest and the shards that `previous` does not name, by name.
///
/// # Panics
///
/// Panics when an item cannot be written as JSON, which its type rules out.
pub fn split(
    items: &Items,
    previous: (&Manifest, &Items),
    commit: &str,
) -> (Manifest, BTreeMap<String, Object>) {
    let (before, old_items) = previous;
    let version = before.version.next();
    let mut shards = BTreeMap::new();
    let mut tables = BTreeMap::new();
    for section in Section::iter() {
        let buckets = buckets(section, items, before.tables.get(&section));
        let mut table = Table { buckets, shards: BTreeMap::new() };
        for object in objects(section, items, buckets) {
            let name = object.name();
            table.shards.insert(object.bucket, name.clone());
            shards.insert(name, object);
        }
        tables.insert(section, table);
    }
    for name in before.shard_names() {
        shards.remove(name);
    }
    let author = Author { version, commit: commit.to_owned() };
    let history = before.history_with(author);
    let delta = Delta::between((before.version, old_items), (version, items));
    let delta = Some(delta).filter(|delta| bytes_of(delta) <= MAX_DELTA_BYTES);
    let digest = items.digest();
    (Manifest { version, digest, tables, history, delta }, shards)
}

fn bytes_of(delta: &Delta) -> usize {
    serde_json::to_vec(delta).expect("a delta is JSON").len()
}

/// Chooses the number of buckets; keeps the one before while its shards have a fair size.
fn buckets(section: Section, items: &Items, before: Option<&Table>) -> u32 {
    let bytes: usize = items.section(section).map(|(id, value)| item_bytes(id, value)).sum();
    let mut buckets = before.map_or(1, |table| table.buckets.max(1));
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

fn objects(section: Section, items: &Items, buckets: u32) -> Vec<Object> {
    let mut parts: BTreeMap<u32, BTreeMap<String, Value>> = BTreeMap::new();
    for (id, value) in items.section(section) {
        let bucket = (xxh3_64(id.as_bytes()) % u64::from(buckets)) as u32;
        parts.entry(bucket).or_default().insert(id.clone(), value.clone());
    }
    parts.into_iter().map(|(bucket, items)| Object { section, bucket, items }).collect()
}
