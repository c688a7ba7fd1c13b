//! `rollout-stop`: a bad change is rolled out over six forwarders under load; how long from the first stage's start to
//! the stop, and how many messages the changed forwarder ended meanwhile, over seeds.
//!
//! Four kinds of change in turn: one that refuses much, one that refuses little, one that is only slower, and a release
//! that refuses much. Each seed draws how bad it is and the clients' pace. The tool is the program's own `rollout`; its
//! log is read as it comes, with times.

use crate::RunOptions;
use crate::report::{Chart, ChartSeries, ExperimentReport};
use orchidyoke_fakes::Fleet;
use orchidyoke_fakes::fleet::ClientLoad;
use orchidyoke_rollout::console::{ask, parse_outcome_counts};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use serde_json::{Value, json};
use std::io::{BufRead, BufReader};
use std::path::Path;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

const FLEET: usize = 6;

/// What is wrong with a change.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Kind {
    /// Settings with room for one to three messages at a time.
    RefusesMuch,
    /// Settings with room for about as many messages as there usually are.
    RefusesLittle,
    /// Settings with one or two calls out at a time.
    Slower,
    /// A release that serves with room for one message.
    Release,
}

const KINDS: [(Kind, &str); 4] = [
    (Kind::RefusesMuch, "refuses much"),
    (Kind::RefusesLittle, "refuses little"),
    (Kind::Slower, "slower"),
    (Kind::Release, "release"),
];

/// What one seed showed.
struct Seen {
    seed: u64,
    kind: &'static str,
    /// The limit that the change sets.
    limit: u64,
    pace_ms: u64,
    stopped: bool,
    to_stop_ms: f64,
    ended_by_changed: u64,
    share: String,
}

pub fn run(run: &RunOptions) -> Result<ExperimentReport, String> {
    let program = run.program()?;
    let mut seen = Vec::new();
    for seed in run.seed..run.seed + run.seeds {
        seen.push(one(&program, seed, run.sabotage)?);
        eprintln!("rollout-stop: seed {seed} done");
    }
    let broken = seen
        .iter()
        .filter(|s| !s.stopped)
        .map(|s| format!("seed {}: the change ({}, limit {}) was not stopped", s.seed, s.kind, s.limit))
        .collect();
    let rows = seen
        .iter()
        .map(|s| {
            vec![
                s.seed.to_string(),
                s.kind.to_owned(),
                s.limit.to_string(),
                s.pace_ms.to_string(),
                s.stopped.to_string(),
                s.share.clone(),
                format!("{:.0}", s.to_stop_ms),
                s.ended_by_changed.to_string(),
            ]
        })
        .collect();
    let of_kind = |kind: &'static str| seen.iter().filter(move |s| s.kind == kind);
    let lines = KINDS.map(|(_, kind)| ChartSeries {
        name: kind.to_owned(),
        points: of_kind(kind).map(|s| (s.seed as f64, s.to_stop_ms)).collect(),
    });
    let by_kind: serde_json::Map<String, Value> = KINDS
        .iter()
        .map(|(_, kind)| {
            let mut times: Vec<f64> = of_kind(kind).map(|s| s.to_stop_ms).collect();
            times.sort_by(f64::total_cmp);
            let ended = of_kind(kind).map(|s| s.ended_by_changed).max();
            let shown = json!({"to_stop_ms_median": times.get(times.len() / 2), "to_stop_ms_most": times.last(),
                "ended_by_changed_most": ended});
            ((*kind).to_owned(), shown)
        })
        .collect();
    Ok(ExperimentReport {
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
        rows,
        chart: Chart {
            title: "Bad changes, stopped at their first stage".to_owned(),
            x_label: "seed".to_owned(),
            y_label: "from the stage's start to the stop, ms".to_owned(),
            series: lines.into_iter().collect(),
        },
        violations: broken,
        json: json!({"experiment": "rollout-stop", "seeds": seen.len(), "by_kind": by_kind,
            "stopped": seen.iter().filter(|s| s.stopped).count()}),
    })
}

