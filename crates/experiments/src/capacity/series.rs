//! Series of measured points by quantity and setting, with a fitted line for each, and their output as a table, as
//! charts and as JSON.

use super::fit::{self, Fit, Point};
use crate::report::{Chart, ChartSeries};
use serde_json::{Value, json};

/// The kind of size that a quantity is measured against.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Size {
    /// Number of destinations listed.
    Listed,
    /// Number of messages waiting.
    Waiting,
}

impl Size {
    /// Returns the name in tables.
    pub fn name(self) -> &'static str {
        match self {
            Size::Listed => "destinations listed",
            Size::Waiting => "messages waiting",
        }
    }
}

/// A measured quantity and its unit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Quantity {
    /// Name in tables.
    pub name: &'static str,
    /// Unit of the value. The slope is in this unit per unit of the size.
    pub unit: &'static str,
}

/// The points of one quantity under one setting, at several sizes.
#[derive(Clone, Debug)]
pub struct Series {
    /// The measured quantity.
    pub quantity: Quantity,
    /// Conditions that are the same for all points.
    pub setting: String,
    /// Kind of size that is varied.
    pub size: Size,
    /// Size and value, in the order of measurement.
    pub points: Vec<Point>,
}

impl Series {
    /// Returns the line fitted to the points, or `None` if there are fewer than two different sizes.
    pub fn fit(&self) -> Option<Fit> {
        fit::line(&self.points)
    }

    /// Returns the lowest value that was measured at a size, or `None` if none was.
    pub fn lowest_at(&self, size: usize) -> Option<f64> {
        let at_size = self.points.iter().filter(|(x, _)| *x == size as f64);
        at_size.map(|(_, y)| *y).min_by(f64::total_cmp)
    }

    fn largest(&self) -> Option<Point> {
        self.points.iter().copied().max_by(|a, b| a.0.total_cmp(&b.0))
    }

    fn row(&self) -> Vec<String> {
        let cell = |value: Option<f64>| value.map_or_else(|| "-".to_owned(), four_digits);
        let (fit, largest) = (self.fit(), self.largest());
        vec![
            self.quantity.name.to_owned(),
            self.setting.clone(),
            format!("{} by {}", self.quantity.unit, self.size.name()),
            self.points.len().to_string(),
            cell(largest.map(|(x, _)| x)),
            cell(largest.map(|(_, y)| y)),
            cell(fit.map(|fit| fit.slope)),
            cell(fit.map(|fit| fit.intercept)),
            fit.map_or_else(|| "-".to_owned(), |fit| format!("{:.4}", fit.r_squared)),
            cell(fit.map(|fit| fit.residual)),
            fit::growth_exponent(&self.points).map_or_else(|| "-".to_owned(), |power| format!("{power:.2}")),
        ]
    }

    fn json(&self) -> Value {
        let fit = self.fit();
        json!({
            "quantity": self.quantity.name, "unit": self.quantity.unit, "setting": self.setting,
            "size": self.size.name(), "points": self.points, "slope": fit.map(|fit| fit.slope),
            "intercept": fit.map(|fit| fit.intercept), "r_squared": fit.map(|fit| fit.r_squared),
            "residual": fit.map(|fit| fit.residual), "exponent": fit::growth_exponent(&self.points),
        })
    }
}

/// Headings of the table.
pub const COLUMNS: [&str; 11] = [
    "quantity",
    "setting",
    "unit",
    "points",
    "largest size",
    "measured there",
    "slope",
    "intercept",
    "r²",
    "residual",
    "exponent",
];

/// All series of a run, in the order of their first points.
#[derive(Clone, Debug, Default)]
pub struct Measurements(Vec<Series>);

impl Measurements {
    /// Adds a point to the series of this quantity, setting and kind of size.
    pub fn add(&mut self, quantity: Quantity, setting: &str, size: Size, x: usize, value: f64) {
        let point = (x as f64, value);
        let known = |series: &&mut Series| {
            series.quantity == quantity && series.setting == setting && series.size == size
        };
        match self.0.iter_mut().find(known) {
            Some(series) => series.points.push(point),
            None => {
                let setting = setting.to_owned();
                self.0.push(Series { quantity, setting, size, points: vec![point] });
            }
        }
    }

    /// Returns all series of a quantity.
    pub fn of(&self, quantity: Quantity) -> impl Iterator<Item = &Series> {
        self.0.iter().filter(move |series| series.quantity == quantity)
    }

    /// Returns the lowest value of a quantity at a size, over all settings, or `None` if there is none.
    pub fn lowest(&self, quantity: Quantity, size: usize) -> Option<f64> {
        self.of(quantity).filter_map(|series| series.lowest_at(size)).min_by(f64::total_cmp)
    }

    /// Returns one table row per series, with the columns [`COLUMNS`].
    pub fn rows(&self) -> Vec<Vec<String>> {
        self.0.iter().map(Series::row).collect()
    }

    /// Returns every point as CSV.
    pub fn points_csv(&self) -> String {
        let mut text = "quantity,unit,setting,size,at,value\n".to_owned();
        for series in &self.0 {
            let Quantity { name, unit } = series.quantity;
            for (x, y) in &series.points {
                text += &format!("{name},{unit},{},{},{x},{y}\n", series.setting, series.size.name());
            }
        }
        text
    }

    /// Returns a chart of a quantity with the points and the fitted line of each setting.
    pub fn chart(&self, quantity: Quantity) -> Chart {
        let size = self.of(quantity).next().map_or(Size::Listed, |series| series.size);
        let mut lines = Vec::new();
        for series in self.of(quantity) {
            let mut points = series.points.clone();
            points.sort_by(|a, b| a.0.total_cmp(&b.0));
            if let Some(fit) = series.fit() {
                let ends = [points.first(), points.last()].into_iter().flatten();
                let points = ends.map(|(x, _)| (*x, fit.at(*x).max(0.0))).collect();
                let name = format!("{}: line, r² {:.3}", series.setting, fit.r_squared);
                lines.push(ChartSeries { name, points });
            }
            lines.push(ChartSeries { name: format!("{}: measured", series.setting), points });
        }
        let (title, y) = (quantity.name.to_owned(), quantity.unit.to_owned());
        Chart { title, x_label: size.name().to_owned(), y_label: y, series: lines }
    }

    /// Returns all series as JSON.
    pub fn json(&self) -> Value {
        self.0.iter().map(Series::json).collect()
    }
}

/// Formats a value with four significant digits. Values whose magnitude is below 0.001 have an exponent, but those
/// below 1e-12 are written as 0.
pub fn four_digits(value: f64) -> String {
    let digits = match value.abs() {
        zero if zero < 1e-12 => 0,
        size if size < 1e-3 => return format!("{value:.3e}"),
        size => (3 - size.log10().floor() as i32).max(0) as usize,
    };
    format!("{value:.digits$}")
}
