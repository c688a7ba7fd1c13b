//! Straight lines through measured points, by ordinary least squares.

/// A measured point: what was set, and what was measured.
pub type Point = (f64, f64);

/// A line through points, and how well it fits them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit {
    /// Growth of the measured quantity with each one more of what was set.
    pub slope: f64,
    /// The line's value at 0.
    pub intercept: f64,
    /// Part of the variance that the line explains: 1 where all points lie on it. It is 1 too where all points are
    /// level, for a level line misses none of them.
    pub r_squared: f64,
    /// Root of the mean square of the distances from the line, in the unit of what was measured.
    pub residual: f64,
    /// Points that it was fitted to.
    pub points: usize,
}

impl Fit {
    /// The line at a place.
    pub fn at(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }
}

/// Fits a line; none where there are fewer than two places to fit it to.
pub fn line(points: &[Point]) -> Option<Fit> {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let spread = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum::<f64>();
    if points.len() < 2 || spread <= 0.0 {
        return None;
    }
    let covered = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum::<f64>();
    let slope = covered / spread;
    let intercept = mean_y - slope * mean_x;
    let missed = points.iter().map(|(x, y)| (y - intercept - slope * x).powi(2)).sum::<f64>();
    let variance = points.iter().map(|(_, y)| (y - mean_y).powi(2)).sum::<f64>();
    let r_squared = if variance > 0.0 { 1.0 - missed / variance } else { 1.0 };
    Some(Fit { slope, intercept, r_squared, residual: (missed / count).sqrt(), points: points.len() })
}

/// The power with which the measured quantity grows: 1 where it is in proportion, 2 where it is by the square, 0 where
/// it does not grow. It is the slope of the line through the logarithms; points that have none are left out.
pub fn growth_exponent(points: &[Point]) -> Option<f64> {
    let positive = points.iter().filter(|(x, y)| *x > 0.0 && *y > 0.0);
    let logarithms: Vec<Point> = positive.map(|(x, y)| (x.ln(), y.ln())).collect();
    Some(line(&logarithms)?.slope)
}