/// The change of this kind: its limit, and its part of the plan.
fn change(fleet: &Fleet, program: &Path, kind: Kind, dice: &mut StdRng) -> (u64, Value) {
    let settings = |patch: Value| json!({"settings_patch": {"settings": patch}});
    match kind {
        Kind::RefusesMuch => {
            let limit = dice.random_range(1..=3);
            (limit, settings(json!({"limits": {"max_open": limit}})))
        }
        Kind::RefusesLittle => {
            let limit = dice.random_range(6..=8);
            (limit, settings(json!({"limits": {"max_open": limit}})))
        }
        Kind::Slower => {
            let limit = dice.random_range(1..=2);
            (limit, settings(json!({"family_info": {"slots": limit}})))
        }
        Kind::Release => {
            let mut config = fleet.config(0);
            config["settings"]["limits"]["max_open"] = json!(1);
            let config = fleet.folder(0).write("small.json", &config.to_string());
            let (program, config) = (program.display(), config.display());
            let script = format!("#!/bin/sh\nshift 3\nexec {program} serve --config {config} \"$@\"\n");
            fleet.add_script("small", &script);
            (1, json!({"release": "small"}))
        }
    }
}

fn one(program: &Path, seed: u64, sabotage: bool) -> Result<Seen, String> {
    let mut dice = StdRng::seed_from_u64(seed);
    let (kind, named) = KINDS[seed as usize % KINDS.len()];
    // More come than two calls at a time can carry, so that a slower path is one.
    let pace_ms = dice.random_range(2..=if kind == Kind::Slower { 4 } else { 8 });
    let load = ClientLoad { pause: Duration::from_millis(pace_ms), ..ClientLoad::default() };
    let name = format!("lab-{seed}");
    let fleet = match kind {
        Kind::Release => Fleet::supervised(program, &name, FLEET, load),
        _ => Fleet::standalone(program, &name, FLEET, load),
    };
    let (limit, change) = change(&fleet, program, kind, &mut dice);
    // Sabotage: a margin that nothing exceeds.
    let margin = if sabotage { 1.0 } else { 0.02 };
    let mut plan = json!({"forwarders": fleet.plan(), "stages": ["1", "50%", "all"], "bake_ms": 1500,
        "max_bake_ms": 20000, "poll_ms": 250,
        "criteria": {"margin": margin, "z": 2.33, "min_ended": 60, "latency_ratio": 4.0}});
    let (plan_of, Value::Object(change)) = (plan.as_object_mut().ok_or("no plan")?, change) else {
        return Err("no change".to_owned());
    };
    plan_of.extend(change);
    let plan_path = fleet.folder(0).write("plan.json", &plan.to_string());
    let mut tool = Command::new(program)
        .arg("rollout")
        .arg(&plan_path)
        .arg("--state")
        .arg(fleet.folder(0).path().join("rollout"))
        .stdout(Stdio::null())
        .stderr(Stdio::piped())
        .spawn()
        .map_err(|error| format!("the tool: {error}"))?;
    let lines = BufReader::new(tool.stderr.take().ok_or("no pipe")?).lines().map_while(Result::ok);
    let ended = || {
        ask(fleet.console(0), "show-stat")
            .ok()
            .and_then(|reply| parse_outcome_counts(&reply))
            .map(|counts| counts.total())
    };
    let (mut began, mut stop, mut before, mut after, mut share) = (None, None, None, None, String::new());
    for line in lines {
        if line.contains("forwarder changed") && before.is_none() {
            // A release's process counts from its own start.
            before = if kind == Kind::Release { Some(0) } else { ended() };
        } else if line.contains("stage begins") && began.is_none() {
            began = Some(Instant::now());
        } else if (line.contains("rollout stops") || line.contains("rollout done")) && stop.is_none() {
            (stop, after) = (Some(Instant::now()), ended());
            let why = line.split_once("reason=stage 0: ").map(|(_, why)| why);
            share = why.and_then(|why| why.split(' ').next()).unwrap_or("-").to_owned();
        }
    }
    let status = tool.wait().map_err(|error| format!("the tool: {error}"))?;
    let (Some(began), Some(stop)) = (began, stop) else {
        return Err(format!("seed {seed}: the tool's log shows no stage"));
    };
    Ok(Seen {
        seed,
        kind: named,
        limit,
        pace_ms,
        stopped: !status.success() && share != "-" && !share.starts_with("undecided"),
        to_stop_ms: stop.duration_since(began).as_secs_f64() * 1000.0,
        ended_by_changed: after.zip(before).map_or(0, |(after, before)| after.saturating_sub(before)),
        share,
    })
}
