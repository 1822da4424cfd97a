use std::sync::atomic::AtomicU64;
use std::time::Duration;

use kumquattiller_base::error;
use kumquattiller_base::outcome::Outcome;
use kumquattiller_base::size::Tokens;
use kumquattiller_routing::band::Band;
use prometheus_client::encoding::text;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::metrics::histogram::exponential_buckets;
use prometheus_client::registry::Registry;
use prometheus_client::registry::Unit;

use crate::metrics::LinkKind;
use crate::metrics::OutcomeKind;

/// Prefix of the metric names.
const PREFIX: &str = "kumquattiller";
/// Upper bound of the first bucket of time to first token, in seconds; each bound is twice the
/// previous one.
const FIRST_TOKEN_MIN_S: f64 = 0.005;
/// Number of buckets of time to first token.
const FIRST_TOKEN_BUCKETS: u16 = 16;
/// Upper bound of the first bucket of the gap between tokens, in seconds; each bound is twice the
/// previous one.
const TOKEN_GAP_MIN_S: f64 = 0.002;
/// Number of buckets of the gap between tokens.
const TOKEN_GAP_BUCKETS: u16 = 12;

/// A label set of one label: its name and value.
type LabelSet = [(&'static str, &'static str); 1];

/// The metric families of a process.
///
/// All updates take a shared reference, so that the tasks of a process can share one value.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    outcomes: Family<LabelSet, Counter>,
    errors: Family<LabelSet, Counter>,
    retries: Counter,
    dropped_frames: Counter,
    first_token: Family<LabelSet, Histogram, fn() -> Histogram>,
    token_gap: Family<LabelSet, Histogram, fn() -> Histogram>,
    running: Gauge,
    config_version: Gauge<u64, AtomicU64>,
    links: Family<LabelSet, Gauge>,
    control_bytes: Family<LabelSet, Counter>,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix(PREFIX),
            outcomes: Family::default(),
            errors: Family::default(),
            retries: Counter::default(),
            dropped_frames: Counter::default(),
            first_token: Family::new_with_constructor(first_token_histogram),
            token_gap: Family::new_with_constructor(token_gap_histogram),
            running: Gauge::default(),
            config_version: Gauge::default(),
            links: Family::default(),
            control_bytes: Family::default(),
        };
        metrics.register_request_families();
        metrics.register_process_families();
        metrics
    }
}

impl Metrics {
    /// Counts a request by its terminal outcome, and its error by kind if it has one.
    pub fn count_outcome(&self, outcome: &Outcome) {
        let kind: &'static str = OutcomeKind::from(outcome).into();
        self.outcomes.get_or_create(&[("outcome", kind)]).inc();
        match outcome {
            Outcome::Done { .. } => {}
            Outcome::NotRun(refusal) => self.count_error(refusal.kind()),
            Outcome::Failed(kind) | Outcome::Unknown(kind) => self.count_error(*kind),
        }
    }

    /// Counts an error response by kind.
    pub fn count_error(&self, kind: error::Kind) {
        let kind: &'static str = kind.into();
        self.errors.get_or_create(&[("kind", kind)]).inc();
    }

    /// Counts an attempt of a request after its first.
    pub fn count_retry(&self) {
        self.retries.inc();
    }

    /// Counts a frame that was dropped because it belongs to no pending attempt or has an
    /// unexpected offset.
    pub fn count_dropped_frame(&self) {
        self.dropped_frames.inc();
    }

    /// Records the time from the arrival of a request to its first token.
    pub fn observe_first_token(&self, prompt: Tokens, time: Duration) {
        let label = [("prompt_band", Band::of(prompt).into())];
        self.first_token.get_or_create(&label).observe(time.as_secs_f64());
    }

    /// Records the time between two tokens of a response.
    pub fn observe_token_gap(&self, prompt: Tokens, time: Duration) {
        let label = [("prompt_band", Band::of(prompt).into())];
        self.token_gap.get_or_create(&label).observe(time.as_secs_f64());
    }

    /// Adds an admitted request to the running requests.
    pub fn request_admitted(&self) {
        self.running.inc();
    }

    /// Removes an admitted request that ended from the running requests.
    pub fn request_ended(&self) {
        self.running.dec();
    }

    /// Sets the configuration version in force.
    pub fn set_config_version(&self, version: u64) {
        self.config_version.set(version);
    }

    /// Sets the number of open links.
    pub fn set_links(&self, kind: LinkKind, count: usize) {
        let label = [("peer", kind.into())];
        self.links.get_or_create(&label).set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    /// Adds bytes to the traffic of control frames with a kind of peer.
    pub fn add_control_bytes(&self, kind: LinkKind, bytes: u64) {
        let label = [("peer", kind.into())];
        self.control_bytes.get_or_create(&label).inc_by(bytes);
    }

    /// Encodes all families in the OpenMetrics text format.
    pub fn encode(&self) -> String {
        let mut text = String::new();
        let _ = text::encode(&mut text, &self.registry);
        text
    }

    fn register_request_families(&mut self) {
        let registry = &mut self.registry;
        registry.register("requests", "Requests by outcome", self.outcomes.clone());
        registry.register("errors", "Error answers by kind", self.errors.clone());
        registry.register("retries", "Further attempts of requests", self.retries.clone());
        registry.register("running", "Admitted requests without an outcome", self.running.clone());
        registry.register_with_unit(
            "time_to_first_token",
            "Time from arrival to the first token, by prompt length",
            Unit::Seconds,
            self.first_token.clone(),
        );
        registry.register_with_unit(
            "token_gap",
            "Time between two tokens of an answer, by prompt length",
            Unit::Seconds,
            self.token_gap.clone(),
        );
    }

    fn register_process_families(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "dropped_frames",
            "Frames of attempts that are not awaited",
            self.dropped_frames.clone(),
        );
        registry.register(
            "config_version",
            "Configuration version in force",
            self.config_version.clone(),
        );
        registry.register("links", "Open links by peer", self.links.clone());
        registry.register_with_unit(
            "control",
            "Control frames sent, by peer",
            Unit::Bytes,
            self.control_bytes.clone(),
        );
    }
}

fn first_token_histogram() -> Histogram {
    Histogram::new(exponential_buckets(FIRST_TOKEN_MIN_S, 2.0, FIRST_TOKEN_BUCKETS))
}

fn token_gap_histogram() -> Histogram {
    Histogram::new(exponential_buckets(TOKEN_GAP_MIN_S, 2.0, TOKEN_GAP_BUCKETS))
}
