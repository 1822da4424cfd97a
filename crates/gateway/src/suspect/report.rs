use std::time::Duration;

use crate::suspect::Crash;
use crate::suspect::Feature;

/// What a daemon tells its peers about a feature.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// The feature.
    pub feature: Feature,
    /// Crashes for which it was blamed, later ones first.
    pub blamed: Vec<Crash>,
    /// Those of them from which it was exonerated.
    pub exonerated: Vec<Crash>,
    /// Time since the last of the crashes.
    pub age: Duration,
}
