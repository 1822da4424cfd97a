use std::time::Duration;

use kumquattiller_base::account::Rank;
use kumquattiller_routing::queue::Reason;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;
use prometheus_client::registry::Unit;

use crate::observe::metrics::Label;
use crate::observe::metrics::latency_histogram;

/// The metric families of the admission queue.
#[derive(Debug)]
pub struct Queue {
    length: Gauge,
    outcomes: Family<Label, Counter>,
    waits: Family<Label, Histogram, fn() -> Histogram>,
}

impl Default for Queue {
    fn default() -> Self {
        Self {
            length: Gauge::default(),
            outcomes: Family::default(),
            waits: Family::new_with_constructor(latency_histogram),
        }
    }
}

impl Queue {
    /// Registers the families.
    pub(super) fn register(&self, registry: &mut Registry) {
        registry.register("queue_length", "Requests that wait to be placed", self.length.clone());
        registry.register(
            "queue_outcomes",
            "Requests that left the queue, by reason",
            self.outcomes.clone(),
        );
        registry.register_with_unit(
            "queue_wait",
            "Time in the queue, by class of client account",
            Unit::Seconds,
            self.waits.clone(),
        );
    }

    /// Counts a request that has left the queue.
    pub fn left(&self, reason: Reason, urgency: Rank, wait: Duration) {
        self.outcomes.get_or_create(&[("reason", reason.to_string())]).inc();
        self.waits.get_or_create(&[("class", urgency.to_string())]).observe(wait.as_secs_f64());
    }

    /// Sets the number of waiting requests.
    pub(super) fn set_length(&self, waiting: usize) {
        self.length.set(waiting as i64);
    }
}
