use serde::Deserialize;
use serde::Serialize;

use crate::slopes::fit::Line;

/// A value measured at several sizes, with the fitted line.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Series {
    /// Name of the series in the page and the results.
    pub name: String,
    /// What was measured, and how.
    pub what: String,
    /// The size that varies.
    pub x: String,
    /// Unit of the measured value.
    pub unit: String,
    /// Pairs of a size and the value measured at it.
    pub points: Vec<(f64, f64)>,
    /// The line fitted to the points.
    pub line: Line,
}

impl Series {
    /// Creates a series and fits its line.
    pub fn new(name: &str, what: &str, x: &str, unit: &str, points: Vec<(f64, f64)>) -> Self {
        let line = Line::through(&points);
        Self {
            name: name.to_owned(),
            what: what.to_owned(),
            x: x.to_owned(),
            unit: unit.to_owned(),
            points,
            line,
        }
    }
}

/// The committed results of a run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Results {
    /// The command that produced the results.
    pub command: String,
    /// Number of cores of the machine.
    pub cores: usize,
    /// All series.
    pub series: Vec<Series>,
}

impl Results {
    /// Returns the series called `name`.
    pub fn get(&self, name: &str) -> Option<&Series> {
        self.series.iter().find(|series| series.name == name)
    }
}
