use serde::Deserialize;
use serde::Serialize;

use crate::engine::Role;

/// What an engine has loaded.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// Loaded models.
    pub models: Vec<Model>,
    /// Loaded adapters.
    pub adapters: Vec<Adapter>,
    /// Its role.
    pub role: Role,
    /// Highest fencing number seen; 0 for engines that do not check.
    #[serde(default)]
    pub fencing: u64,
    /// Rises each time the engine process starts.
    #[serde(default)]
    pub incarnation: u64,
}

/// A loaded version of a model.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Model {
    /// Name.
    pub name: String,
    /// Version.
    pub version: String,
}

/// A loaded version of an adapter.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Adapter {
    /// Name.
    pub name: String,
    /// Version.
    pub version: String,
}
