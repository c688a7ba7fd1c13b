//! Tests of the quick run of `capacity-control`: its counts of work, its sabotage, and its stop at the budget.

use serde_json::Value;
use std::io::Write;
use std::path::Path;
use std::process::{Command, Output, Stdio};

const EXPERIMENTS: &str = env!("CARGO_BIN_EXE_orchidyoke-experiments");

fn run_quick(more: &[&str]) -> Output {
    let arguments = ["run", "capacity-control", "--quick"];
    Command::new(EXPERIMENTS).args(arguments).args(more).output().expect("the experiments start")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// Returns the JSON object on the last line of the output.
fn result(output: &Output) -> Value {
    let text = text(&output.stdout);
    let last = text.lines().last().expect("a line");
    serde_json::from_str(last).unwrap_or_else(|error| panic!("{error}: {last}"))
}

/// Returns the values of a quantity in a scenario with the smaller fleet and with the larger one.
fn values(result: &Value, scenario: &str, what: &str) -> [f64; 2] {
    let rows = result["rows"].as_array().expect("rows");
    let row = rows.iter().find(|row| row["scenario"] == scenario && row["what"] == what);
    let row = row.unwrap_or_else(|| panic!("no row {scenario}, {what}"));
    [0, 1].map(|size| row["values"][size][1].as_f64().expect("a number"))
}

// Guards against control work per forwarder that grows with the fleet, for a change or at rest, and against a run that
// measures nothing.
#[test]
fn work_of_a_forwarder_is_independent_of_the_fleet_size() {
    let folder = std::env::temp_dir().join(format!("orchidyoke-capacity-control-{}", std::process::id()));
    let output = run_quick(&["--seed", "7", "--out", folder.to_str().expect("a path")]);
    assert_eq!(output.status.code(), Some(0), "{}{}", text(&output.stdout), text(&output.stderr));
    let result = result(&output);
    let assert_level = |scenario: &str, what: &str, least: f64| {
        let [small, large] = values(&result, scenario, what);
        assert!(small >= least && large >= least, "{scenario}, {what}: {small} and {large}");
        assert!(large <= 1.6 * small, "{scenario}, {what}: {small} with 10 and {large} with 30");
    };
    // At rest each TTL has a renewal and a blocking query. A change has two blocking queries, a vote and a report of
    // the policy in force, each with a renewal.
    assert_level("at rest", "policy requests/s a forwarder", 0.5);
    assert_level("one change", "policy requests a forwarder", 4.0);
    assert_level("one change", "policy B a forwarder", 1_000.0);
    // All members of the region read each restart, and each answer lists all members.
    let [small, large] = values(&result, "one restart", "duties B a forwarder");
    assert!(small > 0.0 && large <= 3.0 * 1.5 * small, "{small} with 10 and {large} with 30");
    for kind in ["csv", "md", "svg"] {
        assert!(Path::new(&folder).join(format!("capacity-control.{kind}")).is_file(), "{kind}");
    }
    drop(std::fs::remove_dir_all(&folder));
}

// Guards against rules that no run can violate. Under sabotage each forwarder reads all members, which must violate a
// rule.
#[test]
fn fleet_whose_members_read_each_other_violates_a_rule() {
    let output = run_quick(&["--sabotage"]);
    assert_eq!(output.status.code(), Some(1), "{}{}", text(&output.stdout), text(&output.stderr));
    let text = text(&output.stdout);
    let broken: Vec<&str> = text.lines().filter(|line| line.starts_with("broken: one change")).collect();
    assert!(!broken.is_empty(), "{text}");
}

// Guards against an experiment that exceeds its budget, or that fails halfway because of a limit of the machine.
#[test]
fn run_stops_before_it_exceeds_its_budget() {
    let script = "ulimit -n 80; exec \"$0\" run capacity-control --quick";
    let output = Command::new("sh").args(["-c", script, EXPERIMENTS]).output().expect("a shell");
    assert_eq!(output.status.code(), Some(2), "{}", text(&output.stdout));
    let error = text(&output.stderr);
    assert!(error.contains("over the budget") && error.contains("descriptors"), "{error}");
}

#[test]
fn child_without_a_role_exits_with_an_error() {
    let child = Command::new(EXPERIMENTS)
        .arg("capacity-child")
        .stdin(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the experiments start");
    writeln!(child.stdin.as_ref().expect("a pipe"), "{{}}").expect("written");
    let output = child.wait_with_output().expect("the child exits");
    assert_eq!(output.status.code(), Some(2));
    assert!(text(&output.stderr).contains("no role"), "{}", text(&output.stderr));
}
