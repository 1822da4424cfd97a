//! Settings of a runner process.

use std::net::SocketAddr;

use kumquattiller_base::place;
use kumquattiller_base::runner;
use kumquattiller_base::service;
use kumquattiller_base::size::Tokens;
use serde::Deserialize;
use serde::Serialize;

/// Engine memory when the settings give none, in tokens.
const DEFAULT_ENGINE_MEMORY: Tokens = Tokens::new(450_000);

/// Settings that a runner process reads at its start.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Id of the runner, as in the register file.
    pub id: runner::Id,
    /// Availability zone that the runner is in.
    pub zone: place::Zone,
    /// Address on which the runner accepts links.
    pub link_address: SocketAddr,
    /// Address of the HTTP server for health checks and metrics.
    pub http_address: SocketAddr,
    /// Backend server that the runner calls.
    pub backend: Backend,
    /// Base URL of the platform; without one, the runner does not read the planner's lease.
    #[serde(default)]
    pub platform_url: Option<String>,
    /// OTLP endpoint to export traces to; `None` disables the export.
    #[serde(default)]
    pub trace_endpoint: Option<String>,
}

/// Backend server of a runner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Backend {
    /// Whether it is a model engine or a plain service.
    pub kind: service::Kind,
    /// Base URL of the backend server.
    pub url: String,
    /// KV memory of an engine, in tokens.
    #[serde(default = "Backend::default_memory")]
    pub memory: Tokens,
}

impl Backend {
    const fn default_memory() -> Tokens {
        DEFAULT_ENGINE_MEMORY
    }
}

impl Settings {
    /// Returns every invalid setting as a message for the operator; empty when all are valid.
    pub fn problems(&self) -> Vec<String> {
        let mut problems = Vec::new();
        if !self.backend.url.starts_with("http://") {
            problems.push(format!("backend.url {:?} must start with http://", self.backend.url));
        }
        if self.backend.memory == Tokens::ZERO {
            problems.push("backend.memory must be above 0".to_owned());
        }
        if self.platform_url.as_ref().is_some_and(|url| !url.starts_with("http://")) {
            problems.push("platform_url must start with http://".to_owned());
        }
        problems
    }
}
