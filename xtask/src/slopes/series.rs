use serde::Deserialize;
use serde::Serialize;

use crate::slopes::fit::Line;

/// What was measured at rising sizes, and the line through it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Series {
    /// Names the series in the page.
    pub name: String,
    /// What was measured, and how.
    pub what: String,
    /// What rises.
    pub x: String,
    /// Unit of the measured value.
    pub unit: String,
    /// Sizes with measured values.
    pub points: Vec<(f64, f64)>,
    /// The line through the points.
    pub line: Line,
}

impl Series {
    /// Fits the line of a series.
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

/// The committed result of a run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Results {
    /// The command that made it.
    pub command: String,
    /// Cores of the machine.
    pub cores: usize,
    /// Every series.
    pub series: Vec<Series>,
}

impl Results {
    /// Returns a series by its name.
    pub fn get(&self, name: &str) -> Option<&Series> {
        self.series.iter().find(|series| series.name == name)
    }
}
