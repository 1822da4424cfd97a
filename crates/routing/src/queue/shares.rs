use std::collections::HashMap;

use kumquattiller_base::size::Tokens;

use crate::queue::Consumer;
use crate::queue::Consumption;
use crate::queue::Usage;

/// Part of what is asked for that is served while capacity still counts as sufficient. What waits at
/// the moment is not served yet.
const SUFFICIENT_FRACTION: f64 = 0.95;

/// The max-min fair division of short capacity between client accounts.
///
/// What was served recently is the capacity. Each consumer may have an equal part of it, and what
/// one does not ask for goes to the others. A consumer above its part comes after the others.
#[derive(Debug, Clone, Default)]
pub struct Shares {
    usages: HashMap<Consumer, Usage>,
    /// Largest part of a consumer; `None` if capacity suffices for all.
    level: Option<f64>,
}

impl Shares {
    /// Computes the shares from the usage of each consumer at all daemons.
    pub fn of(usages: impl Iterator<Item = Consumption>) -> Self {
        let mut sums: HashMap<Consumer, Usage> = HashMap::new();
        for Consumption { consumer, usage } in usages {
            let sum = sums.entry(consumer).or_default();
            *sum = *sum + usage;
        }
        let level = level(&sums);
        Self { usages: sums, level }
    }

    /// Returns whether a consumer has had more than its share while capacity is short. The share is
    /// rounded to whole requests of the given size: a few large ones cannot be divided equally.
    pub fn is_exceeded(&self, consumer: Consumer, request: Tokens) -> bool {
        let served = self.usages.get(&consumer).map_or(0.0, |usage| usage.served);
        self.level.is_some_and(|level| served > level + request.get() as f64 / 2.0)
    }

    /// Returns the largest part of a consumer in tokens, or `None` if shares bind nobody.
    pub const fn level(&self) -> Option<f64> {
        self.level
    }
}

/// Returns the level up to which all demands can be served together.
fn level(usages: &HashMap<Consumer, Usage>) -> Option<f64> {
    let capacity: f64 = usages.values().map(|usage| usage.served).sum();
    let mut asked: Vec<f64> = usages.values().map(|usage| usage.asked).collect();
    if capacity >= asked.iter().sum::<f64>() * SUFFICIENT_FRACTION {
        return None;
    }
    asked.sort_by(f64::total_cmp);
    let mut left = capacity;
    for (index, demand) in asked.iter().enumerate() {
        let part = left / (asked.len() - index) as f64;
        if *demand >= part {
            return Some(part);
        }
        left -= demand;
    }
    None
}
