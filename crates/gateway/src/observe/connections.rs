use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// The metric families of connections.
#[derive(Debug, Default)]
pub struct Connections {
    opened: Counter,
    open: Gauge,
    stalled: Gauge,
}

impl Connections {
    /// Registers the families.
    pub(super) fn register(&self, registry: &mut Registry) {
        registry.register("connections", "Connections opened", self.opened.clone());
        registry.register(
            "open_connections",
            "Open connections of callers and to servers",
            self.open.clone(),
        );
        registry.register(
            "stalled_connections",
            "Open connections whose peers are alive and do not read",
            self.stalled.clone(),
        );
    }

    /// Counts a new connection to a server.
    pub fn opened(&self) {
        self.opened.inc();
    }

    /// Sets how many connections are open, and how many of their peers do not read.
    pub fn set(&self, open: usize, stalled: usize) {
        self.open.set(open as i64);
        self.stalled.set(stalled as i64);
    }
}
