use kumquattiller_base::service;
use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// Whether calls of a service may be repeated.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Request {
    /// The service.
    pub service: service::Name,
    /// The method; absent for all.
    #[serde(default)]
    pub method: Option<String>,
    /// Prefix of the path; absent for all.
    #[serde(default)]
    pub path: Option<String>,
    /// Whether a call may be repeated without further effect.
    pub idempotent: bool,
}
