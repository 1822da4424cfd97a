use kumquattiller_base::runner;
use kumquattiller_base::service;
use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// Models and adapters that engines of a service are to have loaded.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Desired {
    /// The service.
    pub service: service::Name,
    /// The runners that this applies to; empty for all runners of the service.
    #[serde(default)]
    pub runners: Vec<runner::Id>,
    /// Models with their versions.
    pub models: Vec<Versioned>,
    /// Adapters with their versions.
    #[serde(default)]
    pub adapters: Vec<Versioned>,
    /// `both`, `prefill` or `decode`.
    #[serde(default = "Desired::default_role")]
    pub role: String,
}

impl Desired {
    fn default_role() -> String {
        "both".to_owned()
    }
}

/// A version of a model or an adapter.
#[derive(
    Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema,
)]
#[serde(deny_unknown_fields)]
pub struct Versioned {
    /// Name.
    pub name: service::Model,
    /// Version.
    pub version: String,
}
