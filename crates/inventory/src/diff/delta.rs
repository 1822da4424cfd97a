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

/// A delta that does not lead to the configuration that it was made for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Mismatch;

impl std::fmt::Display for Mismatch {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the delta does not lead to the digest that it names")
    }
}

impl std::error::Error for Mismatch {}

/// What a process needs to go from one version to the next.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Delta {
    /// Version that the delta starts from; [`Version::NONE`] starts from nothing.
    pub base: Version,
    /// Version that it leads to.
    pub version: Version,
    /// Digest of the items of that version.
    pub digest: Digest,
    /// Items that are new or differ.
    #[serde(default)]
    pub put: BTreeMap<Section, BTreeMap<String, Value>>,
    /// Items that are gone.
    #[serde(default)]
    pub removed: BTreeMap<Section, BTreeSet<String>>,
}

impl Delta {
    /// Makes the delta between two versions.
    pub fn between(old: (Version, &Items), new: (Version, &Items)) -> Self {
        let (base, before) = old;
        let (version, after) = new;
        let mut delta = Self { base, version, digest: after.digest(), ..Self::default() };
        for section in Section::iter() {
            delta.compare(section, before, after);
        }
        delta
    }

    /// Makes the delta that carries a whole version.
    pub fn whole(version: Version, items: &Items) -> Self {
        Self::between((Version::NONE, &Items::default()), (version, items))
    }

    fn compare(&mut self, section: Section, before: &Items, after: &Items) {
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

    /// Returns one delta that does what `self` and then `next` do.
    #[must_use]
    pub fn then(&self, next: &Self) -> Self {
        let mut joined = self.clone();
        joined.version = next.version;
        joined.digest = next.digest;
        for (section, ids) in &next.removed {
            for id in ids {
                joined.put.entry(*section).or_default().remove(id);
                joined.removed.entry(*section).or_default().insert(id.clone());
            }
        }
        for (section, put) in &next.put {
            for (id, value) in put {
                joined.removed.entry(*section).or_default().remove(id);
                joined.put.entry(*section).or_default().insert(id.clone(), value.clone());
            }
        }
        joined
    }

    /// Tells whether the delta carries a whole version.
    pub fn is_whole(&self) -> bool {
        self.base == Version::NONE
    }

    /// Returns the items that `before` becomes; a whole delta ignores `before`.
    ///
    /// # Errors
    ///
    /// Fails when the result is not the one that the delta was made for.
    pub fn apply(&self, before: &Items) -> Result<Items, Mismatch> {
        let mut items = if self.is_whole() { Items::default() } else { before.clone() };
        for (section, ids) in &self.removed {
            ids.iter().for_each(|id| items.remove(*section, id));
        }
        for (section, put) in &self.put {
            put.iter().for_each(|(id, value)| items.insert(*section, id.clone(), value.clone()));
        }
        if items.digest() == self.digest { Ok(items) } else { Err(Mismatch) }
    }
}
