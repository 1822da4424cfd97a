use std::time::Duration;

/// Longest pauses of the streams of each group but the last, in milliseconds.
const GROUP_PAUSES_MS: [f64; GROUPS - 1] = [300.0, 600.0];
/// Groups of streams by the pauses that they allow.
pub const GROUPS: usize = 3;

/// Streams of one group that a server is writing and that are on time so far.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Streams {
    /// What they are worth together.
    pub worth: f64,
    /// Shortest of the longest pauses that they allow, in milliseconds; 0 where there are none.
    pub pause_ms: f64,
}

/// Returns the group of streams that allow a pause.
pub fn group_of(pause: Duration) -> usize {
    let pause_ms = pause.as_secs_f64() * 1e3;
    GROUP_PAUSES_MS.iter().position(|most| pause_ms <= *most).unwrap_or(GROUPS - 1)
}

impl std::ops::Add for Streams {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        let pause_ms = match (self.pause_ms > 0.0, other.pause_ms > 0.0) {
            (true, true) => self.pause_ms.min(other.pause_ms),
            _ => self.pause_ms.max(other.pause_ms),
        };
        Self { worth: self.worth + other.worth, pause_ms }
    }
}
