//! Settings of a runner process.

use std::net::SocketAddr;

use kumquattiller_base::place;
use kumquattiller_base::runner;
use kumquattiller_base::service;
use kumquattiller_base::size::Tokens;
use serde::Deserialize;
use serde::Serialize;

/// Memory of an engine unless the settings give another, in tokens.
const DEFAULT_ENGINE_MEMORY: Tokens = Tokens::new(450_000);

/// What a runner process is told at its start.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Its id, as in the register.
    pub id: runner::Id,
    /// The availability zone that it is in.
    pub zone: place::Zone,
    /// Where it listens for links.
    pub link_address: SocketAddr,
    /// Where it serves health and metrics.
    pub http_address: SocketAddr,
    /// The backend server.
    pub backend: Backend,
    /// Base URL of the platform.
    #[serde(default)]
    pub platform_url: Option<String>,
    /// Where traces are exported to, over OTLP; absent for no export.
    #[serde(default)]
    pub trace_endpoint: Option<String>,
}

/// The backend server of a runner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Backend {
    /// Model engine or plain service.
    pub kind: service::Kind,
    /// Its base URL.
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
    /// Returns every problem of the settings, or none.
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
