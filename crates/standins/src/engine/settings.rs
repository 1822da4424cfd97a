use std::net::SocketAddr;
use std::time::Duration;

use kumquattiller_base::size::Tokens;
use kumquattiller_dialect::engine::Model;

use crate::engine::Timing;

/// Settings of an engine.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Address to listen on; with port 0 the operating system chooses the port.
    pub address: SocketAddr,
    /// The time model.
    pub timing: Timing,
    /// Capacity of the KV memory.
    pub memory: Tokens,
    /// Number of tokens in a prefix block.
    pub block: Tokens,
    /// Models that are loaded at startup.
    pub models: Vec<Model>,
    /// Whether requests for models that are not loaded are rejected.
    pub check_models: bool,
    /// Whether orders with an old fencing number are rejected.
    pub checks_fencing: bool,
    /// Delay until cache events are reported.
    pub cache_event_delay: Duration,
    /// Fraction of cache events that are lost, from 0 to 1.
    pub cache_event_loss: f64,
    /// Maximum age of a load report before it is renewed.
    pub load_lag: Duration,
    /// Text in a prompt that crashes the engine when the prompt is computed.
    pub crash_marker: Option<String>,
    /// Delay after which a crashed engine restarts; `None` if it does not restart.
    pub restart_after: Option<Duration>,
    /// Seed for the choice of lost cache events.
    pub seed: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            timing: Timing::default(),
            memory: Tokens::new(450_000),
            block: Tokens::new(256),
            models: Vec::new(),
            check_models: false,
            checks_fencing: true,
            cache_event_delay: Duration::from_millis(500),
            cache_event_loss: 0.02,
            load_lag: Duration::from_millis(100),
            crash_marker: None,
            restart_after: None,
            seed: 0,
        }
    }
}
