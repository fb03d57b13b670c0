//! Linear regression over measured points.

/// A fitted line: a value as a linear function of the number of nodes.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize)]
pub struct Line {
    /// The value at zero nodes.
    pub intercept: f64,
    /// The change of the value for each additional node.
    pub slope: f64,
}

impl Line {
    /// Fits a line to (nodes, value) points by least squares; `None` without points at two different
    /// numbers of nodes.
    pub fn fit(points: &[(f64, f64)]) -> Option<Self> {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let spread: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        if points.len() < 2 || spread <= 0.0 {
            return None;
        }
        let products = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y));
        let slope = products.sum::<f64>() / spread;
        Some(Self {
            intercept: mean_y - slope * mean_x,
            slope,
        })
    }

    /// Returns the value at `x` nodes.
    pub fn at(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }
}
