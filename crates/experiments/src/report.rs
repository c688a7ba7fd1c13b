//! The report of an experiment: a table, a chart, the rules that were violated, and one JSON object.

use plotters::prelude::*;
use serde_json::Value;
use std::error::Error;
use std::fmt::Write;
use std::path::Path;

/// Size of a chart in pixels.
const CHART_SIZE: (u32, u32) = (900, 420);

/// A line of a chart.
pub struct ChartSeries {
    /// Name in the legend.
    pub name: String,
    /// Points as x and y.
    pub points: Vec<(f64, f64)>,
}

impl ChartSeries {
    /// Returns a series with one value per second, from second 0 on.
    pub fn per_second(name: &str, values: &[f64]) -> Self {
        let points = values.iter().enumerate().map(|(second, value)| (second as f64, *value));
        ChartSeries { name: name.to_owned(), points: points.collect() }
    }

    /// Returns the cumulative distribution of samples in ascending order, in percent.
    pub fn cumulative(name: String, sorted: &[f64]) -> Self {
        let percent = |number: usize| (number + 1) as f64 / sorted.len() as f64 * 100.0;
        let points = sorted.iter().enumerate().map(|(number, sample)| (*sample, percent(number)));
        ChartSeries { name, points: points.collect() }
    }
}

/// A line chart.
pub struct Chart {
    /// Caption above the chart.
    pub title: String,
    /// Label of the horizontal axis, with the unit.
    pub x_label: String,
    /// Label of the vertical axis, with the unit.
    pub y_label: String,
    /// Lines of the chart.
    pub series: Vec<ChartSeries>,
}

/// The results of an experiment.
pub struct ExperimentReport {
    /// Headings of the table.
    pub columns: Vec<&'static str>,
    /// Rows of the table, each with as many cells as there are columns.
    pub rows: Vec<Vec<String>>,
    /// Chart, written as an SVG file.
    pub chart: Chart,
    /// One sentence for each violated rule.
    pub violations: Vec<String>,
    /// JSON object for the last line of the output.
    pub json: Value,
}

impl ExperimentReport {
    /// Returns the table as Markdown.
    pub fn markdown(&self) -> String {
        let line = |cells: Vec<&str>| format!("| {} |\n", cells.join(" | "));
        let mut text = line(self.columns.clone()) + &line(vec!["---"; self.columns.len()]);
        for row in &self.rows {
            text += &line(row.iter().map(String::as_str).collect());
        }
        text
    }

    /// Writes `NAME.csv`, `NAME.md` and `NAME.svg` into the folder. Creates the folder if it is missing.
    pub fn write(&self, folder: &Path, name: &str) -> Result<(), Box<dyn Error + Send + Sync>> {
        std::fs::create_dir_all(folder)?;
        let mut csv = self.columns.join(",") + "\n";
        for row in &self.rows {
            writeln!(csv, "{}", row.join(","))?;
        }
        std::fs::write(folder.join(format!("{name}.csv")), csv)?;
        std::fs::write(folder.join(format!("{name}.md")), self.markdown())?;
        self.chart.draw(&folder.join(format!("{name}.svg")))
    }
}

impl Chart {
    /// Draws the chart into an SVG file.
    pub fn draw(&self, path: &Path) -> Result<(), Box<dyn Error + Send + Sync>> {
        let points = || self.series.iter().flat_map(|line| &line.points);
        let axis_end = |values: &mut dyn Iterator<Item = f64>| values.fold(0.0, f64::max).max(1e-6);
        let right = axis_end(&mut points().map(|point| point.0));
        // Leaves a tenth of the height above the highest point for the legend.
        let top = axis_end(&mut points().map(|point| point.1)) * 1.1;
        let left = points().map(|point| point.0).fold(right, f64::min);
        let area = SVGBackend::new(path, CHART_SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .caption(&self.title, ("sans-serif", 18))
            .margin(12)
            .x_label_area_size(40)
            .y_label_area_size(60)
            .build_cartesian_2d(left..right, 0.0..top)?;
        chart.configure_mesh().x_desc(&self.x_label).y_desc(&self.y_label).light_line_style(WHITE).draw()?;
        for (number, line) in self.series.iter().enumerate() {
            let color = Palette99::pick(number).to_rgba();
            chart
                .draw_series(LineSeries::new(line.points.iter().copied(), color.stroke_width(2)))?
                .label(&line.name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color.stroke_width(2)));
        }
        chart
            .configure_series_labels()
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK.mix(0.3))
            .draw()?;
        area.present()?;
        Ok(())
    }
}
