//! `rollout-stop`: rolls a bad change out over six forwarders under load. For each seed it measures the time from the
//! start of the first stage to the stop, and the number of messages that the changed forwarder finished in that time.
//!
//! Four kinds of change take turns: one that rejects many messages, one that rejects few, one that is only slower, and
//! a release that rejects many. Each seed determines how bad the change is and the clients' pace. The rollout is run by
//! the program's own command `rollout`, whose log is read line by line.

use crate::error::ExperimentError;
use crate::options::RunOptions;
use crate::report::{Chart, ChartSeries, ExperimentReport};
use orchidyoke_fakes::Fleet;
use orchidyoke_fakes::fleet::ClientLoad;
use orchidyoke_rollout::console::{ask, parse_outcome_counts};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use serde_json::{Map, Value, json};
use std::io::{BufRead, BufReader, Error};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

const FLEET_SIZE: usize = 6;
/// Share by which a changed forwarder may be worse than the unchanged ones. No difference can exceed the margin that is
/// used under sabotage.
const MARGIN: f64 = 0.02;
const SABOTAGE_MARGIN: f64 = 1.0;

/// The fault of a change.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ChangeKind {
    /// Settings that allow only one to three open messages.
    RejectsMuch,
    /// Settings that allow about as many open messages as there usually are.
    RejectsLittle,
    /// Settings that allow only one or two calls in flight.
    Slower,
    /// A release that allows only one open message.
    Release,
}

impl ChangeKind {
    const ALL: [ChangeKind; 4] =
        [ChangeKind::RejectsMuch, ChangeKind::RejectsLittle, ChangeKind::Slower, ChangeKind::Release];

    /// Returns the name in the table, the chart and the JSON.
    fn label(self) -> &'static str {
        match self {
            ChangeKind::RejectsMuch => "refuses much",
            ChangeKind::RejectsLittle => "refuses little",
            ChangeKind::Slower => "slower",
            ChangeKind::Release => "release",
        }
    }

    /// Returns the maximum of the random pause between two messages of a client. It is shorter for `Slower`, so that
    /// more messages arrive than two concurrent calls can carry.
    fn max_pause_ms(self) -> u64 {
        if self == ChangeKind::Slower { 4 } else { 8 }
    }
}

/// The results of one seed.
struct SeedOutcome {
    seed: u64,
    kind: ChangeKind,
    /// Limit that the change sets, on open messages or on calls in flight.
    limit: u64,
    pause_ms: u64,
    stopped: bool,
    to_stop_ms: f64,
    /// Number of messages that the changed forwarder finished before the stop.
    finished_by_changed: u64,
    /// Name in the log of the measure that stopped the rollout, or `-` if there is none.
    measure: String,
}

/// Runs the experiment. Under sabotage the margin is [`SABOTAGE_MARGIN`], so that no change counts as worse.
pub fn run(options: &RunOptions) -> Result<ExperimentReport, ExperimentError> {
    let program = options.program()?;
    let mut outcomes = Vec::new();
    for seed in options.seed..options.seed + options.seeds {
        outcomes.push(run_seed(&program, seed, options.sabotage)?);
        eprintln!("rollout-stop: seed {seed} done");
    }
    Ok(report(&outcomes))
}

/// A change, with its part of the rollout's plan.
struct Change {
    limit: u64,
    plan: Value,
}

impl Change {
    fn choose(fleet: &Fleet, program: &Path, kind: ChangeKind, rng: &mut StdRng) -> Self {
        match kind {
            ChangeKind::RejectsMuch => Change::max_open(rng.random_range(1..=3)),
            ChangeKind::RejectsLittle => Change::max_open(rng.random_range(6..=8)),
            ChangeKind::Slower => {
                let limit = rng.random_range(1..=2);
                Change::settings(limit, &json!({"family_info": {"slots": limit}}))
            }
            ChangeKind::Release => {
                add_small_release(fleet, program);
                Change { limit: 1, plan: json!({"release": "small"}) }
            }
        }
    }

    fn max_open(limit: u64) -> Self {
        Change::settings(limit, &json!({"limits": {"max_open": limit}}))
    }

