//! The time model of an engine and the assumptions of a run.
//!
//! The two-year target requires each runner to serve 7.4 requests and generate 3,600 tokens per
//! second at peak. With one token every 20 ms, that is 72 concurrent answers of 486 tokens each.
//! With a mean prompt of about 8,600 tokens, as in the workloads of this crate, the engine computes
//! 64,000 prompt tokens per second, 64 % of the default speed. An engine runs in steps:
//!
//! - a step decodes one token of each running answer, which takes [`Model::decode_step`];
//! - it also computes up to [`Model::chunk`] prompt tokens, ordered by priority and then arrival,
//!   each of which takes [`Model::prefill_token`]; the step ends when both are done;
//! - a request starts when its prompt and its complete answer fit into the memory, and releases
//!   the memory when it ends;
//! - computed prefixes stay cached in free memory.
//!
//! [`Parameter`] lists the parameters that `--sensitivity` halves and doubles.

use std::time::Duration;

use kumquattiller_base::rate::TokensPerSecond;
use kumquattiller_base::size::Tokens;
use kumquattiller_routing::pace::Pace;

/// Nanoseconds in a second.
const NANOS_PER_SECOND: u64 = 1_000_000_000;

/// Parameters of the time model.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Model {
    /// KV memory of an engine.
    pub memory: Tokens,
    /// Duration of a step that decodes and computes no prompt tokens.
    pub decode_step: Duration,
    /// Time to compute one prompt token.
    pub prefill_token: Duration,
    /// Maximum number of prompt tokens computed in a step.
    pub chunk: Tokens,
    /// Time to transfer the KV of one segment between engines.
    pub handover: Duration,
    /// Interval between the reports of a runner to each entry daemon.
    pub report_interval: Duration,
    /// Fraction of reports whose cache events are lost.
    pub lost_event_share: f64,
    /// Mean number of tokens in an answer.
    pub mean_answer: Tokens,
    /// Mean time until a running engine crashes; `None` if engines do not crash.
    pub death_interval: Option<Duration>,
}

impl Default for Model {
    fn default() -> Self {
        Self {
            memory: Tokens::new(450_000),
            decode_step: Duration::from_millis(20),
            prefill_token: Duration::from_micros(10),
            chunk: Tokens::new(2_048),
            handover: Duration::from_millis(100),
            report_interval: Duration::from_millis(100),
            lost_event_share: 0.01,
            mean_answer: Tokens::new(486),
            death_interval: None,
        }
    }
}

/// A parameter that the sensitivity runs vary.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::EnumIter, strum::EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum Parameter {
    /// [`Model::memory`].
    Memory,
    /// [`Model::decode_step`].
    DecodeStep,
    /// [`Model::prefill_token`].
    PrefillToken,
    /// [`Model::chunk`].
    Chunk,
    /// [`Model::handover`].
    Handover,
    /// [`Model::report_interval`].
    ReportInterval,
    /// [`Model::mean_answer`].
    MeanAnswer,
}

impl Model {
    /// Returns the model with one parameter multiplied by `factor`.
    pub fn scaled(mut self, parameter: Parameter, factor: f64) -> Self {
        let tokens = |t: Tokens| Tokens::new((t.get() as f64 * factor) as u64);
        match parameter {
            Parameter::Memory => self.memory = tokens(self.memory),
            Parameter::DecodeStep => self.decode_step = self.decode_step.mul_f64(factor),
            Parameter::PrefillToken => self.prefill_token = self.prefill_token.mul_f64(factor),
            Parameter::Chunk => self.chunk = tokens(self.chunk),
            Parameter::Handover => self.handover = self.handover.mul_f64(factor),
            Parameter::ReportInterval => {
                self.report_interval = self.report_interval.mul_f64(factor);
            }
            Parameter::MeanAnswer => self.mean_answer = tokens(self.mean_answer),
        }
        self
    }

    /// Returns the speed of an engine that routing and admission assume.
    pub fn pace(&self) -> Pace {
        let nanos = (self.prefill_token.as_nanos() as u64).max(1);
        Pace { prefill: TokensPerSecond::new(NANOS_PER_SECOND / nanos), step: self.decode_step }
    }

    /// Returns the duration of a step that decodes and computes a full chunk.
    pub fn busy_step(&self) -> Duration {
        self.decode_step + self.prefill_token * self.chunk.get() as u32
    }
}
