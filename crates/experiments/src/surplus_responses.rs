//! `surplus-responses`: endpoints send copies of their responses, or other surplus bytes, at random times after them,
//! while a forwarder runs under load and is restarted. For each seed it checks the rules on duplicates and on lost
//! messages for every message.
//!
//! Each seed determines the form and the delay of the surplus bytes, which responses they follow, the restarts and the
//! number of clients.

use crate::error::ExperimentError;
use crate::options::RunOptions;
use crate::report::{Chart, ChartSeries, ExperimentReport};
use orchidyoke_fakes::surplus_responses::{
    ResponseMix, Restart, Scenario, ScenarioReport, SurplusFault, SurplusForm,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use serde_json::json;
use std::path::Path;
use std::thread;
use std::time::Duration;

/// Seeds that run side by side.
const PARALLEL_RUNS: usize = 4;
/// Delays that a seed chooses from, in milliseconds. One of seven seeds draws any delay up to
/// [`MAX_RANDOM_DELAY_MS`] instead.
const DELAYS_MS: [u64; 6] = [0, 6, 40, 150, 300, 400];
const MAX_RANDOM_DELAY_MS: u64 = 1_000;
/// One of this many seeds runs with a crowd of clients.
const CROWD_INTERVAL: u64 = 5;
const CROWD_CLIENTS: u64 = 60;
const CROWD_PAUSE: Duration = Duration::from_millis(250);
const LOAD_TIME: Duration = Duration::from_secs(20);

/// Clients of each run of [`run_cost`]; a seed chooses one.
const COST_CLIENTS: [u64; 4] = [2, 8, 24, 48];

/// Runs the experiment. Under sabotage the endpoints send no surplus bytes, and every run must report that.
pub fn run(options: &RunOptions) -> Result<ExperimentReport, ExperimentError> {
    let draw = |seed| {
        let mut scenario = draw_scenario(seed);
        scenario.fault = scenario.fault.filter(|_| !options.sabotage);
        scenario
    };
    Ok(report(&run_seeds(options, &draw)?, true))
}

/// Runs forwarders without a fault, at four rates: what the reuse of connections costs. Under sabotage the responses
/// are copied, and every run must report that.
pub fn run_cost(options: &RunOptions) -> Result<ExperimentReport, ExperimentError> {
    let draw = |seed| Scenario {
        responses: ResponseMix::Delivered,
        clients: COST_CLIENTS[(seed % COST_CLIENTS.len() as u64) as usize],
        fault: draw_scenario(seed).fault.filter(|_| options.sabotage),
        load_time: LOAD_TIME,
        ..Scenario::new(seed, None)
    };
    Ok(report(&run_seeds(options, &draw)?, false))
}

fn run_seeds(
    options: &RunOptions,
    draw: &dyn Fn(u64) -> Scenario,
) -> Result<Vec<(Scenario, ScenarioReport)>, ExperimentError> {
    let program = options.program()?;
    let seeds: Vec<_> = (options.seed..options.seed + options.seeds).collect();
    let mut results = Vec::new();
    for batch in seeds.chunks(PARALLEL_RUNS) {
        results.extend(run_batch(&program, batch.iter().map(|seed| draw(*seed)).collect())?);
        eprintln!("surplus-responses: seed {} done", batch.last().unwrap_or(&0));
    }
    Ok(results)
}

fn run_batch(
    program: &Path,
    scenarios: Vec<Scenario>,
) -> Result<Vec<(Scenario, ScenarioReport)>, ExperimentError> {
    let run = |scenario: Scenario| {
        let report = scenario.run(program, &format!("surplus-{}", scenario.seed));
        (scenario, report)
    };
    thread::scope(|scope| {
        let runs: Vec<_> = scenarios.into_iter().map(|scenario| scope.spawn(|| run(scenario))).collect();
        let results = runs.into_iter().map(thread::ScopedJoinHandle::join);
        results.collect::<Result<_, _>>().map_err(|_| ExperimentError::ThreadPanicked("a run"))
    })
}

/// Draws the parameters of a run from its seed.
fn draw_scenario(seed: u64) -> Scenario {
    let mut rng = StdRng::seed_from_u64(seed);
    let fixed_delay = DELAYS_MS.get(rng.random_range(0..=DELAYS_MS.len())).copied();
    let delay_ms = fixed_delay.unwrap_or_else(|| rng.random_range(1..=MAX_RANDOM_DELAY_MS));
    let form = match rng.random_range(0..8) {
        0 => SurplusForm::CutCopy,
        1 => SurplusForm::InterimResponse,
        2 => SurplusForm::BodyBytes,
        _ => SurplusForm::Copy,
    };
    let only_status = [None, None, None, Some(200), Some(503), Some(429), Some(500)][rng.random_range(0..7)];
    let share = if rng.random_bool(0.5) { 1.0 / 3.0 } else { 1.0 };
    let restarts = match rng.random_range(0..4) {
        0 => vec![],
        1 => vec![Restart::Terminate],
        2 => vec![Restart::Kill, Restart::Kill],
        _ => vec![Restart::Terminate, Restart::Kill],
    };
    let mut scenario = Scenario::new(
        seed,
        Some(SurplusFault { form, delay: Duration::from_millis(delay_ms), share, only_status }),
    );
    scenario.load_time = LOAD_TIME;
    scenario.fault_after = Duration::from_secs(rng.random_range(0..6));
    scenario.restarts = restarts;
    if seed.is_multiple_of(CROWD_INTERVAL) {
        scenario.clients = CROWD_CLIENTS;
        scenario.client_pause = CROWD_PAUSE;
    }
    scenario
}

fn report(results: &[(Scenario, ScenarioReport)], expects_surpluses: bool) -> ExperimentReport {
    let violations = results.iter().flat_map(|(scenario, report)| {
        let is_unexpected = expects_surpluses != (report.surpluses > 0);
        let surpluses = is_unexpected
            .then(|| format!("seed {}: {} responses with surplus bytes", scenario.seed, report.surpluses));
        let violations = report.violations.iter().map(|one| format!("seed {}: {one}", scenario.seed));
        surpluses.into_iter().chain(violations)
    });
    let violations: Vec<_> = violations.collect();
    let points = results.iter().map(|(scenario, report)| {
        let delay = scenario.fault.map_or(Duration::ZERO, |fault| fault.delay);
        (delay.as_secs_f64() * 1e3, report.violations.len() as f64)
    });
    ExperimentReport {
        columns: vec![
            "seed",
            "form",
            "delay ms",
            "share",
            "status",
            "restarts",
            "clients",
            "accepted",
            "delivered",
            "calls",
            "connections",
            "most open",
            "surpluses",
            "mean ms",
            "unanswered",
            "violations",
        ],
        rows: results.iter().map(|(scenario, report)| row(scenario, report)).collect(),
        chart: Chart {
            title: "violations by delay of the surplus bytes".to_owned(),
            x_label: "delay (ms)".to_owned(),
            y_label: "violations".to_owned(),
            series: vec![ChartSeries { name: "seeds".to_owned(), points: points.collect() }],
        },
        json: json!({
            "experiment": "surplus-responses",
            "seeds": results.len(),
            "accepted": results.iter().map(|(_, report)| report.accepted).sum::<usize>(),
            "surpluses": results.iter().map(|(_, report)| report.surpluses).sum::<usize>(),
            "violations": violations.len(),
        }),
        violations,
    }
}

fn row(scenario: &Scenario, report: &ScenarioReport) -> Vec<String> {
    let fault = scenario.fault;
    let text = |value: Option<String>| value.unwrap_or_else(|| "-".to_owned());
    vec![
        scenario.seed.to_string(),
        text(fault.map(|fault| format!("{:?}", fault.form))),
        text(fault.map(|fault| fault.delay.as_millis().to_string())),
        text(fault.map(|fault| format!("{:.2}", fault.share))),
        text(fault.and_then(|fault| fault.only_status).map(|status| status.to_string())),
        format!("{:?}", scenario.restarts).replace(',', ""),
        scenario.clients.to_string(),
        report.accepted.to_string(),
        report.delivered.to_string(),
        report.calls.to_string(),
        report.connections.to_string(),
        report.max_open_connections.to_string(),
        report.surpluses.to_string(),
        format!("{:.0}", report.mean_delivery_ms),
        report.unanswered.to_string(),
        report.violations.len().to_string(),
    ]
}
