use std::time::Duration;

use kumquattiller_base::size::Tokens;
use kumquattiller_gateway::dialect::Prompt;
use kumquattiller_gateway::load::Key;
use kumquattiller_gateway::placement::request_value;
use rand::Rng;
use rand::RngExt;

/// Delay between a daemon and its caller, in milliseconds.
const CALLER_DELAY_MS: u64 = 35;
/// Tokens generated for each request.
const OUTPUT: Tokens = Tokens::new(700);

/// Kind of a request, with the sizes and targets of the requirements page.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    Short,
    Long,
    VeryLong,
}

impl Kind {
    /// Draws a prompt of about the kind's usual size.
    pub fn prompt(self, random: &mut impl Rng) -> Prompt {
        let (median, spread, most) = match self {
            Self::Short => (4_400.0, 4.0, 19_500.0),
            Self::Long => (45_000.0, 1.8, 90_000.0),
            Self::VeryLong => (190_000.0, 3.0, 600_000.0),
        };
        let exponent: f64 = random.random_range(-1.0..1.0) + random.random_range(-1.0..1.0);
        let tokens = f64::min(median * f64::powf(spread, exponent / 2.0), most);
        Prompt { tokens: Tokens::new(tokens as u64), max_output: OUTPUT }
    }

    pub const fn target_latency(self) -> Duration {
        Duration::from_millis(match self {
            Self::Short => 300,
            Self::Long => 1_500,
            Self::VeryLong => 6_000,
        })
    }

    pub const fn target_gap(self) -> Duration {
        Duration::from_millis(match self {
            Self::Short => 250,
            Self::Long => 600,
            Self::VeryLong => 1_000,
        })
    }
}

/// What a caller got.
#[derive(Debug, Clone, Copy)]
pub struct Outcome {
    pub kind: Kind,
    pub arrived_ms: u64,
    /// Value of the response if it is on time.
    pub value: f64,
    /// Time of the first event and longest gap in milliseconds, or `None` if it was refused.
    pub times: Option<(u64, u64)>,
}

impl Outcome {
    /// Returns whether the response was complete and on time.
    pub fn is_on_time(&self) -> bool {
        self.times.is_some_and(|(first_ms, gap_ms)| {
            u128::from(first_ms) <= self.kind.target_latency().as_millis()
                && u128::from(gap_ms) <= self.kind.target_gap().as_millis()
        })
    }
}

/// A request that has been placed.
#[derive(Debug)]
pub struct Job {
    pub daemon: usize,
    pub key: Key,
    pub kind: Kind,
    pub arrived_ms: u64,
    pub prompt: Prompt,
    pub parts_left: usize,
    pub server: usize,
    pub passes_left: u64,
    pub first_ms: Option<u64>,
    pub last_ms: u64,
    pub longest_gap_ms: u64,
    /// Expected length of a pass as of the last event or the start, if it is known.
    pub pass_ms: Option<f64>,
    pub expected_first_ms: f64,
    pub is_alone: bool,
}

impl Job {
    /// Records an event at the daemon; returns whether the response is on time so far.
    pub fn record_event(&mut self, now_ms: u64) -> bool {
        match self.first_ms {
            None => self.first_ms = Some(now_ms - self.arrived_ms),
            Some(_) => self.longest_gap_ms = self.longest_gap_ms.max(now_ms - self.last_ms),
        }
        self.last_ms = now_ms;
        self.outcome().is_on_time()
    }

    pub fn outcome(&self) -> Outcome {
        let times = self.first_ms.map(|first_ms| (first_ms + CALLER_DELAY_MS, self.longest_gap_ms));
        Outcome {
            kind: self.kind,
            arrived_ms: self.arrived_ms,
            value: request_value(self.prompt.tokens),
            times,
        }
    }
}
