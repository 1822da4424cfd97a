use serde::Deserialize;
use serde::Serialize;

/// Largest value of an object, in bytes.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// An object of the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Object {
    /// Its kind.
    pub kind: String,
    /// Its name, unique among its kind.
    pub name: String,
    /// Version of its last write.
    pub version: u64,
    /// Its value.
    pub value: serde_json::Value,
}

/// Answer to a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Written {
    /// The new version.
    pub version: u64,
}

/// Objects of a kind.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct List {
    /// The store's version as of this list.
    pub version: u64,
    /// The objects in the order of their names.
    pub objects: Vec<Object>,
}

/// Answer to a watch.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Changes {
    /// The version to watch after next.
    pub version: u64,
    /// True when changes before `version` are no longer kept and a list is needed.
    #[serde(default)]
    pub expired: bool,
    /// Changes in the order of their versions; empty when the wait was over.
    pub changes: Vec<Change>,
}

/// A change of one object.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Name of the object.
    pub name: String,
    /// Version of the change.
    pub version: u64,
    /// The new value, or `None` when the object was deleted.
    pub value: Option<serde_json::Value>,
}
