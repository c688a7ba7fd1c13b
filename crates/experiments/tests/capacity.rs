//! Tests of the quick run of `capacity-forwarder` with real processes: it meets the targets, and it detects a cost that
//! grows with the list. The checks use only ratios, byte counts and processor time, and no elapsed time.

use serde_json::Value;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

const EXPERIMENTS: &str = env!("CARGO_BIN_EXE_orchidyoke-experiments");

/// Returns the forwarder program beside the experiments' program. Tests of the whole workspace build it. Tests of this
/// package alone use the one that was built last.
fn forwarder() -> PathBuf {
    let program = Path::new(EXPERIMENTS).with_file_name("orchidyoke");
    assert!(program.is_file(), "{}: build it first (cargo build)", program.display());
    program
}

fn run(options: &[&str]) -> Output {
    let mut command = Command::new(EXPERIMENTS);
    command.args(["run", "capacity-forwarder", "--quick", "--program"]).arg(forwarder());
    command.args(options).output().expect("the experiments run")
}

/// Returns the JSON object on the last line of the output.
fn result(output: &Output) -> Value {
    let text = String::from_utf8_lossy(&output.stdout);
    let last = text.lines().last().unwrap_or_default();
    serde_json::from_str(last).unwrap_or_else(|error| panic!("{error}: {output:?}"))
}

fn targets(result: &Value) -> Vec<(String, bool)> {
    let targets = result["aims"].as_array().expect("aims");
    targets.iter().map(|target| (target.to_string(), target["held"] == true)).collect()
}

// Guards against a cost that grows with the square of the list, or with the list although it should not, and against
// results that are missing.
#[test]
fn cost_targets_are_met_at_small_sizes() {
    let folder = std::env::temp_dir().join(format!("orchidyoke-capacity-test-{}", std::process::id()));
    let output = run(&["--out", &folder.display().to_string()]);
    let result = result(&output);
    let missed: Vec<_> = targets(&result).into_iter().filter(|(_, held)| !held).collect();
    assert!(missed.is_empty() && output.status.success(), "{missed:#?}, {:?}", result["unplayed"]);
    assert_eq!(targets(&result).len(), 4);
    for series in result["series"].as_array().expect("series") {
        let points = series["points"].as_array().expect("points").len();
        assert!(points >= 3 && series["r_squared"].is_number(), "{series}");
    }
    for name in ["capacity-forwarder.csv", "capacity-forwarder.md", "capacity-forwarder.svg"] {
        assert!(folder.join(name).is_file(), "{name}");
    }
    let points = std::fs::read_to_string(folder.join("capacity-forwarder-points.csv")).expect("points");
    assert!(points.contains("\ntime to be ready,ms,0% down,destinations listed,3000,"), "{points}");
    std::fs::remove_dir_all(folder).expect("the folder is removed");
}

// Guards against a check that always passes. Under sabotage the forwarder reloads the list before every message, so the
// target for the cost of a message must be missed.
#[test]
fn message_cost_that_grows_with_the_list_misses_its_target() {
    let output = run(&["--sabotage"]);
    assert_eq!(output.status.code(), Some(1), "{output:?}");
    let targets = targets(&result(&output));
    assert!(matches!(&targets[..], [(_, false)]), "{targets:?}");
}

// Guards against an experiment that continues beyond its budget, or that stops without an error.
#[test]
fn too_small_memory_budget_stops_the_run_with_one_error() {
    let output = run(&["--memory-mb", "10"]);
    assert_eq!(output.status.code(), Some(2), "{output:?}");
    let error = String::from_utf8_lossy(&output.stderr);
    assert!(error.contains("over the budget: ") && error.contains("10 MiB are allowed"), "{error}");
}
