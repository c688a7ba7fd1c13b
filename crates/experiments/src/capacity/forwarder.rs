//! `capacity-forwarder`: measures the cost of one forwarder by the number of destinations listed and of messages
//! waiting. It fits lines to the measured points and checks the targets for 100,000 destinations.

mod fixture;
mod listed;
mod plan;
mod quantities;
mod ratio;
mod targets;
mod waiting;

use crate::capacity::series::{COLUMNS, Quantity};
use crate::options::RunOptions;
use crate::report::ExperimentReport;
use fixture::Fixture;
use plan::Plan;
use ratio::Case;
use serde_json::{Value, json};
use std::path::Path;
use targets::{OtherResults, Target};

/// Quantities that get a chart of their own beside the main one, with the file name's suffix.
const CHARTS: [(&str, Quantity); 4] = [
    ("ready", quantities::READY),
    ("resident", quantities::RESIDENT),
    ("waiting-resident", quantities::WAITING_RESIDENT),
    ("waiting-ready", quantities::WAITING_READY),
];

/// Runs the measurements and checks the targets. Under sabotage the forwarder reloads its configuration with the list
/// before every message, so that the cost of a message grows with the list, and only the ratio of costs is measured.
pub fn run(run: &RunOptions) -> Result<ExperimentReport, String> {
    let plan = if run.quick { Plan::quick() } else { Plan::full() };
    let mut fixture = Fixture::new(run, plan)?;
    let mut other_results = OtherResults::default();
    if !run.sabotage {
        other_results.not_run.extend(listed::measure(&mut fixture)?);
        other_results.not_run.extend(waiting::measure_accepting(&mut fixture)?);
        other_results.not_run.extend(waiting::measure_starts(&mut fixture)?);
    }
    other_results.part_down = ratio::measure(&mut fixture, Case::PartDown)?;
    if !run.sabotage {
        other_results.all_down = ratio::measure(&mut fixture, Case::AllDown)?;
    }
    let targets = targets::all(&fixture, &other_results);
    let report = report(&fixture, &other_results, &targets);
    if let Some(folder) = &run.out {
        write_points_and_charts(&fixture, folder)
            .map_err(|error| format!("{}: {error}", folder.display()))?;
    }
    targets.iter().for_each(|target| println!("{target}"));
    Ok(report)
}

fn report(fixture: &Fixture, other_results: &OtherResults, targets: &[Target]) -> ExperimentReport {
    let missed = targets.iter().filter(|target| !target.is_met()).map(ToString::to_string);
    let highest = fixture.guard.highest();
    ExperimentReport {
        columns: COLUMNS.to_vec(),
        rows: fixture.measurements.rows(),
        chart: fixture.measurements.chart(quantities::MESSAGE),
        violations: missed.chain(other_results.not_run.iter().cloned()).collect(),
        json: json!({
            "experiment": "capacity-forwarder", "seed": fixture.seed, "quick": fixture.quick,
            "sabotage": fixture.sabotage,
            "aims": targets.iter().map(Target::json).collect::<Value>(),
            "unplayed": other_results.not_run, "series": fixture.measurements.json(),
            "highest": {"resident_mib": highest.resident >> 20, "processes": highest.processes,
                "descriptors": highest.descriptors},
        }),
    }
}

/// Writes a CSV file with every point, and one chart for each quantity in [`CHARTS`].
fn write_points_and_charts(
    fixture: &Fixture,
    folder: &Path,
) -> Result<(), Box<dyn std::error::Error + Send + Sync>> {
    std::fs::create_dir_all(folder)?;
    std::fs::write(folder.join("capacity-forwarder-points.csv"), fixture.measurements.points_csv())?;
    for (name, quantity) in CHARTS {
        let chart = fixture.measurements.chart(quantity);
        if !chart.series.is_empty() {
            chart.draw(&folder.join(format!("capacity-forwarder-{name}.svg")))?;
        }
    }
    Ok(())
}
