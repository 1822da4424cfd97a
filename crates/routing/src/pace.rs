//! Speed of an engine, as decisions assume it.

use std::time::Duration;

use kumquattiller_base::rate::TokensPerSecond;
use kumquattiller_base::size::Tokens;

/// Speed of one engine of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pace {
    /// Prompt tokens computed a second on an engine that does nothing else.
    pub prefill: TokensPerSecond,
    /// Time between tokens of an engine that computes no prompt beside.
    pub step: Duration,
}

impl Default for Pace {
    fn default() -> Self {
        Self { prefill: TokensPerSecond::new(100_000), step: Duration::from_millis(20) }
    }
}

impl Pace {
    /// Returns the time to compute a prompt.
    pub const fn prefill_time(&self, prompt: Tokens) -> Duration {
        let micros = prompt.get().saturating_mul(1_000_000) / self.rate();
        Duration::from_micros(micros)
    }

    /// Returns the time to generate an answer.
    pub const fn decode_time(&self, answer: Tokens) -> Duration {
        Duration::from_micros(self.step.as_micros() as u64 * answer.get())
    }

    /// Returns the time of a whole request on an idle engine.
    pub fn service_time(&self, prompt: Tokens, answer: Tokens) -> Duration {
        self.prefill_time(prompt) + self.decode_time(answer)
    }

    const fn rate(&self) -> u64 {
        let rate = self.prefill.get();
        if rate == 0 { 1 } else { rate }
    }
}
