use std::time::Duration;

/// Longest target gap in each group but the last, in milliseconds.
const GROUP_MAX_GAPS_MS: [f64; GAP_GROUPS - 1] = [300.0, 600.0];
/// Number of groups that streams are divided into by their target gap.
pub const GAP_GROUPS: usize = 3;

/// Streams of one group that a server is generating and that are on time so far.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Streams {
    /// Sum of their values.
    pub value: f64,
    /// Shortest target gap among them, in milliseconds; 0 if there are no streams.
    pub target_gap_ms: f64,
}

/// Returns the group for a target gap; group 0 holds the interactive streams.
pub fn gap_group(target_gap: Duration) -> usize {
    let target_gap_ms = target_gap.as_secs_f64() * 1e3;
    GROUP_MAX_GAPS_MS.iter().position(|longest| target_gap_ms <= *longest).unwrap_or(GAP_GROUPS - 1)
}

impl std::ops::Add for Streams {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        let target_gap_ms = match (self.target_gap_ms > 0.0, other.target_gap_ms > 0.0) {
            (true, true) => self.target_gap_ms.min(other.target_gap_ms),
            _ => self.target_gap_ms.max(other.target_gap_ms),
        };
        Self { value: self.value + other.value, target_gap_ms }
    }
}
