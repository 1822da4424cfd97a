use std::net::SocketAddr;
use std::time::Duration;

use kumquattiller_base::size::Tokens;
use kumquattiller_dialect::engine::Model;

use crate::engine::Timing;

/// Settings of an engine.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Address to listen on; port 0 for one that the operating system chooses.
    pub address: SocketAddr,
    /// The time model.
    pub timing: Timing,
    /// KV memory.
    pub memory: Tokens,
    /// Tokens of a prefix block.
    pub block: Tokens,
    /// Models that are loaded at the start.
    pub models: Vec<Model>,
    /// Whether requests for models that are not loaded are refused.
    pub check_models: bool,
    /// Whether orders with an old fencing number are refused.
    pub checks_fencing: bool,
    /// How long cache events are held back.
    pub cache_event_delay: Duration,
    /// Share of cache events that are lost, from 0 to 1.
    pub cache_event_loss: f64,
    /// Age that a load report reaches before it is renewed.
    pub load_lag: Duration,
    /// Text in a prompt that ends the engine when the prompt is computed.
    pub crash_marker: Option<String>,
    /// Time until an engine that ended by the marker starts again; `None` for never.
    pub restart_after: Option<Duration>,
    /// Seed of the lost cache events.
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
