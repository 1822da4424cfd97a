//! Settings of an entry daemon.

use std::net::SocketAddr;

use kumquattiller_base::daemon;
use kumquattiller_base::place;
use serde::Deserialize;
use serde::Serialize;

/// Time between failing readiness and refusing requests, in milliseconds, unless set.
const DEFAULT_DRAIN_GRACE_MS: u64 = 1_000;

/// What an entry daemon is told at its start.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Its id.
    pub id: daemon::Id,
    /// The region that it is in.
    pub region: place::Region,
    /// The availability zone that it is in.
    pub zone: place::Zone,
    /// Where it serves callers, health and metrics.
    pub http_address: SocketAddr,
    /// Where it listens for links of other daemons and operators.
    pub link_address: SocketAddr,
    /// Base URL of the platform.
    pub platform_url: String,
    /// Time between failing readiness and refusing requests, in milliseconds.
    #[serde(default = "Settings::default_drain_grace_ms")]
    pub drain_grace_ms: u64,
    /// Where traces are exported to, over OTLP; absent for no export.
    #[serde(default)]
    pub trace_endpoint: Option<String>,
}

impl Settings {
    const fn default_drain_grace_ms() -> u64 {
        DEFAULT_DRAIN_GRACE_MS
    }

    /// Returns every problem of the settings, or none.
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