    fn settings(limit: u64, patch: &Value) -> Self {
        Change { limit, plan: json!({"settings_patch": {"settings": patch}}) }
    }
}

/// Adds the release `small`, which runs the program with its own configuration instead of the one on its command line.
fn add_small_release(fleet: &Fleet, program: &Path) {
    let mut config = fleet.config(0);
    config["settings"]["limits"]["max_open"] = json!(1);
    let config = fleet.folder(0).write("small.json", &config.to_string());
    let program = program.display();
    let config = config.display();
    let script = format!("#!/bin/sh\nshift 3\nexec {program} serve --config {config} \"$@\"\n");
    fleet.add_script("small", &script);
}

fn run_seed(program: &Path, seed: u64, sabotage: bool) -> Result<SeedOutcome, ExperimentError> {
    let mut rng = StdRng::seed_from_u64(seed);
    let kind = ChangeKind::ALL[seed as usize % ChangeKind::ALL.len()];
    let pause_ms = rng.random_range(2..=kind.max_pause_ms());
    let load = ClientLoad { pause: Duration::from_millis(pause_ms), ..ClientLoad::default() };
    let name = format!("experiment-{seed}");
    let fleet = match kind {
        ChangeKind::Release => Fleet::supervised(program, &name, FLEET_SIZE, load),
        _ => Fleet::standalone(program, &name, FLEET_SIZE, load),
    };
    let Change { limit, plan: change } = Change::choose(&fleet, program, kind, &mut rng);
    let margin = if sabotage { SABOTAGE_MARGIN } else { MARGIN };
    let mut tool = start_rollout(program, &fleet, &plan(&fleet, margin, &change))?;
    let log = tool.stderr.take().ok_or_else(|| ExperimentError::RolloutTool(Error::other("no log")))?;
    let mut watch = RolloutWatch::new(&fleet, kind);
    for line in BufReader::new(log).lines().map_while(Result::ok) {
        watch.read(&line);
    }
    let status = tool.wait().map_err(ExperimentError::RolloutTool)?;
    let to_stop = watch.time_to_stop().ok_or(ExperimentError::NoStage { seed })?;
    let finished_by_changed = watch.finished_by_changed();
    let measure = watch.measure;
    Ok(SeedOutcome {
        seed,
        kind,
        limit,
        pause_ms,
        stopped: !status.success() && measure != "-" && !measure.starts_with("undecided"),
        to_stop_ms: to_stop.as_secs_f64() * 1000.0,
        finished_by_changed,
        measure,
    })
}

/// Returns the plan of a rollout that makes the change.
fn plan(fleet: &Fleet, margin: f64, change: &Value) -> Value {
    let mut plan = json!({"forwarders": fleet.plan(), "stages": ["1", "50%", "all"], "bake_ms": 1500,
        "max_bake_ms": 20000, "poll_ms": 250,
        "criteria": {"margin": margin, "z": 2.33, "min_ended": 60, "latency_ratio": 4.0}});
    for (name, value) in change.as_object().into_iter().flatten() {
        plan[name] = value.clone();
    }
    plan
}

fn start_rollout(program: &Path, fleet: &Fleet, plan: &Value) -> Result<Child, ExperimentError> {
    let plan_file = fleet.folder(0).write("plan.json", &plan.to_string());
    Command::new(program)
        .arg("rollout")
        .arg(&plan_file)
        .arg("--state")
        .arg(fleet.folder(0).path().join("rollout"))
        .stdout(Stdio::null())
        .stderr(Stdio::piped())
        .spawn()
        .map_err(ExperimentError::RolloutTool)
}

/// Data from the rollout's log: times, the reason of the stop, and the changed forwarder's counts of finished messages.
struct RolloutWatch<'a> {
    fleet: &'a Fleet,
    kind: ChangeKind,
    began: Option<Instant>,
    stopped: Option<Instant>,
    finished_before: Option<u64>,
    finished_after: Option<u64>,
    measure: String,
}

impl<'a> RolloutWatch<'a> {
    fn new(fleet: &'a Fleet, kind: ChangeKind) -> Self {
        RolloutWatch {
            fleet,
            kind,
            began: None,
            stopped: None,
            finished_before: None,
            finished_after: None,
            measure: String::new(),
        }
    }

