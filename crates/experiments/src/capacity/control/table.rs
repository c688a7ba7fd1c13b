//! The table, the chart and the JSON line of the experiment `capacity-control`.

use super::load::Quantity;
use super::scenario::{Growth, Row};
use crate::options::RunOptions;
use crate::report::{Chart, ChartSeries, ExperimentReport};
use serde_json::{Value, json};

/// A fleet size with the name of its column.
#[derive(Clone, Copy, Debug)]
pub struct FleetSize {
    /// Number of forwarders.
    pub members: usize,
    /// Heading of the column.
    pub column: &'static str,
}

/// Returns the report of the experiment.
pub fn report(
    run: &RunOptions,
    sizes: &[FleetSize],
    rows: &[Row],
    broken_rules: Vec<String>,
) -> ExperimentReport {
    ExperimentReport {
        columns: columns(sizes),
        rows: rows.iter().map(|row| cells(sizes, row)).collect(),
        chart: chart(rows),
        json: json!({
            "experiment": "capacity-control",
            "seed": run.seed,
            "sabotage": run.sabotage,
            "sizes": sizes.iter().map(|size| size.members).collect::<Vec<_>>(),
            "missed": exceeded_budgets(rows),
            "broken": broken_rules.len(),
            "rows": rows.iter().map(row_json).collect::<Vec<_>>(),
        }),
        violations: broken_rules,
    }
}

fn columns(sizes: &[FleetSize]) -> Vec<&'static str> {
    let sizes = sizes.iter().map(|size| size.column);
    let before = ["scenario", "how", "what"].into_iter();
    let after = ["budget", "factor", "verdict", "grows with", "power", "slope", "at 0", "R²", "missed from"];
    before.chain(sizes).chain(after).collect()
}

fn cells(sizes: &[FleetSize], row: &Row) -> Vec<String> {
    let value = |size: &FleetSize| {
        let point = row.points.iter().find(|(members, _)| *members == size.members as f64);
        point.map_or("-".to_owned(), |(_, value)| three_digits(*value))
    };
    let optional = |value: Option<f64>| value.map_or("-".to_owned(), three_digits);
    let trend = row.trend();
    let scenario = row.scenario.replace(',', ";");
    let mut cells = vec![scenario, row.basis.label().to_owned(), row.quantity.replace(',', ";")];
    cells.extend(sizes.iter().map(value));
    cells.extend([
        optional(row.budget),
        optional(row.budget_factor()),
        verdict(row).to_owned(),
        trend.map_or("-", |trend| trend.growth.label()).to_owned(),
        optional(trend.and_then(|trend| trend.exponent)),
        optional(trend.map(|trend| trend.fit.slope)),
        optional(trend.map(|trend| trend.fit.intercept)),
        trend.map_or("-".to_owned(), |trend| format!("{:.3}", trend.fit.r_squared)),
        optional(row.exceeds_budget_from()),
    ]);
    cells
}

fn verdict(row: &Row) -> &'static str {
    match row.budget_factor() {
        None => "-",
        Some(budget_factor) if budget_factor > 1.0 => "missed",
        Some(_) => "held",
    }
}

/// Formats a value with three significant digits.
fn three_digits(value: f64) -> String {
    let digits = match value.abs() {
        0.0 => return "0".to_owned(),
        size => (2 - size.log10().floor() as i32).clamp(0, 6) as usize,
    };
    format!("{value:.digits$}")
}

/// Returns the budgets that the largest fleet exceeds, in descending order of the factor.
fn exceeded_budgets(rows: &[Row]) -> Vec<Value> {
    let mut exceeded_budgets: Vec<(&Row, f64)> = rows
        .iter()
        .filter_map(|row| Some((row, row.budget_factor().filter(|budget_factor| *budget_factor > 1.0)?)))
        .collect();
    exceeded_budgets.sort_by(|a, b| b.1.total_cmp(&a.1));
    let value = |(row, budget_factor): (&Row, f64)| {
        json!({"scenario": row.scenario, "what": row.quantity, "factor": budget_factor,
            "from": row.exceeds_budget_from()})
    };
    exceeded_budgets.into_iter().map(value).collect()
}

fn row_json(row: &Row) -> Value {
    let values = row.points.iter().map(|(members, value)| json!([members, value]));
    json!({"scenario": row.scenario, "what": row.quantity, "values": values.collect::<Vec<_>>()})
}

/// Returns a chart of the bytes per second and forwarder in the scenarios in which they grow with the fleet, with the
/// fitted lines.
fn chart(rows: &[Row]) -> Chart {
    let label = Quantity::Bytes.label();
    let mut lines = Vec::new();
    for row in rows.iter().filter(|row| row.quantity == label) {
        let Some(trend) = row.trend().filter(|trend| trend.growth != Growth::Level) else { continue };
        let kilobytes = |(members, bytes): (f64, f64)| (members, bytes / 1e3);
        let points = row.points.iter().copied().map(kilobytes).collect();
        lines.push(ChartSeries { name: row.scenario.clone(), points });
        let fitted = row.points.iter().map(|(members, _)| (*members, trend.at(*members))).map(kilobytes);
        let name = format!("fit with {}, R² {:.3}", trend.growth.label(), trend.fit.r_squared);
        lines.push(ChartSeries { name, points: fitted.collect() });
    }
    Chart {
        title: "Control of a forwarder; 6 KB a second is its budget".to_owned(),
        x_label: "forwarders in the fleet".to_owned(),
        y_label: "KB a second".to_owned(),
        series: lines,
    }
}
