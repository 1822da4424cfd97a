use std::sync::atomic::AtomicU64;
use std::time::Duration;

use kumquattiller_base::error;
use kumquattiller_base::size::Bytes;
use prometheus_client::encoding::text;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::metrics::histogram::exponential_buckets;
use prometheus_client::registry::Registry;
use prometheus_client::registry::Unit;

use crate::freshness;
use crate::freshness::Role;
use crate::health::Outcome;
use crate::observe::StoreCall;
use crate::observe::connections::Connections;
use crate::observe::queue::Queue;
use crate::prefix::Reuse;

/// Prefix of the name of each metric family.
const PREFIX: &str = "kumquattiller_gateway";
/// Upper bound of the smallest latency bucket, in seconds; each next bound is twice as large.
const MIN_LATENCY_BUCKET_S: f64 = 0.005;
/// Number of latency buckets.
const LATENCY_BUCKETS: u16 = 13;

/// Labels of a call to the store.
type CallLabels = [(&'static str, String); 3];

/// A label and its value.
pub(super) type Label = [(&'static str, String); 1];

/// The metric families of a gateway.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    requests: Counter,
    refusals: Family<Label, Counter>,
    attempts: Family<Label, Counter>,
    retries: Counter,
    retries_denied: Counter,
    retry_sharers: Gauge,
    memory_unused: Histogram,
    streams_interrupted: Counter,
    callers_disconnected: Counter,
    slow_callers: Counter,
    unread: Gauge,
    connections: Connections,
    servers_leaving: Counter,
    servers_paused: Counter,
    rate_limits_stated: Counter,
    rate_limited: Gauge,
    servers_cold: Counter,
    cold: Gauge,
    responses: Family<Label, Histogram, fn() -> Histogram>,
    first_event: Histogram,
    timer_delay: Histogram,
    version: Gauge<u64, AtomicU64>,
    servers: Gauge,
    peers: Gauge,
    in_flight: Gauge,
    evacuated_zones: Gauge,
    /// Those of the admission queue.
    pub queue: Queue,
    store_calls: Family<CallLabels, Counter>,
    store_watcher: Gauge,
    ages: Family<Label, Gauge<f64, AtomicU64>>,
    prefix_reuse: Family<Label, Counter>,
    prefix_saved: Counter<f64, AtomicU64>,
}

pub(super) fn latency_histogram() -> Histogram {
    Histogram::new(exponential_buckets(MIN_LATENCY_BUCKET_S, 2.0, LATENCY_BUCKETS))
}

impl Default for Metrics {
    fn default() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix(PREFIX),
            requests: Counter::default(),
            refusals: Family::default(),
            attempts: Family::default(),
            retries: Counter::default(),
            retries_denied: Counter::default(),
            retry_sharers: Gauge::default(),
            memory_unused: latency_histogram(),
            streams_interrupted: Counter::default(),
            callers_disconnected: Counter::default(),
            slow_callers: Counter::default(),
            unread: Gauge::default(),
            connections: Connections::default(),
            servers_leaving: Counter::default(),
            servers_paused: Counter::default(),
            rate_limits_stated: Counter::default(),
            rate_limited: Gauge::default(),
            servers_cold: Counter::default(),
            cold: Gauge::default(),
            responses: Family::new_with_constructor(latency_histogram),
            first_event: latency_histogram(),
            timer_delay: latency_histogram(),
            version: Gauge::default(),
            servers: Gauge::default(),
            peers: Gauge::default(),
            in_flight: Gauge::default(),
            evacuated_zones: Gauge::default(),
            queue: Queue::default(),
            store_calls: Family::default(),
            store_watcher: Gauge::default(),
            ages: Family::default(),
            prefix_reuse: Family::default(),
            prefix_saved: Counter::default(),
        };
        metrics.register();
        metrics
    }
}

impl Metrics {
    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register("requests", "Requests that were admitted", self.requests.clone());
        registry.register("refusals", "Requests refused, by kind", self.refusals.clone());
        registry.register("sends", "Sends to servers, by outcome", self.attempts.clone());
        registry.register_with_unit(
            "timer_delay",
            "How much later than asked for a timer of the daemon fired",
            Unit::Seconds,
            self.timer_delay.clone(),
        );
        registry.register("resends", "Sends beyond the first", self.retries.clone());
        registry.register(
            "resends_denied",
            "Sends beyond the first that the retry budget did not allow",
            self.retries_denied.clone(),
        );
        registry.register(
            "retry_budget_daemons",
            "Daemons between which the constant part of the retry budget was last divided",
            self.retry_sharers.clone(),
        );
        registry.register_with_unit(
            "memory_unused",
            "Longest time for which memory that a request had reserved showed no use",
            Unit::Seconds,
            self.memory_unused.clone(),
        );
        registry.register("streams_broken", "Streams broken off", self.streams_interrupted.clone());
        registry.register(
            "callers_left",
            "Streams whose caller left",
            self.callers_disconnected.clone(),
        );
        registry.register(
            "prefix_reuse",
            "Placements of prompts at engines that keep prefixes, by what they reuse",
            self.prefix_reuse.clone(),
        );
        registry.register_with_unit(
            "prefix_saved",
            "Expected prefill time saved by the reuse of prefixes",
            Unit::Seconds,
            self.prefix_saved.clone(),
        );
        registry.register(
            "slow_callers_cut_off",
            "Responses that were cut off because their callers read too slowly",
            self.slow_callers.clone(),
        );
        registry.register_with_unit(
            "unread",
            "Parts of responses that callers have not read yet",
            Unit::Bytes,
            self.unread.clone(),
        );
        self.connections.register(registry);
        registry.register(
            "servers_leaving",
            "Servers that stated in a response that they are leaving",
            self.servers_leaving.clone(),
        );
        registry.register(
            "servers_paused",
            "Pauses that servers asked for",
            self.servers_paused.clone(),
        );
        registry.register(
            "rate_limits_stated",
            "Rate limits that servers stated, new or changed",
            self.rate_limits_stated.clone(),
        );
        registry.register(
            "rate_limited_servers",
            "Servers that state a rate limit",
            self.rate_limited.clone(),
        );
        registry.register(
            "servers_cold",
            "Times that a server became cold",
            self.servers_cold.clone(),
        );
        registry.register("cold_servers", "Servers that are cold", self.cold.clone());
        registry.register_with_unit(
            "answer",
            "Time to the whole answer",
            Unit::Seconds,
            self.responses.clone(),
        );
        registry.register_with_unit(
            "first_event",
            "Time to a stream's first event",
            Unit::Seconds,
            self.first_event.clone(),
        );
        registry.register("config_version", "Configuration in force", self.version.clone());
        registry.register("servers", "Backend servers known", self.servers.clone());
        registry.register("peers", "Other daemons alive", self.peers.clone());
        registry.register("in_flight", "Requests at servers", self.in_flight.clone());
        registry.register(
            "evacuated_zones",
            "Availability zones that are evacuated",
            self.evacuated_zones.clone(),
        );
        self.queue.register(registry);
        registry.register("store_calls", "Calls to the store", self.store_calls.clone());
        registry.register(
            "store_watcher",
            "Whether the daemon watches the store for its peers",
            self.store_watcher.clone(),
        );
        registry.register_with_unit(
            "state_age",
            "Time since the store last confirmed what the daemon holds, by kind",
            Unit::Seconds,
            self.ages.clone(),
        );
    }

    /// Observes how much later than requested a timer fired.
    pub fn timer_delay(&self, delay: Duration) {
        self.timer_delay.observe(delay.as_secs_f64());
    }

    /// Counts a placement by what it reuses of the prefixes that servers hold.
    pub fn prefix_reuse(&self, reuse: &Reuse) {
        self.prefix_reuse.get_or_create(&[("reuse", reuse.to_string())]).inc();
        self.prefix_saved.inc_by(reuse.saved_ms() / 1e3);
    }

    /// Counts an admitted request.
    pub fn admitted(&self) {
        self.requests.inc();
    }

    /// Counts a refused request.
    pub fn refused(&self, kind: error::Kind) {
        self.refusals.get_or_create(&[("kind", kind.to_string())]).inc();
    }

    /// Counts an attempt that has ended.
    pub fn attempt_ended(&self, outcome: Outcome) {
        self.attempts.get_or_create(&[("outcome", outcome.to_string())]).inc();
    }

    /// Counts a retry that the retry budget allowed, divided between a number of `daemons`.
    pub fn retried(&self, daemons: usize) {
        self.retries.inc();
        self.retry_sharers.set(daemons as i64);
    }

    /// Counts a retry that the retry budget, divided between a number of `daemons`, did not allow.
    pub fn retry_denied(&self, daemons: usize) {
        self.retries_denied.inc();
        self.retry_sharers.set(daemons as i64);
    }

    /// Observes the longest time for which memory that a request had reserved showed no use.
    pub fn memory_unused(&self, time: Duration) {
        self.memory_unused.observe(time.as_secs_f64());
    }

    /// Counts a stream that could not be completed.
    pub fn stream_interrupted(&self) {
        self.streams_interrupted.inc();
    }

    /// Counts a stream whose caller disconnected.
    pub fn caller_disconnected(&self) {
        self.callers_disconnected.inc();
    }

    /// Returns the counter of responses that were cut off because their callers read too slowly.
    pub fn slow_callers(&self) -> Counter {
        self.slow_callers.clone()
    }

    /// Counts a new connection to a server.
    pub fn connection_opened(&self) {
        self.connections.opened();
    }

    /// Counts a server that stated in a response that it is leaving.
    pub fn server_leaving(&self) {
        self.servers_leaving.inc();
    }

    /// Counts a pause that a server asked for.
    pub fn server_paused(&self) {
        self.servers_paused.inc();
    }

    /// Counts a rate limit that a server stated.
    pub fn rate_limit_stated(&self) {
        self.rate_limits_stated.inc();
    }

    /// Counts a server that has become cold.
    pub fn server_cold(&self) {
        self.servers_cold.inc();
    }

    /// Observes the time to a complete response.
    pub fn response_completed(&self, streaming: bool, time: Duration) {
        let kind = if streaming { "stream" } else { "plain" };
        self.responses.get_or_create(&[("kind", kind.to_owned())]).observe(time.as_secs_f64());
    }

    /// Observes the time to a stream's first event.
    pub fn first_event(&self, time: Duration) {
        self.first_event.observe(time.as_secs_f64());
    }

    /// Counts a call to the store.
    pub fn store_call(&self, call: StoreCall) {
        let labels = [
            ("kind", call.kind.to_string()),
            ("purpose", call.purpose.to_string()),
            ("outcome", call.outcome.to_string()),
        ];
        self.store_calls.get_or_create(&labels).inc();
    }

    /// Returns all metric families as text, including the current state of the gateway.
    pub fn encode(&self, state: State) -> String {
        self.version.set(state.version);
        self.servers.set(state.servers as i64);
        self.peers.set(state.peers as i64);
        self.in_flight.set(state.in_flight as i64);
        self.evacuated_zones.set(state.evacuated_zones as i64);
        self.queue.set_length(state.waiting);
        self.unread.set(state.unread.get() as i64);
        self.connections.set(state.sockets, state.stalled);
        self.rate_limited.set(state.rate_limited as i64);
        self.cold.set(state.cold as i64);
        self.store_watcher.set(i64::from(state.role == Some(Role::Watcher)));
        for (kind, age) in state.ages {
            let label = [("kind", kind.to_string())];
            self.ages.get_or_create(&label).set(age.as_secs_f64());
        }
        let mut text = String::new();
        match text::encode(&mut text, &self.registry) {
            Ok(()) => text,
            Err(error) => format!("# {error}\n"),
        }
    }
}

/// Gauge values that are read when the metrics are scraped.
#[derive(Debug, Clone, Default)]
pub struct State {
    /// Version of the configuration.
    pub version: u64,
    /// Backend servers that are known.
    pub servers: usize,
    /// Peers that are alive.
    pub peers: usize,
    /// Requests at servers.
    pub in_flight: usize,
    /// Availability zones that are evacuated.
    pub evacuated_zones: usize,
    /// Requests that wait to be placed.
    pub waiting: usize,
    /// Parts of responses that callers have not read yet.
    pub unread: Bytes,
    /// Open connections of callers and to servers.
    pub sockets: usize,
    /// Those whose peers are alive and do not read.
    pub stalled: usize,
    /// Servers that state a rate limit.
    pub rate_limited: usize,
    /// Servers that are cold.
    pub cold: usize,
    /// How the daemon learns of changes in the store, if that is known yet.
    pub role: Option<Role>,
    /// Ages of the copies of the store that were ever confirmed.
    pub ages: Vec<(freshness::Kind, Duration)>,
}
