use serde::Deserialize;
use serde::Serialize;

/// A straight line fitted by least squares.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// Increase of y per unit of x.
    pub slope: f64,
    /// Value of y at x = 0.
    pub intercept: f64,
    /// Standard error of the slope; 0 for two points.
    pub slope_error: f64,
}

impl Line {
    /// Fits a line to points; fewer than two different values of x give a horizontal line.
    pub fn through(points: &[(f64, f64)]) -> Self {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|p| p.0).sum::<f64>() / count;
        let mean_y = points.iter().map(|p| p.1).sum::<f64>() / count;
        let sum_xx: f64 = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
        if points.len() < 2 || sum_xx == 0.0 {
            return Self { slope: 0.0, intercept: mean_y, slope_error: 0.0 };
        }
        let sum_xy: f64 = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum();
        let slope = sum_xy / sum_xx;
        let intercept = mean_y - slope * mean_x;
        let residual: f64 = points.iter().map(|p| (p.1 - intercept - slope * p.0).powi(2)).sum();
        let degrees_of_freedom = (count - 2.0).max(1.0);
        Self { slope, intercept, slope_error: (residual / degrees_of_freedom / sum_xx).sqrt() }
    }

    /// Returns y at `x`.
    pub fn at(self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }
}
