//! Tests of the program against endpoints that send surplus bytes after a response, such as a copy of it. A real
//! forwarder runs under client load, and every call that the endpoints received is checked against the rules on
//! duplicates and on lost messages.

use orchidyoke_fakes::surplus_responses::{Restart, Scenario, ScenarioReport, SurplusFault, SurplusForm};
use std::path::Path;
use std::thread;
use std::time::Duration;

/// Share of the responses that are followed by surplus bytes.
const SHARE: f64 = 0.3;

fn copies(delay_ms: u64) -> SurplusFault {
    let delay = Duration::from_millis(delay_ms);
    SurplusFault { form: SurplusForm::Copy, delay, share: SHARE, only_status: None }
}

/// Runs scenarios side by side, each with a forwarder of its own, and checks that none violates a rule.
fn check_all(name: &'static str, scenarios: Vec<Scenario>) {
    let runs = scenarios.into_iter().enumerate().map(|(number, scenario)| {
        thread::spawn(move || {
            let program = Path::new(env!("CARGO_BIN_EXE_orchidyoke"));
            let report = scenario.run(program, &format!("surplus-{name}-{number}"));
            (scenario, report)
        })
    });
    let runs: Vec<_> = runs.collect();
    let results: Vec<_> = runs.into_iter().map(|run| run.join().expect("a run ends")).collect();
    let failures: Vec<_> = results.iter().filter(|(_, report)| !report.violations.is_empty()).collect();
    assert!(failures.is_empty(), "{}", failures.iter().map(|(s, r)| describe(s, r)).collect::<String>());
    for (scenario, report) in &results {
        assert!(report.accepted > 0 && report.delivered > 0, "{}", describe(scenario, report));
        assert!(scenario.fault.is_none() || report.surpluses > 0, "{}", describe(scenario, report));
    }
}

fn describe(scenario: &Scenario, report: &ScenarioReport) -> String {
    let violations: String = report.violations.iter().map(|violation| format!("\n  {violation}")).collect();
    format!(
        "\n{:?} seed {}: {} of {} delivered, {} calls, {} connections, {} violations{violations}",
        scenario.fault,
        scenario.seed,
        report.delivered,
        report.accepted,
        report.calls,
        report.connections,
        report.violations.len()
    )
}

// Guards against a copy of an earlier response that ends the next call on a kept connection: the message of that call
// is lost, executed twice, handed back or in flight twice (issue 50).
#[test]
fn surplus_copies_do_not_end_the_next_call() {
    let scenarios = [0, 6, 40, 150, 400].map(|delay_ms| Scenario::new(50 + delay_ms, Some(copies(delay_ms))));
    check_all("copies", scenarios.into());
}

// Guards against the same after a restart: a copy ends a call of the new process, or a message that was in flight when
// the process ended is sent again (issue 50).
#[test]
fn surplus_copies_beside_restarts_violate_no_rule() {
    let scenario = |restart| Scenario {
        restarts: vec![restart],
        load_time: Duration::from_secs(12),
        ..Scenario::new(7, Some(copies(6)))
    };
    check_all("restarts", vec![scenario(Restart::Terminate), scenario(Restart::Kill)]);
}
