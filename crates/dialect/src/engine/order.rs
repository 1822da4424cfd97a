use serde::Deserialize;
use serde::Serialize;

use crate::engine::Adapter;
use crate::engine::Model;

/// Body of `POST /v1/orders`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Number of the lease under which the order was planned; engines that check it refuse a
    /// lower number than the highest they have seen.
    pub fencing: u64,
    /// What to do.
    pub command: Command,
}

/// What an order asks for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "do", rename_all = "snake_case")]
pub enum Command {
    /// Loads a version of a model from the weight store.
    LoadModel(Model),
    /// Drops a model.
    UnloadModel {
        /// Name of the model.
        name: String,
    },
    /// Loads a version of an adapter from the weight store.
    LoadAdapter(Adapter),
    /// Drops an adapter.
    UnloadAdapter {
        /// Name of the adapter.
        name: String,
    },
    /// Changes the role.
    SetRole {
        /// The new role.
        role: Role,
    },
}

/// What part of the work an engine takes.
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
    /// Prefill alone.
    Prefill,
    /// Decode alone.
    Decode,
}