    fn read(&mut self, line: &str) {
        let ends = line.contains("rollout stops") || line.contains("rollout done");
        if line.contains("forwarder changed") && self.finished_before.is_none() {
            // A new release runs in a new process, whose counts start at 0.
            let is_release = self.kind == ChangeKind::Release;
            self.finished_before = if is_release { Some(0) } else { self.finished() };
        } else if line.contains("stage begins") && self.began.is_none() {
            self.began = Some(Instant::now());
        } else if ends && self.stopped.is_none() {
            self.stopped = Some(Instant::now());
            self.finished_after = self.finished();
            let reason = line.split_once("reason=stage 0: ").map(|(_, reason)| reason);
            self.measure = reason.and_then(|reason| reason.split(' ').next()).unwrap_or("-").to_owned();
        }
    }

    /// Returns the number of messages that the changed forwarder has finished so far.
    fn finished(&self) -> Option<u64> {
        let reply = ask(self.fleet.console(0), "show-stat").ok()?;
        Some(parse_outcome_counts(&reply)?.total())
    }

    fn time_to_stop(&self) -> Option<Duration> {
        Some(self.stopped?.duration_since(self.began?))
    }

    fn finished_by_changed(&self) -> u64 {
        let counts = self.finished_after.zip(self.finished_before);
        counts.map_or(0, |(after, before)| after.saturating_sub(before))
    }
}

impl SeedOutcome {
    fn row(&self) -> Vec<String> {
        vec![
            self.seed.to_string(),
            self.kind.label().to_owned(),
            self.limit.to_string(),
            self.pause_ms.to_string(),
            self.stopped.to_string(),
            self.measure.clone(),
            format!("{:.0}", self.to_stop_ms),
            self.finished_by_changed.to_string(),
        ]
    }

    fn violation(&self) -> Option<String> {
        let kind = self.kind.label();
        let violation =
            || format!("seed {}: the change ({kind}, limit {}) was not stopped", self.seed, self.limit);
        (!self.stopped).then(violation)
    }
}

fn outcomes_of(outcomes: &[SeedOutcome], kind: ChangeKind) -> impl Iterator<Item = &SeedOutcome> {
    outcomes.iter().filter(move |outcome| outcome.kind == kind)
}

fn summary(outcomes: &[SeedOutcome], kind: ChangeKind) -> Value {
    let mut times: Vec<f64> = outcomes_of(outcomes, kind).map(|outcome| outcome.to_stop_ms).collect();
    times.sort_by(f64::total_cmp);
    let most_finished = outcomes_of(outcomes, kind).map(|outcome| outcome.finished_by_changed).max();
    json!({"to_stop_ms_median": times.get(times.len() / 2), "to_stop_ms_most": times.last(),
        "ended_by_changed_most": most_finished})
}

fn report(outcomes: &[SeedOutcome]) -> ExperimentReport {
    let series = ChangeKind::ALL.map(|kind| ChartSeries {
        name: kind.label().to_owned(),
        points: outcomes_of(outcomes, kind)
            .map(|outcome| (outcome.seed as f64, outcome.to_stop_ms))
            .collect(),
    });
    let by_kind: Map<String, Value> =
        ChangeKind::ALL.iter().map(|kind| (kind.label().to_owned(), summary(outcomes, *kind))).collect();
    let stopped = outcomes.iter().filter(|outcome| outcome.stopped).count();
    ExperimentReport {
        columns: vec![
            "seed",
            "change",
            "limit",
            "pace ms",
            "stopped",
            "by",
            "to stop ms",
            "ended by the changed one",
        ],
        rows: outcomes.iter().map(SeedOutcome::row).collect(),
        chart: Chart {
            title: "Bad changes, stopped at their first stage".to_owned(),
            x_label: "seed".to_owned(),
            y_label: "from the stage's start to the stop, ms".to_owned(),
            series: series.into_iter().collect(),
        },
        violations: outcomes.iter().filter_map(SeedOutcome::violation).collect(),
        json: json!({"experiment": "rollout-stop", "seeds": outcomes.len(), "by_kind": by_kind,
            "stopped": stopped}),
    }
}
