//! Tests of the program under crowds of clients that keep their connections busy without a sound request, beside
//! regular clients.

use orchidyoke_fakes::client_crowd::{CrowdBehavior, CrowdScenario, CrowdScenarioReport};
use std::path::Path;
use std::thread;
use std::time::Duration;

/// Bytes of a megabyte, the unit of the limit.
const MEGABYTE: u64 = 1_000_000;
/// Pages of the program's file that the release build keeps in memory, in bytes. Those of the test's build are more.
const PROGRAM_FILE_BYTES: u64 = 5 * MEGABYTE;

fn run(name: &str, scenario: &CrowdScenario) -> CrowdScenarioReport {
    scenario.run(Path::new(env!("CARGO_BIN_EXE_orchidyoke")), &format!("crowd-{name}"))
}

/// Checks the limits and the rules on messages.
fn check(scenario: &CrowdScenario, report: &CrowdScenarioReport) {
    let case = format!("{:?}: {report:?}", scenario.crowd);
    assert!(!report.has_crashed, "a process ended by itself: {case}");
    let peak_bytes = report.peak_anonymous_bytes + PROGRAM_FILE_BYTES;
    assert!(peak_bytes <= scenario.memory_mb * MEGABYTE, "over the memory limit: {case}");
    assert!(report.max_descriptors <= scenario.descriptors, "over the limit on descriptors: {case}");
    assert_eq!(report.left_open, 0, "a bad client had neither an answer nor a close in 3 s: {case}");
    assert!(report.lost.is_empty() && report.sent_again.is_empty(), "{case}");
    assert!(report.count("202") > 0, "no regular client was served: {case}");
}

/// Runs a crowd of 600 clients of each kind, side by side.
fn check_crowds(behaviors: &[CrowdBehavior]) {
    let runs = behaviors.iter().map(|behavior| {
        let mut scenario = CrowdScenario::new(*behavior, 600);
        scenario.crowd_time = Duration::from_secs(4);
        thread::spawn(move || (run(&format!("{:?}", scenario.crowd[0].behavior), &scenario), scenario))
    });
    for run in runs.collect::<Vec<_>>() {
        let (report, scenario) = run.join().expect("a run ends");
        check(&scenario, &report);
    }
}

// Guards against hundreds of clients that stop half way through a large request, write it slowly, or send long heads, and
// drive the process over its memory limit (issue 60).
#[test]
fn crowd_of_incomplete_requests_stays_within_the_memory_limit() {
    check_crowds(&[
        CrowdBehavior::HalfBody,
        CrowdBehavior::HalfBodyShortFields,
        CrowdBehavior::TrickledBody,
        CrowdBehavior::EndlessHead,
    ]);
}

// Guards against connections to endpoints that each keep a copy of the largest call that they have carried, until hundreds
// of them drive the process over its memory limit (issue 60).
#[test]
fn crowd_of_whole_large_requests_stays_within_the_memory_limit() {
    check_crowds(&[CrowdBehavior::WholeBodies]);
}
