use serde::Deserialize;
use serde::Serialize;

/// A line through points, by least squares.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// Rise of y for each x.
    pub slope: f64,
    /// Value of y where x is zero.
    pub intercept: f64,
    /// Standard error of the slope; 0 for two points.
    pub slope_error: f64,
}

impl Line {
    /// Fits a line; fewer than two different x give a flat one.
    pub fn through(points: &[(f64, f64)]) -> Self {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|p| p.0).sum::<f64>() / count;
        let mean_y = points.iter().map(|p| p.1).sum::<f64>() / count;
        let spread: f64 = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
        if points.len() < 2 || spread == 0.0 {
            return Self { slope: 0.0, intercept: mean_y, slope_error: 0.0 };
        }
        let joint: f64 = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum();
        let slope = joint / spread;
        let intercept = mean_y - slope * mean_x;
        let rest: f64 = points.iter().map(|p| (p.1 - intercept - slope * p.0).powi(2)).sum();
        let freedom = (count - 2.0).max(1.0);
        Self { slope, intercept, slope_error: (rest / freedom / spread).sqrt() }
    }

    /// Returns y at `x`.
    pub fn at(self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }
}
