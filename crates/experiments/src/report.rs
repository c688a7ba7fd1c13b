//! Results: a table, a chart, the rules that were broken, and one JSON object.

use plotters::prelude::*;
use serde_json::Value;
use std::error::Error;
use std::fmt::Write;
use std::path::Path;

/// A line of a chart.
pub struct ChartSeries {
    pub name: String,
    pub points: Vec<(f64, f64)>,
}

/// A chart of lines over one axis.
pub struct Chart {
    pub title: String,
    pub x_label: String,
    pub y_label: String,
    pub series: Vec<ChartSeries>,
}

/// What an experiment has shown.
pub struct ExperimentReport {
    pub columns: Vec<&'static str>,
    pub rows: Vec<Vec<String>>,
    pub chart: Chart,
    /// Rules that were broken, each in a sentence.
    pub violations: Vec<String>,
    pub json: Value,
}

impl ExperimentReport {
    /// The table as Markdown.
    pub fn markdown(&self) -> String {
        let line = |cells: Vec<&str>| format!("| {} |\n", cells.join(" | "));
        let mut text = line(self.columns.clone()) + &line(vec!["---"; self.columns.len()]);
        for row in &self.rows {
            text += &line(row.iter().map(String::as_str).collect());
        }
        text
    }

    /// Writes `NAME.csv`, `NAME.md` and `NAME.svg`.
    pub fn write(&self, folder: &Path, name: &str) -> Result<(), Box<dyn Error>> {
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
    /// Draws it into an SVG file.
    pub fn draw(&self, path: &Path) -> Result<(), Box<dyn Error>> {
        let points = || self.series.iter().flat_map(|line| &line.points);
        let most = |values: &mut dyn Iterator<Item = f64>| values.fold(0.0, f64::max).max(1e-6);
        let (right, top) = (most(&mut points().map(|p| p.0)), most(&mut points().map(|p| p.1)) * 1.1);
        let left = points().map(|p| p.0).fold(right, f64::min);
        let area = SVGBackend::new(path, (900, 420)).into_drawing_area();
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
