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

/// Start of each family's name.
const PREFIX: &str = "kumquattiller";
/// Smallest bucket of time to first token, in seconds; each next one is twice as large.
const FIRST_TOKEN_MIN_S: f64 = 0.005;
/// Buckets of time to first token.
const FIRST_TOKEN_BUCKETS: u16 = 16;
/// Smallest bucket of the gap between tokens, in seconds; each next one is twice as large.
const TOKEN_GAP_MIN_S: f64 = 0.002;
/// Buckets of the gap between tokens.
const TOKEN_GAP_BUCKETS: u16 = 12;

/// One label with its value.
type Label = [(&'static str, &'static str); 1];

/// The metric families of a process.
///
/// Counting takes a shared reference, so that one value serves all tasks of a process.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    outcomes: Family<Label, Counter>,
    refusals: Family<Label, Counter>,
    retries: Counter,
    dropped_frames: Counter,
    first_token: Family<Label, Histogram, fn() -> Histogram>,
    token_gap: Family<Label, Histogram, fn() -> Histogram>,
    running: Gauge,
    config_version: Gauge<u64, AtomicU64>,
    links: Family<Label, Gauge>,
    control_bytes: Family<Label, Counter>,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix(PREFIX),
            outcomes: Family::default(),
            refusals: Family::default(),
            retries: Counter::default(),
            dropped_frames: Counter::default(),
            first_token: Family::new_with_constructor(first_token_histogram),
            token_gap: Family::new_with_constructor(token_gap_histogram),
            running: Gauge::default(),
            config_version: Gauge::default(),
            links: Family::default(),
            control_bytes: Family::default(),
        };
        metrics.register_requests();
        metrics.register_fleet();
        metrics
    }
}

impl Metrics {
    /// Counts the terminal outcome of a request.
    pub fn outcome(&self, outcome: &Outcome) {
        let kind: &'static str = OutcomeKind::from(outcome).into();
        self.outcomes.get_or_create(&[("outcome", kind)]).inc();
        match outcome {
            Outcome::Done { .. } => {}
            Outcome::NotRun(refusal) => self.refusal(refusal.kind()),
            Outcome::Failed(kind) | Outcome::Unknown(kind) => self.refusal(*kind),
        }
    }

    /// Counts an answer that is an error.
    pub fn refusal(&self, kind: error::Kind) {
        let kind: &'static str = kind.into();
        self.refusals.get_or_create(&[("kind", kind)]).inc();
    }

    /// Counts a further attempt of a request.
    pub fn retry(&self) {
        self.retries.inc();
    }

    /// Counts a frame that belongs to no awaited attempt or has another offset.
    pub fn dropped_frame(&self) {
        self.dropped_frames.inc();
    }

    /// Notes the time from the arrival of a request to its first token.
    pub fn first_token(&self, prompt: Tokens, time: Duration) {
        let label = [("prompt_band", Band::of(prompt).into())];
        self.first_token.get_or_create(&label).observe(time.as_secs_f64());
    }

    /// Notes the time between two tokens of an answer.
    pub fn token_gap(&self, prompt: Tokens, time: Duration) {
        let label = [("prompt_band", Band::of(prompt).into())];
        self.token_gap.get_or_create(&label).observe(time.as_secs_f64());
    }

    /// Notes that a request was admitted.
    pub fn admitted(&self) {
        self.running.inc();
    }

    /// Notes that an admitted request ended.
    pub fn ended(&self) {
        self.running.dec();
    }

    /// Sets the configuration version in force.
    pub fn config_version(&self, version: u64) {
        self.config_version.set(version);
    }

    /// Sets the number of open links.
    pub fn links(&self, kind: LinkKind, count: usize) {
        let label = [("peer", kind.into())];
        self.links.get_or_create(&label).set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    /// Counts bytes of control frames that were sent.
    pub fn control_bytes(&self, kind: LinkKind, bytes: u64) {
        let label = [("peer", kind.into())];
        self.control_bytes.get_or_create(&label).inc_by(bytes);
    }

    /// Returns the text for `/metrics`, in the OpenMetrics form.
    pub fn encode(&self) -> String {
        let mut text = String::new();
        let _ = text::encode(&mut text, &self.registry);
        text
    }

    fn register_requests(&mut self) {
        let registry = &mut self.registry;
        registry.register("requests", "Requests by outcome", self.outcomes.clone());
        registry.register("errors", "Error answers by kind", self.refusals.clone());
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

    fn register_fleet(&mut self) {
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
