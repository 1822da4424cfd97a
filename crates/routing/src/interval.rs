//! Size-interval assignment: dedicates some engines to long prompts.
//!
//! Each daemon sums up the work of the requests that it routed by prompt size, with an exponential
//! decay. It dedicates as many engines to long prompts as the work of prompts over 8,000 tokens
//! needs, and then sets the cutoff so that prompts above it load these engines as much as the other
//! prompts load the rest. Every daemon orders the engines by the same hash, so that daemons with
//! similar work and the same engines dedicate the same ones.

use std::time::Duration;

use kumquattiller_base::size::Tokens;
use kumquattiller_base::time::Moment;

use crate::band::SHORT_TOKENS;

/// Number of prompt size bins. Bins are half a power of two wide, from 1,024 tokens on.
const BINS: usize = 24;

/// Bins for each doubling of the prompt size.
const BINS_PER_DOUBLING: f64 = 2.0;

/// Upper end of the first bin.
const FIRST_BIN_TOKENS: f64 = 1_024.0;

/// Time after which recorded work has half its weight.
const HALF_LIFE: Duration = Duration::from_secs(20);

/// Recorded work below which no engines are dedicated and any engine takes any size.
const MIN_WORK: Duration = Duration::from_secs(20);

/// Load of the dedicated engines, relative to the mean of all, above which the cutoff rises.
const LONG_OVERLOAD: f64 = 1.1;

/// Division of a service's engines by prompt size.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Division {
    /// Number of engines dedicated to long prompts.
    pub long_engines: usize,
    /// Largest prompt that the other engines should take.
    pub cutoff: Tokens,
}

/// Decayed sum of work by prompt size.
#[derive(Debug, Clone, Default)]
pub struct Meter {
    bins: [f64; BINS],
    decayed_at: Moment,
}

impl Meter {
    /// Adds the work of a request: the time for which it would occupy one whole engine.
    pub fn observe(&mut self, prompt: Tokens, work: Duration, now: Moment) {
        self.decay(now);
        self.bins[bin_index(prompt)] += work.as_secs_f64();
    }

    /// Returns the division of `engines` that fits the recorded work.
    pub fn division(&self, engines: usize) -> Division {
        let total: f64 = self.bins.iter().sum();
        if engines < 2 || total < MIN_WORK.as_secs_f64() {
            return Division { long_engines: 0, cutoff: Tokens::MAX };
        }
        let first_long = bin_index(SHORT_TOKENS) + 1;
        let share = self.work_from(first_long) / total;
        let needed = (share * engines as f64).round() as usize;
        let long_engines = needed.min(engines - 1);
        if long_engines == 0 {
            return Division { long_engines, cutoff: Tokens::MAX };
        }
        let max_share = LONG_OVERLOAD * long_engines as f64 / engines as f64;
        let cutoff_bin =
            (first_long..BINS).find(|&b| self.work_from(b) / total <= max_share).unwrap_or(BINS);
        let cutoff = upper_end(cutoff_bin - 1).max(SHORT_TOKENS);
        Division { long_engines, cutoff }
    }

    /// Returns the work in the bins from `first` on, in seconds of one engine.
    fn work_from(&self, first: usize) -> f64 {
        self.bins[first..].iter().sum()
    }

    fn decay(&mut self, now: Moment) {
        let elapsed = now.since(self.decayed_at).as_secs_f64();
        let factor = 0.5_f64.powf(elapsed / HALF_LIFE.as_secs_f64());
        for work in &mut self.bins {
            *work *= factor;
        }
        self.decayed_at = self.decayed_at.max(now);
    }
}

/// Returns the index of the bin that a prompt size belongs to.
fn bin_index(prompt: Tokens) -> usize {
    let doublings = (prompt.get().max(1) as f64 / FIRST_BIN_TOKENS).log2();
    let index = (doublings * BINS_PER_DOUBLING).ceil().max(0.0);
    (index as usize).min(BINS - 1)
}

/// Returns the largest prompt size of the bin with the given index.
fn upper_end(bin: usize) -> Tokens {
    Tokens::new((FIRST_BIN_TOKENS * (bin as f64 / BINS_PER_DOUBLING).exp2()) as u64)
}
