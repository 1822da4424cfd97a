use std::time::Duration;

use kumquattiller_base::rate::TokensPerSecond;
use kumquattiller_base::size::Tokens;

/// The time model of an engine.
///
/// An engine runs in steps. A step generates one token for each decoding stream and computes up to
/// `chunk` prompt tokens of the streams in prefill, ordered by priority and then arrival. It takes
///
/// > `decode_step` (when a stream decodes) + prompt tokens computed / `prefill_rate`
///
/// so that prefill delays concurrent decoding by at most `chunk / prefill_rate`. Reading KV from
/// another engine takes tokens / `transfer_rate`. All times are divided by `speed`.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Timing {
    /// Duration of a step that only decodes.
    pub decode_step: Duration,
    /// Rate at which prompt tokens are computed.
    pub prefill_rate: TokensPerSecond,
    /// Maximum number of prompt tokens computed in a step.
    pub chunk: Tokens,
    /// Maximum number of jobs in the batch.
    pub max_batch: usize,
    /// Rate at which KV is transferred between engines.
    pub transfer_rate: TokensPerSecond,
    /// Time to load a model or an adapter from the weight store.
    pub load_time: Duration,
    /// Factor by which all times are divided.
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
    /// Returns the duration of a step that computes `prefill` prompt tokens and, if `decodes`, also
    /// decodes.
    pub fn step_time(&self, decodes: bool, prefill: Tokens) -> Duration {
        let decode = if decodes { self.decode_step } else { Duration::ZERO };
        self.divided_by_speed(decode) + self.time_at_rate(prefill, self.prefill_rate)
    }

    /// Returns the time to transfer `tokens` of KV between engines.
    pub fn transfer_time(&self, tokens: Tokens) -> Duration {
        self.time_at_rate(tokens, self.transfer_rate)
    }

    /// Returns the time to load a model or an adapter, divided by the speed.
    pub fn scaled_load_time(&self) -> Duration {
        self.divided_by_speed(self.load_time)
    }

    fn time_at_rate(&self, tokens: Tokens, rate: TokensPerSecond) -> Duration {
        self.divided_by_speed(Duration::from_secs_f64(
            tokens.get() as f64 / rate.get().max(1) as f64,
        ))
    }

    fn divided_by_speed(&self, time: Duration) -> Duration {
        time.div_f64(self.speed)
    }
}
