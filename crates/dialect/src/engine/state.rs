use serde::Deserialize;
use serde::Serialize;

use crate::engine::Role;

/// Models, adapters and role of an engine.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// Loaded models.
    pub models: Vec<Model>,
    /// Loaded adapters.
    pub adapters: Vec<Adapter>,
    /// Role of the engine.
    pub role: Role,
    /// Highest fencing number seen; 0 for engines that do not check it.
    #[serde(default)]
    pub fencing: u64,
    /// Incarnation number, which increases with each start of the engine process.
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
