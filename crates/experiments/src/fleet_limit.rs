//! `fleet-limit`: a hundred forwarders that send to one destination with a rate limit and do not communicate with each
//! other, on a virtual clock. The experiment shows behaviour that is harmless for one forwarder and harmful for a
//! fleet, in seconds and without processes.

mod scenarios;
mod virtual_fleet;

use crate::error::ExperimentError;
use crate::options::RunOptions;
use crate::report::{Chart, ChartSeries, ExperimentReport};
use orchidyoke_core::interface::{Micros, Outcome, Settings};
use scenarios::{
    FORWARDERS, OVERLOAD_LENGTH, calls_of_first_second, cold_recovery, common_retry_after, overload, rate_of,
};
use serde_json::json;
use virtual_fleet::{SECOND, settings};

/// Rate of accepted messages in an overload, as a multiple of the destination's limit.
const OVERLOAD_FACTOR: f64 = 1.3;

/// A measured value of a fleet, with its limit.
struct Case {
    /// Label of the row.
    label: &'static str,
    limit: f64,
    /// Measures the value with these settings and this seed.
    measure: fn(&Settings, u64) -> f64,
}

const CASES: [Case; 8] = [
    Case {
        label: "refused a second, of 52 to a limit of 40",
        limit: 8.0,
        measure: |settings, seed| rate_of(&overload(settings, OVERLOAD_FACTOR, seed), Outcome::Rejected),
    },
    Case {
        label: "calls in the first second after a start, two messages each, limit 40",
        limit: 64.0,
        measure: |settings, seed| calls_of_first_second(settings, 0, |number| seed * 1000 + number) as f64,
    },
    Case {
        label: "calls in the first 40 ms after a told wait",
        limit: 35.0,
        measure: |settings, seed| {
            let settings = Settings { max_calls: 8, ..settings.clone() };
            common_retry_after(FORWARDERS, &settings, seed).at_end as f64
        },
    },
    Case {
        label: "part of the cold budget used, 5 s without an answer",
        limit: 1.0,
        measure: |settings, seed| cold_recovery(settings, Outcome::ConnectFailed, 5 * SECOND, seed).peak_use,
    },
    Case {
        label: "the same after 12 s",
        limit: 1.0,
        measure: |settings, seed| cold_recovery(settings, Outcome::ConnectFailed, 12 * SECOND, seed).peak_use,
    },
    Case {
        label: "the same, 5 s of errors",
        limit: 1.0,
        measure: |settings, seed| cold_recovery(settings, Outcome::Error, 5 * SECOND, seed).peak_use,
    },
    Case {
        label: "the same, 5 s of refusals",
        limit: 1.0,
        measure: |settings, seed| cold_recovery(settings, Outcome::Rejected, 5 * SECOND, seed).peak_use,
    },
    Case {
        label: "the same, 15 s of refusals",
        limit: 1.0,
        measure: |settings, seed| cold_recovery(settings, Outcome::Rejected, 15 * SECOND, seed).peak_use,
    },
];

/// The values of a case over all seeds.
struct OverSeeds {
    mean: f64,
    worst: f64,
}

/// Runs the experiment. Under sabotage the settings of each forwarder say that the fleet has only one.
pub fn run(options: &RunOptions) -> Result<ExperimentReport, ExperimentError> {
    let fleet = settings(if options.sabotage { 1 } else { FORWARDERS });
    let alone = settings(1);
    let seeds: Vec<u64> = (options.seed..options.seed + options.seeds.max(1)).collect();
    let mut rows = Vec::new();
    let mut violations = Vec::new();
    for case in &CASES {
        let OverSeeds { mean, worst } = measure(case, &fleet, &seeds)?;
        let mean_alone = measure(case, &alone, &seeds)?.mean;
        let mut row = vec![case.label.to_owned()];
        row.extend([mean, worst, case.limit, mean_alone].map(|figure| format!("{figure:.2}")));
        rows.push(row);
        if worst > case.limit {
            violations.push(format!("{}: {worst:.2}, {} at most", case.label, case.limit));
        }
    }
    let mut series = overload_series("a hundred that know it", &fleet, options.seed);
    series.extend(overload_series("each for itself", &alone, options.seed));
    Ok(ExperimentReport {
        columns: vec!["what", "mean", "worst seed", "at most", "mean, each for itself"],
        rows,
        chart: Chart {
            title: "Calls each second to a limit of 40, asked for 52".to_owned(),
            x_label: "s".to_owned(),
            y_label: "calls a second".to_owned(),
            series,
        },
        json: json!({"experiment": "fleet-limit", "seed": options.seed, "seeds": options.seeds,
            "broken": violations.len(), "sabotage": options.sabotage}),
        violations,
    })
}

/// Measures a case with all seeds, each on its own thread.
fn measure(case: &Case, settings: &Settings, seeds: &[u64]) -> Result<OverSeeds, ExperimentError> {
    let figures = std::thread::scope(|threads| {
        let started: Vec<_> =
            seeds.iter().map(|seed| threads.spawn(move || (case.measure)(settings, *seed))).collect();
        started.into_iter().map(|thread| thread.join()).collect::<Result<Vec<f64>, _>>()
    });
    let figures = figures.map_err(|_| ExperimentError::ThreadPanicked("a fleet"))?;
    Ok(OverSeeds {
        mean: figures.iter().sum::<f64>() / figures.len() as f64,
        worst: figures.into_iter().fold(0.0, f64::max),
    })
}

/// Returns the calls sent and the calls served in each second of an overload.
fn overload_series(name: &str, settings: &Settings, seed: u64) -> Vec<ChartSeries> {
    let fleet = overload(settings, OVERLOAD_FACTOR, seed);
    let sent: Vec<Micros> = fleet.calls.iter().map(|call| call.at).collect();
    let served = fleet.ended.iter().filter(|call| call.outcome == Outcome::Success);
    let served: Vec<Micros> = served.map(|call| call.at).collect();
    vec![
        ChartSeries::per_second(&format!("sent, {name}"), &counts_per_second(&sent)),
        ChartSeries::per_second(&format!("served, {name}"), &counts_per_second(&served)),
    ]
}

/// Counts the moments in each second of an overload. An overload begins one second after the clock's zero.
fn counts_per_second(moments: &[Micros]) -> Vec<f64> {
    let count = |second| moments.iter().filter(|at| (**at - SECOND) / SECOND == second).count() as f64;
    (0..OVERLOAD_LENGTH / SECOND).map(count).collect()
}

#[cfg(test)]
mod tests;
