use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use serde_json::Map;
use serde_json::Value;
use strum::IntoEnumIterator;
use xxhash_rust::xxh3::xxh3_128;

use crate::Configuration;
use crate::Version;
use crate::section::Section;

/// Order-independent hash of a set of items.
///
/// It is the sum of the hashes of the items, so that a change of one item updates it without
/// hashing the others.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Digest(u128);

impl Digest {
    /// Returns the digest after adding an item.
    #[must_use]
    pub(crate) fn with(self, section: Section, id: &str, value: &Value) -> Self {
        Self(self.0.wrapping_add(item_hash(section, id, value)))
    }

    /// Returns the digest after removing an item.
    #[must_use]
    pub(crate) fn without(self, section: Section, id: &str, value: &Value) -> Self {
        Self(self.0.wrapping_sub(item_hash(section, id, value)))
    }
}

fn item_hash(section: Section, id: &str, value: &Value) -> u128 {
    let text = format!("{section}\n{id}\n{value}");
    xxh3_128(text.as_bytes())
}

impl std::fmt::Display for Digest {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl std::str::FromStr for Digest {
    type Err = std::num::ParseIntError;

    /// Parses a hexadecimal number.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is not a hexadecimal number of at most 128 bits.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u128::from_str_radix(text, 16).map(Self)
    }
}

impl From<Digest> for String {
    fn from(digest: Digest) -> Self {
        digest.to_string()
    }
}

impl TryFrom<String> for Digest {
    type Error = std::num::ParseIntError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

/// Error for items that do not form a valid configuration.
#[derive(Debug)]
pub struct Invalid(serde_json::Error);

impl std::fmt::Display for Invalid {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "items do not form a valid configuration: {}", self.0)
    }
}

impl std::error::Error for Invalid {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        Some(&self.0)
    }
}

/// Entries of the register and the rules as JSON, by section and id.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Items {
    sections: BTreeMap<Section, BTreeMap<String, Value>>,
    digest: Digest,
}

impl Items {
    /// Splits a configuration into items.
    ///
    /// # Panics
    ///
    /// Panics if the configuration cannot be serialized to JSON, which its types rule out.
    pub fn of(configuration: &Configuration) -> Self {
        let json = serde_json::to_value(configuration).expect("a configuration serializes to JSON");
        let mut items = Self::default();
        for section in Section::iter() {
            match section.location() {
                Some((part, field)) => items.insert_list(section, &json[part][field]),
                None => items.insert_settings(&json["rules"]),
            }
        }
        items
    }

    fn insert_list(&mut self, section: Section, list: &Value) {
        for value in list.as_array().into_iter().flatten() {
            self.insert(section, entry_id(section, value), value.clone());
        }
    }

    fn insert_settings(&mut self, rules: &Value) {
        let fields = rules.as_object().into_iter().flatten();
        for (field, value) in fields.filter(|(field, _)| is_setting(field)) {
            self.insert(Section::Settings, field.clone(), value.clone());
        }
    }

    /// Puts an item in, replacing one of the same id.
    pub fn insert(&mut self, section: Section, id: String, value: Value) {
        self.digest = self.digest.with(section, &id, &value);
        let old = self.sections.entry(section).or_default().insert(id.clone(), value);
        if let Some(old) = old {
            self.digest = self.digest.without(section, &id, &old);
        }
    }

    /// Removes an item, if it exists.
    pub fn remove(&mut self, section: Section, id: &str) {
        let Some(items) = self.sections.get_mut(&section) else {
            return;
        };
        if let Some(old) = items.remove(id) {
            self.digest = self.digest.without(section, id, &old);
        }
        if items.is_empty() {
            self.sections.remove(&section);
        }
    }

    /// Returns the item with this id.
    pub fn get(&self, section: Section, id: &str) -> Option<&Value> {
        self.sections.get(&section)?.get(id)
    }

    /// Returns the items of a section in the order of their ids.
    pub fn section(&self, section: Section) -> impl Iterator<Item = (&String, &Value)> {
        self.sections.get(&section).into_iter().flatten()
    }

    /// Returns the digest of all items.
    pub const fn digest(&self) -> Digest {
        self.digest
    }

    /// Assembles the configuration from the items.
    ///
    /// # Errors
    ///
    /// Returns an error if an item does not have the fields that its section requires.
    pub fn configuration(&self, version: Version) -> Result<Configuration, Invalid> {
        let mut register = Map::new();
        let mut rules = Map::new();
        for section in Section::iter() {
            let items = self.section(section);
            match section.location() {
                Some(("register", field)) => {
                    register.insert(field.to_owned(), items.map(|(_, v)| v.clone()).collect());
                }
                Some((_, field)) => {
                    rules.insert(field.to_owned(), items.map(|(_, v)| v.clone()).collect());
                }
                None => rules.extend(items.map(|(id, value)| (id.clone(), value.clone()))),
            }
        }
        let register = serde_json::from_value(Value::Object(register)).map_err(Invalid)?;
        let rules = serde_json::from_value(Value::Object(rules)).map_err(Invalid)?;
        Ok(Configuration { version, register, rules })
    }
}

/// Returns whether a field of the rules is a single value, not a section of its own.
fn is_setting(field: &str) -> bool {
    Section::iter().filter_map(Section::location).all(|location| location != ("rules", field))
}

/// Returns the id of an entry: the values of its id fields, separated by spaces.
fn entry_id(section: Section, value: &Value) -> String {
    let parts = section.id_fields().iter().filter_map(|field| match &value[*field] {
        Value::Null => None,
        Value::String(text) => Some(text.clone()),
        Value::Array(list) if list.is_empty() => None,
        other => Some(other.to_string()),
    });
    parts.collect::<Vec<_>>().join(" ")
}
