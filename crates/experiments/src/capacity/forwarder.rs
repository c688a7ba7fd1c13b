//! `capacity-forwarder`: measures the cost of one forwarder by the number of destinations listed and of messages
//! waiting. It fits lines to the measured points and checks the aims for 100,000 destinations.

mod aims;
mod listed;
mod plan;
mod quantities;
mod ratio;
mod rig;
mod waiting;

use crate::capacity::series::{COLUMNS, Quantity};
use crate::options::RunOptions;
use crate::report::ExperimentReport;
use aims::{Aim, OtherResults};
use plan::Plan;
use ratio::Case;
use rig::Rig;
use serde_json::{Value, json};
use std::path::Path;

/// Quantities that get a chart of their own beside the main one, with the file name's suffix.
const CHARTS: [(&str, Quantity); 4] = [
    ("ready", quantities::READY),
    ("resident", quantities::RESIDENT),
    ("waiting-resident", quantities::WAITING_RESIDENT),
    ("waiting-ready", quantities::WAITING_READY),
];

/// Runs the measurements and checks the aims. Under sabotage the forwarder reloads its configuration with the list
/// before every message, so that the cost of a message grows with the list, and only the ratio of costs is measured.
pub fn run(run: &RunOptions) -> Result<ExperimentReport, String> {
    let plan = if run.quick { Plan::quick() } else { Plan::full() };
    let mut rig = Rig::new(run, plan)?;
    let mut other_results = OtherResults::default();
    if !run.sabotage {
        other_results.not_run.extend(listed::measure(&mut rig)?);
        other_results.not_run.extend(waiting::measure_accepting(&mut rig)?);
        other_results.not_run.extend(waiting::measure_starts(&mut rig)?);
    }
    other_results.share_down = ratio::measure(&mut rig, Case::PartDown)?;
    if !run.sabotage {
        other_results.all_down = ratio::measure(&mut rig, Case::AllDown)?;
    }
    let aims = aims::all(&rig, &other_results);
    let report = report(&rig, &other_results, &aims);
    if let Some(folder) = &run.out {
        write_points_and_charts(&rig, folder).map_err(|error| format!("{}: {error}", folder.display()))?;
    }
    aims.iter().for_each(|aim| println!("{aim}"));
    Ok(report)
}

fn report(rig: &Rig, other_results: &OtherResults, aims: &[Aim]) -> ExperimentReport {
    let missed = aims.iter().filter(|aim| !aim.is_held()).map(ToString::to_string);
    let highest = rig.guard.highest();
    ExperimentReport {
        columns: COLUMNS.to_vec(),
        rows: rig.measurements.rows(),
        chart: rig.measurements.chart(quantities::MESSAGE),
        violations: missed.chain(other_results.not_run.iter().cloned()).collect(),
        json: json!({
            "experiment": "capacity-forwarder", "seed": rig.seed, "quick": rig.quick, "sabotage": rig.sabotage,
            "aims": aims.iter().map(Aim::json).collect::<Value>(),
            "unplayed": other_results.not_run, "series": rig.measurements.json(),
            "highest": {"resident_mib": highest.resident >> 20, "processes": highest.processes,
                "descriptors": highest.descriptors},
        }),
    }
}

/// Writes a CSV file with every point, and one chart for each quantity in [`CHARTS`].
fn write_points_and_charts(rig: &Rig, folder: &Path) -> Result<(), Box<dyn std::error::Error + Send + Sync>> {
    std::fs::create_dir_all(folder)?;
    std::fs::write(folder.join("capacity-forwarder-points.csv"), rig.measurements.points_csv())?;
    for (name, quantity) in CHARTS {
        let chart = rig.measurements.chart(quantity);
        if !chart.series.is_empty() {
            chart.draw(&folder.join(format!("capacity-forwarder-{name}.svg")))?;
        }
    }
    Ok(())
}
