use serde::Deserialize;
use serde::Serialize;

/// Maximum size of an object's value, in bytes.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// An object of the platform's store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Object {
    /// Kind of the object.
    pub kind: String,
    /// Name, unique within the kind.
    pub name: String,
    /// Store version of the last write to the object.
    pub version: u64,
    /// Value as JSON.
    pub value: serde_json::Value,
}

/// Response to a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Written {
    /// New version of the object.
    pub version: u64,
}

/// Response to a request for all objects of a kind.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct List {
    /// Store version that the list reflects.
    pub version: u64,
    /// Objects, sorted by name.
    pub objects: Vec<Object>,
}

/// Response to a watch.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Changes {
    /// Version to pass to the next watch.
    pub version: u64,
    /// Whether the requested changes are no longer available, so that the objects have to be listed
    /// again.
    #[serde(default)]
    pub expired: bool,
    /// Changes, sorted by version; empty when the wait timed out.
    pub changes: Vec<Change>,
}

/// A change of one object.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Name of the object.
    pub name: String,
    /// Store version of the change.
    pub version: u64,
    /// The new value, or `None` when the object was deleted.
    pub value: Option<serde_json::Value>,
}
