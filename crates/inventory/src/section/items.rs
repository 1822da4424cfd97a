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

/// Hash of a set of items that does not depend on their order.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Digest(u128);

impl Digest {
    /// Returns the digest with an item added.
    #[must_use]
    pub(crate) fn with(self, section: Section, id: &str, value: &Value) -> Self {
        Self(self.0.wrapping_add(item_hash(section, id, value)))
    }

    /// Returns the digest with an item taken away.
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

    /// Reads hexadecimal digits.
    ///
    /// # Errors
    ///
    /// Fails when the text is not a hexadecimal number.
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

/// Items that are not a configuration.
#[derive(Debug)]
pub struct Invalid(serde_json::Error);

impl std::fmt::Display for Invalid {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "items are not a configuration: {}", self.0)
    }
}

impl std::error::Error for Invalid {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        Some(&self.0)
    }
}

/// Entries of register and rules by section and id.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Items {
    sections: BTreeMap<Section, BTreeMap<String, Value>>,
    digest: Digest,
}

impl Items {
    /// Takes a configuration apart.
    ///
    /// # Panics
    ///
    /// Panics when the configuration cannot be written as JSON, which its types rule out.
    pub fn of(configuration: &Configuration) -> Self {
        let whole = serde_json::to_value(configuration).expect("a configuration is JSON");
        let mut items = Self::default();
        for section in Section::iter() {
            match section.field() {
                Some((part, field)) => items.insert_list(section, &whole[part][field]),
                None => items.insert_settings(&whole["rules"]),
            }
        }
        items
    }

    fn insert_list(&mut self, section: Section, list: &Value) {
        for value in list.as_array().into_iter().flatten() {
            self.insert(section, id_of(section, value), value.clone());
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

    /// Takes an item out.
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

    /// Returns an item.
    pub fn get(&self, section: Section, id: &str) -> Option<&Value> {
        self.sections.get(&section)?.get(id)
    }

    /// Returns the items of a section by id.
    pub fn section(&self, section: Section) -> impl Iterator<Item = (&String, &Value)> {
        self.sections.get(&section).into_iter().flatten()
    }

    /// Returns the hash of all items.
    pub const fn digest(&self) -> Digest {
        self.digest
    }

    /// Puts a configuration together.
    ///
    /// # Errors
    ///
    /// Fails when an item does not have the shape that its section needs.
    pub fn configuration(&self, version: Version) -> Result<Configuration, Invalid> {
        let mut register = Map::new();
        let mut rules = Map::new();
        for section in Section::iter() {
            let items = self.section(section);
            match section.field() {
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

/// Tells whether a field of the rules is not a section of its own.
fn is_setting(field: &str) -> bool {
    Section::iter().filter_map(Section::field).all(|place| place != ("rules", field))
}

/// Returns the id of an entry.
fn id_of(section: Section, value: &Value) -> String {
    let parts = section.id_fields().iter().filter_map(|field| match &value[*field] {
        Value::Null => None,
        Value::String(text) => Some(text.clone()),
        Value::Array(list) if list.is_empty() => None,
        other => Some(other.to_string()),
    });
    parts.collect::<Vec<_>>().join(" ")
}
