//! Size-interval assignment: which prompts go to the engines set aside for long ones.
//!
//! Each daemon sums up the work of the requests that it saw by prompt size, and forgets it with a
//! half-life. From that it sets aside as many engines as the work over 8,000 tokens needs, and
//! moves the cut-off so that the prompts over it fill these engines as much as the rest fills the
//! others. Every daemon orders the engines by the same hash, so that daemons that see similar
//! work and the same engines set the same ones aside.

use std::time::Duration;

use kumquattiller_base::size::Tokens;
use kumquattiller_base::time::Moment;

use crate::band::SHORT_TOKENS;

/// Sizes are told apart by halves of a power of two, from 1,024 tokens on.
const BINS: usize = 24;

/// Bins for each power of two.
const BINS_PER_DOUBLING: f64 = 2.0;

/// Upper end of the first bin.
const FIRST_BIN_TOKENS: f64 = 1_024.0;

/// Time in which seen work loses half its weight.
const HALF_LIFE: Duration = Duration::from_secs(20);

/// Work seen before engines are set aside; until then any engine takes any size.
const MIN_WORK: Duration = Duration::from_secs(20);

/// Load of the engines set aside, relative to all, over which the cut-off rises.
const LONG_OVERLOAD: f64 = 1.1;

/// The present division of the engines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Division {
    /// Engines set aside for long prompts.
    pub long_engines: usize,
    /// Largest prompt of the other engines.
    pub cutoff: Tokens,
}

/// Work seen, by prompt size.
#[derive(Debug, Clone, Default)]
pub struct Meter {
    bins: [f64; BINS],
    decayed_at: Moment,
}

impl Meter {
    /// Adds a request's work, in time of one engine.
    pub fn observe(&mut self, prompt: Tokens, work: Duration, now: Moment) {
        self.decay(now);
        self.bins[bin(prompt)] += work.as_secs_f64();
    }

    /// Returns the division of `engines` that fits the work seen.
    pub fn division(&self, engines: usize) -> Division {
        let total: f64 = self.bins.iter().sum();
        if engines < 2 || total < MIN_WORK.as_secs_f64() {
            return Division { long_engines: 0, cutoff: Tokens::MAX };
        }
        let first_long = bin(SHORT_TOKENS) + 1;
        let share = self.above(first_long) / total;
        let wanted = (share * engines as f64).round() as usize;
        let long_engines = wanted.min(engines - 1);
        if long_engines == 0 {
            return Division { long_engines, cutoff: Tokens::MAX };
        }
        let room = LONG_OVERLOAD * long_engines as f64 / engines as f64;
        let lowest = (first_long..BINS).find(|&b| self.above(b) / total <= room).unwrap_or(BINS);
        let cutoff = upper_end(lowest - 1).max(SHORT_TOKENS);
        Division { long_engines, cutoff }
    }

    /// Returns the work of the bins from `first` on.
    fn above(&self, first: usize) -> f64 {
        self.bins[first..].iter().sum()
    }

    fn decay(&mut self, now: Moment) {
        let past = now.since(self.decayed_at).as_secs_f64();
        let factor = 0.5_f64.powf(past / HALF_LIFE.as_secs_f64());
        for work in &mut self.bins {
            *work *= factor;
        }
        self.decayed_at = self.decayed_at.max(now);
    }
}

/// Returns the bin of a size.
fn bin(prompt: Tokens) -> usize {
    let doublings = (prompt.get().max(1) as f64 / FIRST_BIN_TOKENS).log2();
    let index = (doublings * BINS_PER_DOUBLING).ceil().max(0.0);
    (index as usize).min(BINS - 1)
}

/// Returns the largest size of a bin.
fn upper_end(bin: usize) -> Tokens {
    Tokens::new((FIRST_BIN_TOKENS * (bin as f64 / BINS_PER_DOUBLING).exp2()) as u64)
}
