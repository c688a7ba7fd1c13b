//! Linear regression of measured points, by ordinary least squares.

/// A measured point: the size that was set (x) and the value that was measured (y).
pub type Point = (f64, f64);

/// A fitted line, and the quality of the fit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit {
    /// Growth of the measured value per unit of the size.
    pub slope: f64,
    /// Value of the line at size 0.
    pub intercept: f64,
    /// Share of the variance that the line explains: 1 if all points lie on it. It is also 1 if all values are equal,
    /// because the horizontal line then passes through every point.
    pub r_squared: f64,
    /// Root mean square of the vertical distances from the line, in the unit of the value.
    pub residual: f64,
    /// Number of points that the line was fitted to.
    pub points: usize,
}

impl Fit {
    /// Returns the value of the line at `x`.
    pub fn at(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }
}

/// Fits a line to the points. Returns `None` if there are fewer than two different x values.
pub fn line(points: &[Point]) -> Option<Fit> {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let sum_xx = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum::<f64>();
    if points.len() < 2 || sum_xx <= 0.0 {
        return None;
    }
    let sum_xy = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum::<f64>();
    let slope = sum_xy / sum_xx;
    let intercept = mean_y - slope * mean_x;
    let residual_sum = points.iter().map(|(x, y)| (y - intercept - slope * x).powi(2)).sum::<f64>();
    let total_sum = points.iter().map(|(_, y)| (y - mean_y).powi(2)).sum::<f64>();
    let r_squared = if total_sum > 0.0 { 1.0 - residual_sum / total_sum } else { 1.0 };
    Some(Fit { slope, intercept, r_squared, residual: (residual_sum / count).sqrt(), points: points.len() })
}

/// Returns the exponent with which the value grows: 1 for linear growth, 2 for quadratic growth, 0 for no growth. It is
/// the slope of the line through the logarithms. Points that are not positive have no logarithm and are left out.
/// Returns `None` if fewer than two different x values remain.
pub fn growth_exponent(points: &[Point]) -> Option<f64> {
    let positive = points.iter().filter(|(x, y)| *x > 0.0 && *y > 0.0);
    let logarithms: Vec<Point> = positive.map(|(x, y)| (x.ln(), y.ln())).collect();
    Some(line(&logarithms)?.slope)
}
