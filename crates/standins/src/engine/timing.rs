use std::time::Duration;

use kumquattiller_base::rate::TokensPerSecond;
use kumquattiller_base::size::Tokens;

/// The time model of an engine.
///
/// An engine works in steps. In a step each decoding stream gains one token and up to `chunk`
/// prompt tokens are computed, shared out to the streams in prefill in the order of priority and
/// arrival. The step takes
///
/// > `decode_step` (when a stream decodes) + prompt tokens computed / `prefill_rate`
///
/// so that prefill slows the decode beside it by `chunk / prefill_rate` at most. Reading KV of
/// another engine takes tokens / `transfer_rate`. All times are divided by `speed`.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Timing {
    /// Time of a step in which streams only decode.
    pub decode_step: Duration,
    /// Rate at which prompt tokens are computed.
    pub prefill_rate: TokensPerSecond,
    /// Most prompt tokens computed in a step.
    pub chunk: Tokens,
    /// Most streams in the batch.
    pub max_batch: usize,
    /// Rate at which KV moves between engines.
    pub transfer_rate: TokensPerSecond,
    /// Time to load a model or an adapter from the weight store.
    pub load_time: Duration,
    /// Factor by which everything runs faster than the model says.
    pub speed: f64,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            decode_step: Duration::from_millis(20),
            prefill_rate: TokensPerSecond::new(20_000),
            chunk: Tokens::new(512),
            max_batch: 256,
            transfer_rate: TokensPerSecond::new(200_000),
            load_time: Duration::from_secs(20),
            speed: 1.0,
        }
    }
}

impl Timing {
    /// Returns the time of a step that computes `prefill` prompt tokens.
    pub fn step(&self, decodes: bool, prefill: Tokens) -> Duration {
        let decode = if decodes { self.decode_step } else { Duration::ZERO };
        self.scaled(decode) + self.over(prefill, self.prefill_rate)
    }

    /// Returns the time to move `tokens` of KV between engines.
    pub fn transfer(&self, tokens: Tokens) -> Duration {
        self.over(tokens, self.transfer_rate)
    }

    /// Returns the time to load from the weight store.
    pub fn load(&self) -> Duration {
        self.scaled(self.load_time)
    }

    fn over(&self, tokens: Tokens, rate: TokensPerSecond) -> Duration {
        self.scaled(Duration::from_secs_f64(tokens.get() as f64 / rate.get().max(1) as f64))
    }

    fn scaled(&self, time: Duration) -> Duration {
        time.div_f64(self.speed)
    }
}
