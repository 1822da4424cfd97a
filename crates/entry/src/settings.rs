//! Settings of an entry daemon.

use std::net::SocketAddr;

use kumquattiller_base::daemon;
use kumquattiller_base::place;
use serde::Deserialize;
use serde::Serialize;

/// Default of [`Settings::drain_grace_ms`], in milliseconds.
const DEFAULT_DRAIN_GRACE_MS: u64 = 1_000;

/// Startup settings of an entry daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The id of the daemon.
    pub id: daemon::Id,
    /// The region that the daemon runs in.
    pub region: place::Region,
    /// The availability zone that the daemon runs in.
    pub zone: place::Zone,
    /// Address that serves callers, health checks and metrics over HTTP.
    pub http_address: SocketAddr,
    /// Address that accepts links from other daemons and operators.
    pub link_address: SocketAddr,
    /// Base URL of the platform.
    pub platform_url: String,
    /// Time between failing readiness and refusing requests, in milliseconds.
    #[serde(default = "Settings::default_drain_grace_ms")]
    pub drain_grace_ms: u64,
    /// OTLP endpoint that traces are exported to; traces are not exported without it.
    #[serde(default)]
    pub trace_endpoint: Option<String>,
}

impl Settings {
    const fn default_drain_grace_ms() -> u64 {
        DEFAULT_DRAIN_GRACE_MS
    }

    /// Returns a message for each invalid setting.
    pub fn problems(&self) -> Vec<String> {
        let mut problems = Vec::new();
        if !self.platform_url.starts_with("http://") {
            problems.push(format!("platform_url {:?} must start with http://", self.platform_url));
        }
        if self.http_address == self.link_address && self.http_address.port() != 0 {
            problems.push("http_address and link_address must differ".to_owned());
        }
        problems
    }
}
