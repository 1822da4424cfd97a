use std::collections::BTreeSet;

use kumquattiller_dialect::engine::Adapter;
use kumquattiller_dialect::engine::Model;
use kumquattiller_dialect::engine::Role;
use kumquattiller_dialect::engine::State;
use serde::Deserialize;
use serde::Serialize;

/// What an engine has or should have loaded.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Models to have loaded.
    pub models: BTreeSet<Model>,
    /// Adapters to have loaded.
    pub adapters: BTreeSet<Adapter>,
    /// Role of the engine.
    pub role: Role,
}

impl Target {
    /// Returns whether an engine in `state` has exactly this loaded.
    pub fn is_met_by(&self, state: &State) -> bool {
        *self == Self::of(state)
    }

    /// Returns what an engine in `state` has loaded, as a target.
    pub fn of(state: &State) -> Self {
        Self {
            models: state.models.iter().cloned().collect(),
            adapters: state.adapters.iter().cloned().collect(),
            role: state.role,
        }
    }

    /// Returns the number of loads from the weight store needed to get from `other` to this target.
    pub fn loads_from(&self, other: &Self) -> usize {
        let models = self.models.difference(&other.models).count();
        models + self.adapters.difference(&other.adapters).count()
    }
}
