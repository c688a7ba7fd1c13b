//! Tests of the state machine's upgrades, restarts and shutdown.

use super::*;

/// Returns a machine whose first forwarder, of release `v1`, serves in the first slot.
fn serving() -> Machine {
    let mut machine = Machine::new("v1".into());
    assert_eq!(machine.step(0, Input::Start), [spawn(Slot::First, "v1")]);
    assert_eq!(machine.step(50, Input::Tick), [Effect::CheckReadiness(Slot::First)]);
    assert_eq!(machine.step(60, Input::Ready(Slot::First)), []);
    assert!(machine.status().settled);
    machine
}

fn exited(slot: Slot, cause: &str) -> Input {
    Input::Exited { slot, cause: cause.into() }
}

fn spawn(slot: Slot, release: &str) -> Effect {
    Effect::Spawn { slot, release: release.into() }
}

// Guards against a predecessor that is terminated before its successor is ready, and against a predecessor that ignores
// SIGTERM and is never killed.
#[test]
fn ready_successor_terminates_its_predecessor() {
    let mut machine = serving();
    assert_eq!(machine.upgrade(100, "v2").unwrap(), [spawn(Slot::Second, "v2")]);
    assert!(!machine.status().settled);
    assert_eq!(machine.upgrade(110, "v2").unwrap(), [], "a repeated request changes nothing");
    assert!(machine.upgrade(110, "v3").is_err(), "one upgrade at a time");
    assert_eq!(machine.step(150, Input::Tick), [Effect::CheckReadiness(Slot::Second)]);
    assert_eq!(
        machine.step(160, Input::Ready(Slot::Second)),
        [Effect::PersistRelease("v2".into()), Effect::Terminate(Slot::First)]
    );
    assert_eq!(machine.step(160 + TERMINATION_GRACE_MS - 1, Input::Tick), []);
    assert_eq!(machine.step(160 + TERMINATION_GRACE_MS, Input::Tick), [Effect::Kill(Slot::First)]);
    assert!(!machine.status().settled, "the predecessor has not exited yet");
    assert_eq!(machine.step(4_000, exited(Slot::First, "signal 9")), []);
    let status = machine.status();
    assert!(
        status.settled && status.release == "v2" && status.slot == 1 && status.restarts == 0,
        "{status:?}"
    );
}

// Guards against an upgrade that leaves no forwarder serving because its release does not start or never becomes ready.
#[test]
fn failed_successor_leaves_its_predecessor_serving() {
    let mut machine = serving();
    machine.upgrade(100, "v2").unwrap();
    assert_eq!(machine.step(200, exited(Slot::Second, "exit status 1")), []);
    let status = machine.status();
    assert_eq!((status.release.as_str(), status.settled), ("v1", true));
    assert!(status.failed_upgrade.is_some_and(
        |failed_upgrade| failed_upgrade.release == "v2" && failed_upgrade.reason.contains("status 1")
    ));
    machine.upgrade(300, "v3").unwrap();
    assert_eq!(machine.status().failed_upgrade, None, "a new request clears the failed upgrade");
    assert_eq!(machine.step(300 + READY_TIMEOUT_MS, Input::Tick), [Effect::Kill(Slot::Second)]);
    machine.step(7_000, exited(Slot::Second, "signal 9"));
    let status = machine.status();
    assert!(
        status.settled && status.release == "v1" && status.failed_upgrade.is_some_and(|r| r.release == "v3")
    );
}

// Guards against a forwarder that is not restarted after it died, and against restarts without a pause.
#[test]
fn dead_forwarder_restarts_after_doubling_backoff() {
    let mut machine = serving();
    let mut now_ms = 1_000;
    let mut backoffs = Vec::new();
    for _ in 0..8 {
        machine.step(now_ms, exited(Slot::First, "signal 9"));
        let died_at_ms = now_ms;
        while machine.step(now_ms, Input::Tick) != [spawn(Slot::First, "v1")] {
            now_ms += 50;
        }
        backoffs.push(now_ms - died_at_ms);
    }
    assert_eq!(backoffs, [100, 200, 400, 800, 1_600, 3_200, 5_000, 5_000]);
    assert_eq!(machine.status().restarts, 8);
    // A forwarder that served for `BACKOFF_RESET_AFTER_MS` resets the backoff.
    machine.step(now_ms, Input::Ready(Slot::First));
    machine.step(now_ms + BACKOFF_RESET_AFTER_MS, exited(Slot::First, "signal 9"));
    assert_eq!(
        machine.step(now_ms + BACKOFF_RESET_AFTER_MS + INITIAL_RESTART_BACKOFF_MS, Input::Tick),
        [spawn(Slot::First, "v1")]
    );
}

// Guards against an upgrade without any serving forwarder after the predecessor died before the successor was ready.
#[test]
fn successor_becomes_active_when_its_predecessor_dies() {
    let mut machine = serving();
    machine.upgrade(100, "v2").unwrap();
    assert_eq!(machine.step(150, exited(Slot::First, "signal 9")), []);
    assert_eq!(machine.step(200, Input::Tick), [Effect::CheckReadiness(Slot::Second)]);
    assert_eq!(
        machine.step(9_000, Input::Tick),
        [Effect::CheckReadiness(Slot::Second)],
        "there is no predecessor to go back to"
    );
    assert_eq!(machine.step(9_100, Input::Ready(Slot::Second)), [Effect::PersistRelease("v2".into())]);
    assert!(machine.status().settled);
}

// Guards against a release that cannot start, or is not ready yet, and delays the upgrade that would replace it.
#[test]
fn upgrade_immediately_replaces_a_forwarder_that_never_served() {
    let mut machine = Machine::new("bad".into());
    machine.step(0, Input::Start);
    machine.step(10, exited(Slot::First, "exit status 1"));
    assert_eq!(
        machine.upgrade(20, "v1").unwrap(),
        [Effect::PersistRelease("v1".into()), spawn(Slot::First, "v1")]
    );
    let mut machine = Machine::new("slow".into());
    machine.step(0, Input::Start);
    assert_eq!(
        machine.upgrade(20, "v1").unwrap(),
        [Effect::PersistRelease("v1".into()), Effect::Terminate(Slot::First)]
    );
    machine.step(30, exited(Slot::First, "exit status 0"));
    assert_eq!(machine.step(130, Input::Tick), [spawn(Slot::First, "v1")]);
}

// Guards against a shutdown that leaves a process running, or starts one.
#[test]
fn shutdown_terminates_all_processes_and_starts_none() {
    let mut machine = serving();
    machine.upgrade(100, "v2").unwrap();
    assert_eq!(
        machine.step(200, Input::Shutdown),
        [Effect::Terminate(Slot::First), Effect::Terminate(Slot::Second)]
    );
    assert!(machine.upgrade(210, "v3").is_err());
    assert_eq!(machine.step(300, exited(Slot::Second, "")), []);
    assert_eq!(machine.step(200 + TERMINATION_GRACE_MS, Input::Tick), [Effect::Kill(Slot::First)]);
    assert_eq!(machine.step(4_000, exited(Slot::First, "")), [Effect::Exit]);
}
