//! `shutdown-requests`: clients use their connections until a forwarder ends, with requests that arrive in parts around
//! that moment, amid stalls and further signals. Each request and each message is checked by the rules on lost and
//! repeated messages, and each shutdown by the time that it may take.
//!
//! `shutdown-requests` draws each run from its seed. `shutdown-stalls` stops the process at each moment of the last part
//! of its shutdown.

use crate::error::ExperimentError;
use crate::options::RunOptions;
use crate::report::{Chart, ChartSeries, ExperimentReport};
use orchidyoke_fakes::shutdown_requests::{ShutdownReport, ShutdownScenario, Stall};
use serde_json::json;
use std::ops::RangeInclusive;
use std::path::Path;
use std::thread;
use std::time::Duration;

/// Runs of `shutdown-requests` side by side.
const PARALLEL_RUNS: usize = 4;
/// Runs of `shutdown-stalls` side by side.
const PARALLEL_STALLS: usize = 10;
/// When stalls begin, in milliseconds after SIGTERM, and the interval between two of them.
const STALLS_BEGIN_MS: RangeInclusive<u64> = 3_200..=3_550;
const STALL_INTERVAL_MS: usize = 10;
/// Lengths of a stall, in milliseconds.
const STALL_LENGTHS_MS: [u64; 3] = [50, 100, 150];
/// The stall under sabotage, over the end of the grace period.
const SABOTAGE_STALL: Stall = Stall { at: Duration::from_millis(3_400), length: Duration::from_millis(400) };

type Run = (ShutdownScenario, ShutdownReport);

/// Runs a scenario for each seed. Under sabotage each process is stopped until its time is over, and every run must
/// report that.
pub fn run(options: &RunOptions) -> Result<ExperimentReport, ExperimentError> {
    let seeds = options.seed..options.seed + options.seeds;
    run_all(options, seeds.map(ShutdownScenario::draw).collect(), PARALLEL_RUNS)
}

/// Runs a scenario for each stall. Under sabotage as [`run`].
pub fn run_stalls(options: &RunOptions) -> Result<ExperimentReport, ExperimentError> {
    let mut scenarios = Vec::new();
    for at_ms in STALLS_BEGIN_MS.step_by(STALL_INTERVAL_MS) {
        for length_ms in STALL_LENGTHS_MS {
            let stall = Stall { at: Duration::from_millis(at_ms), length: Duration::from_millis(length_ms) };
            let seed = options.seed + scenarios.len() as u64;
            scenarios.push(ShutdownScenario { stall: Some(stall), ..ShutdownScenario::new(seed) });
        }
    }
    run_all(options, scenarios, PARALLEL_STALLS)
}

fn run_all(
    options: &RunOptions,
    mut scenarios: Vec<ShutdownScenario>,
    parallel_runs: usize,
) -> Result<ExperimentReport, ExperimentError> {
    if options.sabotage {
        scenarios.iter_mut().for_each(|scenario| scenario.stall = Some(SABOTAGE_STALL));
    }
    let program = options.program()?;
    let mut runs = Vec::new();
    for batch in scenarios.chunks(parallel_runs) {
        runs.extend(run_batch(&program, batch)?);
        eprintln!("shutdown-requests: {} of {} runs done", runs.len(), scenarios.len());
    }
    Ok(report(&runs))
}

fn run_batch(program: &Path, scenarios: &[ShutdownScenario]) -> Result<Vec<Run>, ExperimentError> {
    thread::scope(|scope| {
        let runs: Vec<_> = scenarios
            .iter()
            .map(|scenario| {
                let name = format!("shutdown-{}", scenario.seed);
                scope.spawn(move || (scenario.clone(), scenario.run(program, &name)))
            })
            .collect();
        let results = runs.into_iter().map(thread::ScopedJoinHandle::join);
        results.collect::<Result<_, _>>().map_err(|_| ExperimentError::ThreadPanicked("a run"))
    })
}

fn report(runs: &[Run]) -> ExperimentReport {
    let violations = runs.iter().flat_map(|(scenario, report)| {
        let found = report.violations().into_iter();
        found.map(|violation| format!("seed {}: {violation}; log {:?}", scenario.seed, report.log))
    });
    let violations: Vec<_> = violations.collect();
    let total =
        |count: fn(&ShutdownReport) -> usize| runs.iter().map(|(_, report)| count(report)).sum::<usize>();
    let points =
        runs.iter().map(|(scenario, report)| (scenario.seed as f64, milliseconds(report.ended_after)));
    ExperimentReport {
        columns: vec![
            "seed",
            "kind",
            "clients",
            "last bytes ms",
            "stall",
            "signals",
            "tick us",
            "requests",
            "statuses",
            "whole late",
            "202 late",
            "crossed",
            "closed in progress",
            "lost",
            "sent not accepted",
            "unfinished",
            "sent again",
            "ended ms",
        ],
        rows: runs.iter().map(row).collect(),
        chart: Chart {
            title: "time from SIGTERM to the end".to_owned(),
            x_label: "seed".to_owned(),
            y_label: "ms".to_owned(),
            series: vec![ChartSeries { name: "runs".to_owned(), points: points.collect() }],
        },
        json: json!({
            "experiment": "shutdown-requests",
            "runs": runs.len(),
            "requests": total(|report| report.requests),
            "accepted": total(|report| report.status_count(202)),
            "whole_late": total(|report| report.complete_late),
            "accepted_late": total(|report| report.accepted_late),
            "refused": total(|report| report.status_count(503)),
            "crossed": total(|report| report.crossed),
            "closed_in_progress": total(|report| report.closed_in_progress),
            "lost": total(|report| report.lost.len()),
            "violations": violations.len(),
        }),
        violations,
    }
}

fn milliseconds(time: Duration) -> f64 {
    time.as_secs_f64() * 1e3
}

fn row((scenario, report): &Run) -> Vec<String> {
    let stall = scenario.stall.map(|stall| format!("{:?} at {:?}", stall.length, stall.at));
    let signals = scenario.signals.iter().map(|signal| format!("{} at {:?}", signal.name, signal.at));
    vec![
        scenario.seed.to_string(),
        format!("{:?}", scenario.kind),
        scenario.clients.to_string(),
        format!("{:?}", scenario.last_bytes_ms),
        stall.unwrap_or_default(),
        signals.collect::<Vec<_>>().join(" "),
        scenario.tick_us.to_string(),
        report.requests.to_string(),
        format!("{:?}", report.statuses).replace(',', ""),
        report.complete_late.to_string(),
        report.accepted_late.to_string(),
        report.crossed.to_string(),
        report.closed_in_progress.to_string(),
        report.lost.len().to_string(),
        report.sent_unaccepted.len().to_string(),
        report.unfinished.len().to_string(),
        report.sent_again.len().to_string(),
        format!("{:.0}", milliseconds(report.ended_after)),
    ]
}
