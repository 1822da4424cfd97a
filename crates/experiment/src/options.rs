//! Options of a suite.

use std::time::Duration;

use kumquattiller_routing::policy::Policy;
use strum::IntoEnumIterator;

use crate::deployment::Deployment;
use crate::model::Model;

/// Initial time whose arrivals are left out of the metrics.
pub const WARM_UP: Duration = Duration::from_secs(30);

/// Time span in which requests arrive.
const SPAN: Duration = Duration::from_secs(180);

/// Default loads, as fractions of the capacity.
const DEFAULT_LOADS: [f64; 5] = [0.5, 0.8, 1.0, 1.5, 2.0];

/// Default seeds.
const DEFAULT_SEEDS: [u64; 5] = [1, 2, 3, 4, 5];

/// Deployments, policies, loads and seeds, of which a suite runs all combinations.
#[derive(Debug, Clone)]
pub struct Options {
    /// The deployments.
    pub deployments: Vec<Deployment>,
    /// The policies.
    pub policies: Vec<Policy>,
    /// The loads, as fractions of the capacity.
    pub loads: Vec<f64>,
    /// The seeds.
    pub seeds: Vec<u64>,
    /// The time model.
    pub model: Model,
    /// Time span in which requests arrive.
    pub span: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            deployments: Deployment::iter().collect(),
            policies: Policy::iter().collect(),
            loads: DEFAULT_LOADS.to_vec(),
            seeds: DEFAULT_SEEDS.to_vec(),
            model: Model::default(),
            span: SPAN,
        }
    }
}
