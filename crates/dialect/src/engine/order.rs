use serde::Deserialize;
use serde::Serialize;

use crate::engine::Adapter;
use crate::engine::Model;

/// Body of `POST /v1/orders`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing number of the lease under which the order was planned. Engines that check it reject
    /// a number lower than the highest they have seen.
    pub fencing: u64,
    /// Command to carry out.
    pub command: Command,
}

/// Command of an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "do", rename_all = "snake_case")]
pub enum Command {
    /// Loads a version of a model from the weight store.
    LoadModel(Model),
    /// Unloads a model.
    UnloadModel {
        /// Name of the model.
        name: String,
    },
    /// Loads a version of an adapter from the weight store.
    LoadAdapter(Adapter),
    /// Unloads an adapter.
    UnloadAdapter {
        /// Name of the adapter.
        name: String,
    },
    /// Changes the engine's role.
    SetRole {
        /// The new role.
        role: Role,
    },
}

/// Phases of inference that an engine performs.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Role {
    /// Prefill and decode.
    #[default]
    Both,
    /// Prefill only.
    Prefill,
    /// Decode only.
    Decode,
}
