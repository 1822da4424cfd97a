//! The register: regions, services, runners and client accounts.

mod account;
mod place;
mod runner;
mod service;

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

pub use account::Account;
pub use place::Place;
pub use runner::Runner;
pub use service::Service;

/// What the operators have.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Register {
    /// Regions and their availability zones.
    pub places: Vec<Place>,
    /// Services.
    pub services: Vec<Service>,
    /// Runners.
    pub runners: Vec<Runner>,
    /// Client accounts.
    pub accounts: Vec<Account>,
}
