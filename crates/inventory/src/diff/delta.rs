use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use strum::IntoEnumIterator;

use crate::Version;
use crate::section::Digest;
use crate::section::Items;
use crate::section::Section;

/// Error for a delta whose result does not have the expected digest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Mismatch;

impl std::fmt::Display for Mismatch {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the result of the delta does not have the expected digest")
    }
}

impl std::error::Error for Mismatch {}

/// Changes of items that lead from one version to a later one.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Delta {
    /// Version that the delta applies to; [`Version::NONE`] for a delta that contains the full
    /// configuration.
    pub base: Version,
    /// Version that the delta results in.
    pub version: Version,
    /// Digest of the items of the resulting version.
    pub digest: Digest,
    /// Items that are added or changed.
    #[serde(default)]
    pub put: BTreeMap<Section, BTreeMap<String, Value>>,
    /// Ids of items that are removed.
    #[serde(default)]
    pub removed: BTreeMap<Section, BTreeSet<String>>,
}

impl Delta {
    /// Creates the delta between two versions.
    pub fn between(old: (Version, &Items), new: (Version, &Items)) -> Self {
        let (base, before) = old;
        let (version, after) = new;
        let mut delta = Self { base, version, digest: after.digest(), ..Self::default() };
        for section in Section::iter() {
            delta.add_changes(section, before, after);
        }
        delta
    }

    /// Creates the delta that contains the full configuration of a version.
    pub fn full(version: Version, items: &Items) -> Self {
        Self::between((Version::NONE, &Items::default()), (version, items))
    }

    fn add_changes(&mut self, section: Section, before: &Items, after: &Items) {
        for (id, value) in after.section(section) {
            if before.get(section, id) != Some(value) {
                self.put.entry(section).or_default().insert(id.clone(), value.clone());
            }
        }
        for (id, _) in before.section(section) {
            if after.get(section, id).is_none() {
                self.removed.entry(section).or_default().insert(id.clone());
            }
        }
    }

    /// Returns a single delta that is equivalent to applying `self` and then `next`.
    #[must_use]
    pub fn then(&self, next: &Self) -> Self {
        let mut combined = self.clone();
        combined.version = next.version;
        combined.digest = next.digest;
        for (section, ids) in &next.removed {
            for id in ids {
                combined.put.entry(*section).or_default().remove(id);
                combined.removed.entry(*section).or_default().insert(id.clone());
            }
        }
        for (section, put) in &next.put {
            for (id, value) in put {
                combined.removed.entry(*section).or_default().remove(id);
                combined.put.entry(*section).or_default().insert(id.clone(), value.clone());
            }
        }
        combined
    }

    /// Returns whether the delta contains the full configuration.
    pub fn is_full(&self) -> bool {
        self.base == Version::NONE
    }

    /// Applies the delta to `before`, which must be the items of the base version, and returns the
    /// new items. A full delta ignores `before`.
    ///
    /// # Errors
    ///
    /// Returns an error if the digest of the result differs from [`Delta::digest`].
    pub fn apply(&self, before: &Items) -> Result<Items, Mismatch> {
        let mut items = if self.is_full() { Items::default() } else { before.clone() };
        for (section, ids) in &self.removed {
            ids.iter().for_each(|id| items.remove(*section, id));
        }
        for (section, put) in &self.put {
            put.iter().for_each(|(id, value)| items.insert(*section, id.clone(), value.clone()));
        }
        if items.digest() == self.digest { Ok(items) } else { Err(Mismatch) }
    }
}
