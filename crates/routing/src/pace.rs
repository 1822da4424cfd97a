//! Engine speed that routing and admission assume.

use std::time::Duration;

use kumquattiller_base::rate::TokensPerSecond;
use kumquattiller_base::size::Tokens;

/// Assumed speed of one engine of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pace {
    /// Prefill speed of an otherwise idle engine, in prompt tokens a second.
    pub prefill: TokensPerSecond,
    /// Time for each output token while the engine computes no prompt.
    pub step: Duration,
}

impl Default for Pace {
    fn default() -> Self {
        Self { prefill: TokensPerSecond::new(100_000), step: Duration::from_millis(20) }
    }
}

impl Pace {
    /// Returns the time to compute a prompt on an otherwise idle engine.
    pub const fn prefill_time(&self, prompt: Tokens) -> Duration {
        let micros = prompt.get().saturating_mul(1_000_000) / self.rate();
        Duration::from_micros(micros)
    }

    /// Returns the time to generate a response while the engine computes no prompt.
    pub const fn decode_time(&self, response: Tokens) -> Duration {
        Duration::from_micros(self.step.as_micros() as u64 * response.get())
    }

    /// Returns the time of a whole request on an idle engine.
    pub fn service_time(&self, prompt: Tokens, response: Tokens) -> Duration {
        self.prefill_time(prompt) + self.decode_time(response)
    }

    /// Returns the prefill speed, at least 1 to allow division by it.
    const fn rate(&self) -> u64 {
        let rate = self.prefill.get();
        if rate == 0 { 1 } else { rate }
    }
}
