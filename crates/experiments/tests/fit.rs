//! Tests of the linear regression: an exact line for points on a line, and a lower R² for points beside it.

#[path = "../src/capacity/fit.rs"]
mod fit;

use fit::{Point, growth_exponent, line};

const SIZES: [f64; 5] = [1e3, 3e3, 1e4, 3e4, 1e5];

fn points(of: impl Fn(f64) -> f64) -> Vec<Point> {
    SIZES.iter().map(|size| (*size, of(*size))).collect()
}

fn nearly_equal(left: f64, right: f64) -> bool {
    (left - right).abs() <= 1e-6 * right.abs().max(1.0)
}

// Guards against a fit that is wrong for some intercepts or for negative slopes or intercepts.
#[test]
fn points_on_a_line_fit_that_line() {
    for (slope, intercept) in [(0.002, 7.0), (-3.0, 1e6), (1600.0, -5.0), (0.0, 4.0)] {
        let fit = line(&points(|x| intercept + slope * x)).expect("a line through five points");
        assert!(nearly_equal(fit.slope, slope) && nearly_equal(fit.intercept, intercept), "{fit:?}");
        assert!(nearly_equal(fit.r_squared, 1.0) && fit.points == SIZES.len(), "{fit:?}");
        assert!(fit.residual < 1e-6 * fit.at(1e5).abs().max(1.0), "{fit:?}");
    }
}

// Guards against an R² that does not show the distance from the line. The expected values were computed by hand, for
// x = 0 to 3 and y = 0, 2, 1, 3.
#[test]
fn points_beside_a_line_lower_r_squared() {
    let fit = line(&[(0.0, 0.0), (1.0, 2.0), (2.0, 1.0), (3.0, 3.0)]).expect("a line");
    assert!(nearly_equal(fit.slope, 0.8) && nearly_equal(fit.intercept, 0.3), "{fit:?}");
    assert!(nearly_equal(fit.r_squared, 0.64) && nearly_equal(fit.residual, 0.45f64.sqrt()), "{fit:?}");
}

// Guards against quadratic growth that is reported as linear.
#[test]
fn growth_exponent_separates_quadratic_from_linear() {
    let exponent = |of: fn(f64) -> f64| growth_exponent(&points(of)).expect("an exponent");
    assert!(nearly_equal(exponent(|x| 5.0 * x), 1.0));
    assert!(nearly_equal(exponent(|x| 1e-7 * x * x), 2.0));
    assert!(nearly_equal(exponent(|_| 3.0), 0.0));
}

// Guards against a line fitted to points that all have the same x value.
#[test]
fn points_at_one_x_have_no_line() {
    assert_eq!(line(&[]), None);
    assert_eq!(line(&[(5.0, 1.0)]), None);
    assert_eq!(line(&[(5.0, 1.0), (5.0, 2.0)]), None);
    assert_eq!(growth_exponent(&[(0.0, 1.0), (5.0, 2.0), (6.0, -1.0)]), None);
}
