//! Tests of what only this module sees.

use super::*;

/// One whose first forwarder, of release `v1`, serves at slot 0.
fn serving() -> Machine {
    let mut machine = Machine::new("v1".into());
    assert_eq!(machine.step(0, Input::Start), [Effect::Spawn(0, "v1".into())]);
    assert_eq!(machine.step(50, Input::Tick), [Effect::CheckReadiness(0)]);
    assert_eq!(machine.step(60, Input::Ready(0)), []);
    assert!(machine.status().settled);
    machine
}

// Guards against a predecessor told to end before its successor takes clients, and against one never killed.
#[test]
fn the_elder_ends_once_the_successor_takes_clients() {
    let mut machine = serving();
    assert_eq!(machine.upgrade(100, "v2").unwrap(), [Effect::Spawn(1, "v2".into())]);
    assert!(!machine.status().settled);
    assert_eq!(machine.upgrade(110, "v2").unwrap(), [], "asked twice is asked once");
    assert!(machine.upgrade(110, "v3").is_err(), "one at a time");
    assert_eq!(machine.step(150, Input::Tick), [Effect::CheckReadiness(1)]);
    assert_eq!(
        machine.step(160, Input::Ready(1)),
        [Effect::PersistRelease("v2".into()), Effect::Terminate(0)]
    );
    assert_eq!(machine.step(160 + TERMINATION_GRACE_MS - 1, Input::Tick), []);
    assert_eq!(machine.step(160 + TERMINATION_GRACE_MS, Input::Tick), [Effect::Kill(0)]);
    assert!(!machine.status().settled, "the predecessor is not gone yet");
    assert_eq!(machine.step(4_000, Input::Exited(0, "signal 9".into())), []);
    let status = machine.status();
    assert!(
        status.settled && status.release == "v2" && status.slot == 1 && status.restarts == 0,
        "{status:?}"
    );
}

// Guards against a fleet left without a forwarder by a release that does not start, or that never gets ready.
#[test]
fn a_successor_that_fails_leaves_the_elder_where_it_is() {
    let mut machine = serving();
    machine.upgrade(100, "v2").unwrap();
    assert_eq!(machine.step(200, Input::Exited(1, "exit status 1".into())), []);
    let status = machine.status();
    assert_eq!((status.release.as_str(), status.settled), ("v1", true));
    assert!(status.failed_upgrade.is_some_and(
        |failed_upgrade| failed_upgrade.release == "v2" && failed_upgrade.reason.contains("status 1")
    ));
    machine.upgrade(300, "v3").unwrap();
    assert_eq!(machine.status().failed_upgrade, None, "asked anew");
    assert_eq!(machine.step(300 + READY_TIMEOUT_MS, Input::Tick), [Effect::Kill(1)]);
    machine.step(7_000, Input::Exited(1, "signal 9".into()));
    let status = machine.status();
    assert!(
        status.settled && status.release == "v1" && status.failed_upgrade.is_some_and(|r| r.release == "v3")
    );
}

// Guards against a forwarder that died and stays down, and against one started in a tight loop.
#[test]
fn one_that_died_is_started_again_after_growing_pauses() {
    let mut machine = serving();
    let (mut now_ms, mut pauses) = (1_000, Vec::new());
    for _ in 0..8 {
        machine.step(now_ms, Input::Exited(0, "signal 9".into()));
        let died = now_ms;
        while machine.step(now_ms, Input::Tick) != [Effect::Spawn(0, "v1".into())] {
            now_ms += 50;
        }
        pauses.push(now_ms - died);
    }
    assert_eq!(pauses, [100, 200, 400, 800, 1_600, 3_200, 5_000, 5_000]);
    assert_eq!(machine.status().restarts, 8);
    // One that held for a while is not made to pay for what was before.
    machine.step(now_ms, Input::Ready(0));
    machine.step(now_ms + BACKOFF_RESET_AFTER_MS, Input::Exited(0, "signal 9".into()));
    assert_eq!(
        machine.step(now_ms + BACKOFF_RESET_AFTER_MS + INITIAL_RESTART_BACKOFF_MS, Input::Tick),
        [Effect::Spawn(0, "v1".into())]
    );
}

// Guards against nobody serving after a predecessor died in the middle of an upgrade.
#[test]
fn the_successor_goes_on_where_its_elder_died() {
    let mut machine = serving();
    machine.upgrade(100, "v2").unwrap();
    assert_eq!(machine.step(150, Input::Exited(0, "signal 9".into())), []);
    assert_eq!(machine.step(200, Input::Tick), [Effect::CheckReadiness(1)]);
    assert_eq!(
        machine.step(9_000, Input::Tick),
        [Effect::CheckReadiness(1)],
        "there is no predecessor to go back to"
    );
    assert_eq!(machine.step(9_100, Input::Ready(1)), [Effect::PersistRelease("v2".into())]);
    assert!(machine.status().settled);
}

// Guards against a release that cannot even start holding off the one that is to replace it.
#[test]
fn one_that_never_served_makes_way_at_once() {
    let mut machine = Machine::new("bad".into());
    machine.step(0, Input::Start);
    machine.step(10, Input::Exited(0, "exit status 1".into()));
    assert_eq!(
        machine.upgrade(20, "v1").unwrap(),
        [Effect::PersistRelease("v1".into()), Effect::Spawn(0, "v1".into())]
    );
    let mut machine = Machine::new("slow".into());
    machine.step(0, Input::Start);
    assert_eq!(
        machine.upgrade(20, "v1").unwrap(),
        [Effect::PersistRelease("v1".into()), Effect::Terminate(0)]
    );
    machine.step(30, Input::Exited(0, "exit status 0".into()));
    assert_eq!(machine.step(130, Input::Tick), [Effect::Spawn(0, "v1".into())]);
}

// Guards against a stop that leaves a process behind, or starts one.
#[test]
fn a_stop_ends_all_and_starts_nothing() {
    let mut machine = serving();
    machine.upgrade(100, "v2").unwrap();
    assert_eq!(machine.step(200, Input::Shutdown), [Effect::Terminate(0), Effect::Terminate(1)]);
    assert!(machine.upgrade(210, "v3").is_err());
    assert_eq!(machine.step(300, Input::Exited(1, String::new())), []);
    assert_eq!(machine.step(200 + TERMINATION_GRACE_MS, Input::Tick), [Effect::Kill(0)]);
    assert_eq!(machine.step(4_000, Input::Exited(0, String::new())), [Effect::Exit]);
}
