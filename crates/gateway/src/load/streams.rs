use std::time::Duration;

/// Longest pauses of the streams of each group but the last, in milliseconds.
const GROUP_TARGET_GAPS_MS: [f64; GAP_GROUPS - 1] = [300.0, 600.0];
/// Groups of streams by the pauses that they allow.
pub const GAP_GROUPS: usize = 3;

/// Streams of one group that a server is writing and that are on time so far.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Streams {
    /// What they are worth together.
    pub value: f64,
    /// Shortest of the longest pauses that they allow, in milliseconds; 0 where there are none.
    pub target_gap_ms: f64,
}

/// Returns the group of streams that allow a pause.
pub fn gap_group(target_gap: Duration) -> usize {
    let target_gap_ms = target_gap.as_secs_f64() * 1e3;
    GROUP_TARGET_GAPS_MS.iter().position(|most| target_gap_ms <= *most).unwrap_or(GAP_GROUPS - 1)
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
