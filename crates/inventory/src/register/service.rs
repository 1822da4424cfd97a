use kumquattiller_base::service;
use kumquattiller_base::size::Tokens;
use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// A group of runners that serve the same calls.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Its name.
    pub name: service::Name,
    /// Whether its backend servers are model engines or plain services.
    pub kind: service::Kind,
    /// The models that it serves; empty for plain services.
    #[serde(default)]
    pub models: Vec<service::Model>,
    /// KV memory of each engine, in tokens; absent for plain services.
    #[serde(default)]
    pub engine_memory: Option<Tokens>,
    /// Whether its backend servers refuse orders with an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
}
