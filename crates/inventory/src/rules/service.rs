use kumquattiller_base::service;
use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// Deadline and weight of a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The service.
    pub service: service::Name,
    /// Deadline of requests without a deadline header, in milliseconds.
    pub deadline_ms: u64,
    /// Weight of the slowdown of short requests against time to first token, from 0 to 1.
    #[serde(default = "Service::default_weight")]
    pub short_weight: f64,
}

impl Service {
    /// Returns the weight that counts both measures equally.
    const fn default_weight() -> f64 {
        0.5
    }
}
