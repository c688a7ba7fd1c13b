//! `client-crowd` and `client-crowd-table`: crowds of clients that write slowly, stop half way through a request, send
//! heads that are too long or whole large bodies, beside regular clients of one forwarder. Each run is checked against
//! the memory limit, the limit on descriptors, the 3 s that bad clients are owed, and the rules on lost and repeated
//! messages.
//!
//! `client-crowd` draws each run from its seed, with kills, shutdowns and reloads amid the crowd. `client-crowd-table`
//! runs each kind of crowd at each limit.

use crate::error::ExperimentError;
use crate::options::RunOptions;
use crate::report::{Chart, ChartSeries, ExperimentReport};
use orchidyoke_fakes::client_crowd::{
    CrowdBehavior, CrowdGroup, CrowdScenario, CrowdScenarioReport, Interruption,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use serde_json::json;
use std::path::Path;
use std::thread;
use std::time::Duration;

/// Runs side by side.
const PARALLEL_RUNS: usize = 2;
const MEMORY_LIMITS_MB: [u64; 3] = [32, 64, 192];
const DESCRIPTOR_LIMITS: [usize; 2] = [256, 1_024];
/// Size of a crowd in relation to the limit on descriptors, as in 600 clients at 1,024 descriptors.
const CROWD_PER_DESCRIPTOR: f64 = 0.6;
const SOAK_CROWD_TIME: Duration = Duration::from_secs(10);
/// Bytes of a megabyte.
const MEGABYTE: f64 = 1e6;

/// The kinds of crowds, each with whether it is a crowd or a single client.
const KINDS: [(CrowdBehavior, bool); 9] = [
    (CrowdBehavior::HalfBody, true),
    (CrowdBehavior::HalfBodyShortFields, true),
    (CrowdBehavior::TrickledBody, true),
    (CrowdBehavior::EndlessHead, true),
    (CrowdBehavior::WholeBodies, true),
    (CrowdBehavior::ManyFields, true),
    (CrowdBehavior::Silent, true),
    (CrowdBehavior::PipelinedUnsound, false),
    (CrowdBehavior::PipelinedSound, false),
];

/// Runs a scenario for each seed. Under sabotage the limit on memory is a tenth in the check, and every run must
/// report that.
pub fn run(options: &RunOptions) -> Result<ExperimentReport, ExperimentError> {
    let scenarios = (options.seed..options.seed + options.seeds).map(draw_scenario).collect();
    report(options, scenarios)
}

/// Runs each kind of crowd at each limit. Under sabotage as [`run`].
pub fn run_table(options: &RunOptions) -> Result<ExperimentReport, ExperimentError> {
    let limits = MEMORY_LIMITS_MB
        .iter()
        .flat_map(|memory_mb| DESCRIPTOR_LIMITS.iter().map(move |descriptors| (*memory_mb, *descriptors)));
    let limits = limits.filter(|(memory_mb, _)| !options.quick || *memory_mb == MEMORY_LIMITS_MB[0]);
    let scenarios = limits.flat_map(|(memory_mb, descriptors)| {
        KINDS.iter().map(move |(behavior, is_crowd)| CrowdScenario {
            seed: options.seed,
            memory_mb,
            descriptors,
            ..CrowdScenario::new(*behavior, if *is_crowd { crowd_size(descriptors) } else { 1 })
        })
    });
    report(options, scenarios.collect())
}

fn crowd_size(descriptors: usize) -> usize {
    (descriptors as f64 * CROWD_PER_DESCRIPTOR) as usize
}

/// Draws the parameters of a run from its seed.
fn draw_scenario(seed: u64) -> CrowdScenario {
    let mut random = StdRng::seed_from_u64(seed);
    let memory_mb = MEMORY_LIMITS_MB[[0, 0, 0, 1, 2][random.random_range(0..5)]];
    let descriptors = DESCRIPTOR_LIMITS[random.random_range(0..DESCRIPTOR_LIMITS.len())];
    let kinds = random.random_range(1..=3);
    let crowd = (0..kinds).map(|_| {
        let (behavior, is_crowd) = KINDS[random.random_range(0..KINDS.len())];
        CrowdGroup { behavior, clients: if is_crowd { crowd_size(descriptors) / kinds } else { 1 } }
    });
    let crowd = crowd.collect();
    let interruptions = (0..random.random_range(0..=4)).map(|_| match random.random_range(0..4) {
        0 => Interruption::Terminate,
        1 => Interruption::Reload,
        _ => Interruption::Kill,
    });
    let interruptions = interruptions.collect();
    CrowdScenario {
        seed,
        memory_mb,
        descriptors,
        crowd,
        crowd_time: SOAK_CROWD_TIME,
        waves: random.random_range(1..=3),
        interruptions,
        ..CrowdScenario::new(CrowdBehavior::Silent, 0)
    }
}

fn report(options: &RunOptions, scenarios: Vec<CrowdScenario>) -> Result<ExperimentReport, ExperimentError> {
    let program = options.program()?;
    let mut results = Vec::new();
    for batch in scenarios.chunks(PARALLEL_RUNS) {
        results.extend(run_batch(&program, batch, results.len())?);
        eprintln!("client-crowd: {} of {} runs done", results.len(), scenarios.len());
    }
    let memory_share = if options.sabotage { 0.1 } else { 1.0 };
    let violations = results.iter().flat_map(|(scenario, report)| {
        let found = violations(scenario, report, memory_share);
        found.into_iter().map(|one| format!("seed {} {}: {one}", scenario.seed, crowd_name(scenario)))
    });
    let violations: Vec<_> = violations.collect();
    let points = results
        .iter()
        .map(|(scenario, report)| (scenario.memory_mb as f64, report.peak_bytes as f64 / MEGABYTE));
    Ok(ExperimentReport {
        columns: vec![
            "seed",
            "memory MB",
            "descriptors",
            "crowd",
            "interruptions",
            "idle MB",
            "peak MB",
            "after waves MB",
            "most descriptors",
            "requests",
            "202",
            "ends",
            "median ms",
            "p99 ms",
            "crowd connections",
            "left open",
            "accepted",
            "lost",
            "sent again",
        ],
        rows: results.iter().map(|(scenario, report)| row(scenario, report)).collect(),
        chart: Chart {
            title: "peak memory by limit".to_owned(),
            x_label: "limit (MB)".to_owned(),
            y_label: "peak (MB)".to_owned(),
            series: vec![ChartSeries { name: "runs".to_owned(), points: points.collect() }],
        },
        json: json!({
            "experiment": "client-crowd",
            "runs": results.len(),
            "accepted": results.iter().map(|(_, report)| report.accepted).sum::<usize>(),
            "violations": violations.len(),
        }),
        violations,
    })
}

fn run_batch(
    program: &Path,
    scenarios: &[CrowdScenario],
    first_number: usize,
) -> Result<Vec<(CrowdScenario, CrowdScenarioReport)>, ExperimentError> {
    thread::scope(|scope| {
        let runs: Vec<_> = scenarios
            .iter()
            .enumerate()
            .map(|(number, scenario)| {
                let name = format!("crowd-{}", first_number + number);
                scope.spawn(move || (scenario.clone(), scenario.run(program, &name)))
            })
            .collect();
        let results = runs.into_iter().map(thread::ScopedJoinHandle::join);
        results.collect::<Result<_, _>>().map_err(|_| ExperimentError::ThreadPanicked("a run"))
    })
}

fn violations(scenario: &CrowdScenario, report: &CrowdScenarioReport, memory_share: f64) -> Vec<String> {
    let limit = scenario.memory_mb as f64 * MEGABYTE * memory_share;
    let checks = [
        (report.has_crashed, "a process ended by itself".to_owned()),
        (report.peak_bytes as f64 > limit, format!("peak {} bytes, limit {limit}", report.peak_bytes)),
        (report.max_descriptors > scenario.descriptors, format!("{} descriptors", report.max_descriptors)),
        (report.left_open > 0, format!("{} bad clients left open for 3 s", report.left_open)),
        (!report.lost.is_empty(), format!("lost {:?}", report.lost)),
        (!report.sent_again.is_empty(), format!("sent again {:?}", report.sent_again)),
    ];
    checks.into_iter().filter_map(|(is_violated, text)| is_violated.then_some(text)).collect()
}

fn crowd_name(scenario: &CrowdScenario) -> String {
    let groups = scenario.crowd.iter().map(|group| format!("{} {:?}", group.clients, group.behavior));
    groups.collect::<Vec<_>>().join(" + ")
}

fn row(scenario: &CrowdScenario, report: &CrowdScenarioReport) -> Vec<String> {
    let megabytes = |bytes: u64| format!("{:.1}", bytes as f64 / MEGABYTE);
    let milliseconds = |time: Duration| format!("{:.0}", time.as_secs_f64() * 1e3);
    let after: Vec<_> = report.bytes_after_waves.iter().copied().map(megabytes).collect();
    vec![
        scenario.seed.to_string(),
        scenario.memory_mb.to_string(),
        scenario.descriptors.to_string(),
        crowd_name(scenario),
        format!("{:?}", scenario.interruptions).replace(',', ""),
        megabytes(report.idle_bytes),
        megabytes(report.peak_bytes),
        after.join(" "),
        report.max_descriptors.to_string(),
        report.requests.to_string(),
        format!("{:.3}", report.accepted_share()),
        format!("{:?}", report.ends).replace(',', ""),
        milliseconds(report.median_latency),
        milliseconds(report.p99_latency),
        report.crowd_connections.to_string(),
        report.left_open.to_string(),
        report.accepted.to_string(),
        report.lost.len().to_string(),
        report.sent_again.len().to_string(),
    ]
}
