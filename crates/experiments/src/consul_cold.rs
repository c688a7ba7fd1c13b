//! `consul-cold`: a destination recovers cold, and Consul reports all its endpoints as healthy at the same moment.
//! Several seeds run in parallel, each on its own test bed.

use crate::error::ExperimentError;
use crate::load::{Load, LoadResult, poisson_plan};
use crate::options::RunOptions;
use crate::progress::Progress;
use crate::report::{Chart, ChartSeries, ExperimentReport};
use crate::statistics::counts_per_second;
use crate::test_bed::{DESTINATION, RunningForwarder, TestBed, consul_settings};
use orchidyoke_fakes::destination::{CapacityModel, Mode, OverloadBehavior};
use serde_json::json;
use std::time::{Duration, Instant};

const RUN_LENGTH: Duration = Duration::from_secs(26);
const OUTAGE_FROM: Duration = Duration::from_secs(4);
const RECOVERY_AT: Duration = Duration::from_secs(10);
/// Number of seconds after the recovery over which the table gives the maximum of calls in one second.
const EARLY_RECOVERY_S: usize = 4;
/// Calls per second that the destination serves when warm.
const CAPACITY_RPS: f64 = 400.0;
/// Messages per second that clients send to all forwarders of a test bed together.
const MESSAGE_RATE: f64 = 160.0;
const FORWARDERS: usize = 2;
const ENDPOINTS: usize = 3;
/// Limit on calls in flight. It is above what overloads the destination, so that the concurrency limit alone does not
/// protect the destination.
const MAX_IN_FLIGHT: usize = 512;

/// The test bed of one seed.
struct SeedRun {
    seed: u64,
    bed: TestBed,
    forwarders: Vec<RunningForwarder>,
}

/// The results of one seed.
struct SeedOutcome {
    seed: u64,
    submitted: usize,
    /// Times at which the destination collapsed, in seconds from the start.
    collapses_s: Vec<f64>,
    calls_per_second: Vec<f64>,
    delivered_after_recovery: usize,
    lost: usize,
    duplicated: usize,
}

/// Runs the experiment. Under sabotage the forwarders' settings say that no load overloads the destination and that it
/// is warm immediately.
pub fn run(options: &RunOptions) -> Result<ExperimentReport, ExperimentError> {
    let seeds = options.seed..options.seed + options.seeds.max(1);
    let runs = seeds.map(|seed| SeedRun::start(seed, options)).collect::<Result<Vec<_>, _>>()?;
    let start = Instant::now();
    let loads: Vec<Vec<Load>> = runs.iter().map(|run| run.start_loads(start)).collect();
    let capacity_per_second = run_outage(&runs, start);
    let mut outcomes = Vec::new();
    for (run, loads) in runs.iter().zip(loads) {
        let results = loads.into_iter().map(Load::join).collect::<Result<Vec<_>, _>>()?;
        outcomes.push(run.outcome(&results, start));
    }
    Ok(report(options, &outcomes, &capacity_per_second))
}

fn capacity_model() -> CapacityModel {
    CapacityModel {
        capacity_rps: CAPACITY_RPS,
        service_time: Duration::from_millis(20),
        // A queue sends no rejections, so the forwarders cannot learn the capacity from them.
        overload_behavior: OverloadBehavior::Queue,
        ..CapacityModel::default()
    }
}

impl SeedRun {
    fn start(seed: u64, options: &RunOptions) -> Result<Self, ExperimentError> {
        let program = options.program()?;
        let bed = TestBed::new(&format!("cold-{seed}"), capacity_model());
        bed.register_endpoints(ENDPOINTS);
        let mut config = bed.config();
        config.fleet_size = FORWARDERS;
        config.max_in_flight = MAX_IN_FLIGHT;
        let mut config = config.text();
        if options.sabotage {
            config = config.replace("\"fall_multiple\":2", "\"fall_multiple\":1000000");
            config = config.replace("\"cold_from\":0.18", "\"cold_from\":1.0");
        }
        let settings = consul_settings(bed.consul.address(), CAPACITY_RPS);
        let forwarders: Vec<RunningForwarder> = (0..FORWARDERS)
            .map(|number| bed.start_forwarder(&program, number, &config, Some(&settings)))
            .collect();
        for forwarder in &forwarders {
            bed.wait_for_endpoint(&forwarder.process)?;
        }
        Ok(SeedRun { seed, bed, forwarders })
    }

    fn start_loads(&self, start: Instant) -> Vec<Load> {
        let load = |(number, forwarder): (usize, &RunningForwarder)| {
            let seed = self.seed * 1000 + number as u64;
            let rate = MESSAGE_RATE / FORWARDERS as f64;
            let plan = poisson_plan(seed, rate, RUN_LENGTH, &["status"], DESTINATION);
            Load::start(forwarder.process.address, start, plan)
        };
        self.forwarders.iter().enumerate().map(load).collect()
    }

    fn set_health(&self, status: &str) {
        for number in 0..ENDPOINTS {
            self.bed.consul.set_status("n1", &format!("w{number}"), status);
        }
    }

