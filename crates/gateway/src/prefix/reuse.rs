use crate::placement::Candidate;
use crate::placement::Placement;
use crate::prefix::Copy;

/// Whether a placement reuses a prefix, for the log and the metrics.
#[derive(Debug, Clone, Copy, PartialEq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Reuse {
    /// The chosen server probably holds a prefix, which saves so many milliseconds of prefill.
    Hit(f64),
    /// A server that may get the request holds a prefix, but another one costs less.
    Costlier,
    /// The servers that hold a prefix may not get the request.
    Excluded,
    /// No server is known to hold a prefix.
    Unknown,
}

impl Reuse {
    /// Returns what a placement makes of the copies that are known.
    pub fn of(copies: &[Copy], candidates: &[Candidate], placement: &Placement) -> Self {
        let saved_ms = |c: &Candidate| if c.id == placement.server { c.saved_ms } else { 0.0 };
        let saved_ms: f64 = candidates.iter().map(saved_ms).sum();
        if saved_ms > 0.0 && placement.helpers.is_empty() {
            return Self::Hit(saved_ms);
        }
        if copies.is_empty() {
            return Self::Unknown;
        }
        let is_candidate = |copy: &Copy| candidates.iter().any(|c| c.id == copy.server);
        if copies.iter().any(is_candidate) { Self::Costlier } else { Self::Excluded }
    }

    /// Returns the prefill that is saved, in milliseconds.
    pub const fn saved_ms(&self) -> f64 {
        match self {
            Self::Hit(saved_ms) => *saved_ms,
            Self::Costlier | Self::Excluded | Self::Unknown => 0.0,
        }
    }
}
