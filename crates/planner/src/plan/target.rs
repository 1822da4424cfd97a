use std::collections::BTreeSet;

use kumquattiller_dialect::engine::Adapter;
use kumquattiller_dialect::engine::Model;
use kumquattiller_dialect::engine::Role;
use kumquattiller_dialect::engine::State;
use serde::Deserialize;
use serde::Serialize;

/// What an engine is to have loaded.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Models.
    pub models: BTreeSet<Model>,
    /// Adapters.
    pub adapters: BTreeSet<Adapter>,
    /// Its role.
    pub role: Role,
}

impl Target {
    /// Tells whether an engine in `state` has what is asked for.
    pub fn is_met_by(&self, state: &State) -> bool {
        *self == Self::of(state)
    }

    /// Returns what an engine in `state` has.
    pub fn of(state: &State) -> Self {
        Self {
            models: state.models.iter().cloned().collect(),
            adapters: state.adapters.iter().cloned().collect(),
            role: state.role,
        }
    }

    /// Returns how many loads from the weight store lead from `other` to this.
    pub fn loads_from(&self, other: &Self) -> usize {
        let models = self.models.difference(&other.models).count();
        models + self.adapters.difference(&other.adapters).count()
    }
}