    fn outcome(&self, results: &[LoadResult], start: Instant) -> SeedOutcome {
        let outcomes = self.bed.wait_for_outcomes(results);
        let collapses = self.bed.destination.collapses();
        let recovery = start + RECOVERY_AT;
        let served_late = outcomes.calls.iter().filter(|call| call.served && call.received_at > recovery);
        let received = outcomes.calls.iter().map(|call| call.received_at);
        SeedOutcome {
            seed: self.seed,
            submitted: outcomes.submitted,
            collapses_s: collapses.iter().map(|at| (*at - start).as_secs_f64()).collect(),
            calls_per_second: counts_per_second(received, start, RUN_LENGTH),
            delivered_after_recovery: served_late.count(),
            lost: outcomes.lost,
            duplicated: outcomes.duplicated,
        }
    }
}

/// Runs the outage and the recovery on all test beds. Returns the capacity of the first one in the middle of each
/// second.
fn run_outage(runs: &[SeedRun], start: Instant) -> Vec<f64> {
    let progress = Progress::new("consul-cold", RUN_LENGTH, start);
    let mut capacity_per_second = Vec::new();
    for second in 0..RUN_LENGTH.as_secs() {
        let elapsed = Duration::from_secs(second);
        progress.wait_until(elapsed);
        for run in runs {
            if elapsed == OUTAGE_FROM {
                // Consul reports the outage before a call can fail.
                run.set_health("critical");
                run.bed.destination.set_mode(Mode::Unavailable);
            } else if elapsed == RECOVERY_AT {
                run.bed.destination.recover();
                run.set_health("passing");
            }
        }
        progress.wait_until(elapsed + Duration::from_millis(500));
        capacity_per_second.push(runs[0].bed.destination.current_capacity());
    }
    progress.wait_until(RUN_LENGTH);
    progress.finish();
    capacity_per_second
}

impl SeedOutcome {
    fn row(&self) -> Vec<String> {
        let recovery = RECOVERY_AT.as_secs() as usize;
        let early = &self.calls_per_second[recovery..recovery + EARLY_RECOVERY_S];
        let collapses: Vec<String> = self.collapses_s.iter().map(|second| format!("{second:.2}")).collect();
        vec![
            self.seed.to_string(),
            self.submitted.to_string(),
            collapses.join(" "),
            format!("{:.0}", early.iter().copied().fold(0.0, f64::max)),
            self.delivered_after_recovery.to_string(),
            self.lost.to_string(),
            self.duplicated.to_string(),
        ]
    }
}

fn violations(outcomes: &[SeedOutcome]) -> Vec<String> {
    let mut violations = Vec::new();
    for outcome in outcomes {
        let seed = outcome.seed;
        let collapses = outcome.collapses_s.len();
        if collapses > 0 {
            violations.push(format!("seed {seed}: the partner was tipped over {collapses} times"));
        }
        if outcome.delivered_after_recovery == 0 {
            violations.push(format!("seed {seed}: nothing was delivered after the return"));
        }
    }
    // Duplicates are no violation. A call that exceeds its time-out in the destination's queue is retried, which an
    // idempotent class allows.
    let lost: usize = outcomes.iter().map(|outcome| outcome.lost).sum();
    if lost > 0 {
        violations.push(format!("{lost} messages lost"));
    }
    violations
}

/// Returns, for each second, the value that `combine` computes from the calls of all seeds.
fn over_seeds(outcomes: &[SeedOutcome], combine: impl Fn(&mut dyn Iterator<Item = f64>) -> f64) -> Vec<f64> {
    (0..RUN_LENGTH.as_secs() as usize)
        .map(|second| combine(&mut outcomes.iter().map(|outcome| outcome.calls_per_second[second])))
        .collect()
}

fn chart(outcomes: &[SeedOutcome], capacity: &[f64]) -> Chart {
    let seeds = outcomes.len() as f64;
    let mean = over_seeds(outcomes, |calls| calls.map(|count| count / seeds).sum());
    let most = over_seeds(outcomes, |calls| calls.fold(0.0, f64::max));
    let overload_factor = capacity_model().overload_factor;
    let collapse_limit: Vec<f64> = capacity.iter().map(|rps| rps * overload_factor).collect();
    Chart {
        title: "Calls each second; out from 4 s to 10 s, then back and cold".to_owned(),
        x_label: "s".to_owned(),
        y_label: "calls a second".to_owned(),
        series: vec![
            ChartSeries::per_second("sent, mean of the seeds", &mean),
            ChartSeries::per_second("sent, most of any seed", &most),
            ChartSeries::per_second("what it can do", capacity),
            ChartSeries::per_second("tips over if kept up for 2 s", &collapse_limit),
        ],
    }
}

fn report(options: &RunOptions, outcomes: &[SeedOutcome], capacity: &[f64]) -> ExperimentReport {
    let collapses: usize = outcomes.iter().map(|outcome| outcome.collapses_s.len()).sum();
    let lost: usize = outcomes.iter().map(|outcome| outcome.lost).sum();
    let duplicated: usize = outcomes.iter().map(|outcome| outcome.duplicated).sum();
    ExperimentReport {
        columns: vec![
            "seed",
            "messages",
            "tipped over at s",
            "most in a second of the first 4 back",
            "delivered after the return",
            "lost",
            "duplicated",
        ],
        rows: outcomes.iter().map(SeedOutcome::row).collect(),
        chart: chart(outcomes, capacity),
        violations: violations(outcomes),
        json: json!({"experiment": "consul-cold", "seed": options.seed, "seeds": options.seeds,
            "tip_overs": collapses, "lost": lost, "duplicated": duplicated, "unrestrained": options.sabotage}),
    }
}
