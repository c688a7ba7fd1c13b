//! Restarts of the reducer from the content of its journal.

mod common;

use bytes::Bytes;
use common::shape::Shape;
use common::steps::Step;
use common::world::{SilentCatalogue, World, reducer, watch_source};
use common::{SECOND, START};
use orchidyoke_core::endpoint_list::{EndpointEntry, EndpointState, WatchEvent};
use orchidyoke_core::interface::Micros;
use orchidyoke_forwarder::catalogue::Catalogue;
use orchidyoke_forwarder::config::Config;
use orchidyoke_forwarder::input::{Effect, Input, OtherProcessUpdate, Submission, WatchSource};
use orchidyoke_forwarder::ownership::ReceivedMark;
use orchidyoke_forwarder::reducer::Reducer;
use orchidyoke_journal::{FinalAnswer, Record, replay};
use std::collections::VecDeque;
use std::rc::Rc;

// Guards against changes of a list that are taken for the whole list. The configuration's list was not in the journal,
// so after a restart only the endpoints that had changed since were left.
#[test]
fn restart_keeps_unchanged_endpoints() {
    let mut world = World::new();
    world.step(0, Step::List { selector: 3, state: EndpointState::Draining });
    world.restart();
    world.submit("x".to_owned(), false, 2, 10);
    world.wait(10_000);
    assert!(
        world.messages["x"].accepted && !world.connections.is_empty(),
        "destination 2 must still be known, and a connection to it requested"
    );
}

// Guards against a restart that forgets a drain. The configuration's list is older than the one that discovery sent.
#[test]
fn restart_keeps_draining_endpoints() {
    let mut world = World::new();
    world.step(0, Step::List { selector: 2, state: EndpointState::Draining });
    world.restart();
    world.submit("x".to_owned(), false, 2, 10);
    world.wait(10_000);
    assert!(world.messages["x"].accepted && world.connections.is_empty());
}

// Guards against a restart whose first append causes a compaction. If it takes place before the messages are restored,
// the compacted journal lacks them.
#[test]
fn restart_with_a_full_journal_loses_no_message() {
    let mut world = World::new();
    // The endpoint drains, so the message stays undelivered.
    world.step(0, Step::List { selector: 2, state: EndpointState::Draining });
    world.submit("kept".to_owned(), true, 2, 10);
    world.wait(10_000);
    let mut compactions = 0;
    for number in 0..2000 {
        world.submit(format!("m{number}"), false, 3, 10);
        world.wait(10_000);
        world.step(number, Step::Connect { selector: number, established: true });
        world.answer(0, 0);
        if world.file.len() > 160_000 {
            let first = reducer(world.shape, &world.file, world.now).step(world.now, Input::TimerDue);
            for effect in first {
                if let Effect::CompactJournal { bytes } = effect {
                    compactions += 1;
                    let kept = |(record, _): &(Record, Bytes)| {
                        matches!(record, Record::Accepted(accepted) if accepted.id == "kept")
                            || matches!(record, Record::AnswerDecided { message, .. } if message == "kept")
                    };
                    assert!(replay(bytes).0.iter().any(kept), "after message {number}");
                }
            }
        }
    }
    assert!(compactions > 0, "no restart caused a compaction, so the test checked nothing");
}

// Guards against a restart that returns to the address from the command line that a reload has superseded, and against
// one that keeps the address from the file although a newer address is given on the command line.
#[test]
fn restart_after_a_reload_keeps_the_files_discovery() {
    let config = |port: u16, given: Option<&str>| {
        let text = common::config("127.0.0.1:1", &format!("127.0.0.1:{port}"), common::endpoint_entries());
        Config::read(&text, None, given).expect("the configuration is valid")
    };
    let watched_port = |file: &mut Vec<u8>, config: Config, reload: Option<Config>| {
        let (records, complete_bytes) = replay(Bytes::copy_from_slice(file));
        let mut reducer = Reducer::new(config, 0, records, complete_bytes, START);
        let inputs = [Some(Input::TimerDue), reload.map(|config| Input::ConfigReloaded(Box::new(config)))];
        let mut port = 0;
        for effect in inputs.into_iter().flatten().flat_map(|input| reducer.step(START, input)) {
            match effect {
                Effect::Append { bytes, .. } => file.extend_from_slice(&bytes),
                Effect::StartWatch { source, .. } => port = watch_source(&source).0,
                _ => {}
            }
        }
        port
    };
    let (old, new) = (Some("127.0.0.1:2"), Some("127.0.0.1:5"));
    let mut file = Vec::new();
    assert_eq!(
        watched_port(&mut file, config(3, old), None),
        2,
        "the address from the command line must be used at the first start"
    );
    assert_eq!(watched_port(&mut file, config(2, old), Some(config(3, old))), 3);
    assert_eq!(
        watched_port(&mut file, config(4, old), None),
        4,
        "the current address from the file must be used"
    );
    assert_eq!(watched_port(&mut file, config(4, new), None), 5);
}

// Guards against a successor that goes back to the address from the command line, which a reload in the predecessor has
// superseded, so that its watch and its notifications reach nobody. Also guards against one that forgets the reload
// with the predecessor's file, and against one that ignores a newer address on the command line.
#[test]
fn successor_keeps_the_discovery_that_its_predecessor_has_reloaded() {
    let config = |given: &str| {
        let text = common::config("127.0.0.1:1", "127.0.0.1:3", common::endpoint_entries());
        Config::read(&text, None, Some(given)).expect("the configuration is valid")
    };
    let superseded = Record::DiscoverySuperseded { discovery: "127.0.0.1:2".parse().expect("an address") };
    let update = |records: Vec<Record>| Input::OtherProcessesUpdated {
        updates: vec![OtherProcessUpdate {
            generation: 0,
            rewritten: false,
            records: records.into_iter().map(|record| (record, Bytes::new())).collect(),
            size: 100,
            ended: false,
        }],
        removed: Vec::new(),
    };
    let owed = Record::AnswerDecided { message: "m".to_owned(), at: START, answer: FinalAnswer::Failed };
    for (given, reloads_at_start, expected_port) in
        [("127.0.0.1:2", true, 3), ("127.0.0.1:2", false, 3), ("127.0.0.1:5", true, 5)]
    {
        let answers = vec![(owed.clone(), Bytes::new())];
        let mut successor = Reducer::new(config(given), 1, answers, 0, START);
        let (mut file, mut watched, mut posted_to, mut reloads) = (Vec::new(), 0, 0, 0);
        let inputs = if reloads_at_start {
            vec![update(vec![superseded.clone()]), Input::TimerDue]
        } else {
            vec![
                update(Vec::new()),
                Input::TimerDue,
                Input::NotificationsPosted { accepted: false },
                update(vec![superseded.clone()]),
            ]
        };
        for effect in inputs.into_iter().flat_map(|input| successor.step(START, input)) {
            match effect {
                Effect::Append { bytes, .. } => file.extend_from_slice(&bytes),
                Effect::StartWatch { source, .. } => watched = watch_source(&source).0,
                Effect::PostNotifications { address, .. } => posted_to = address.port(),
                Effect::ReloadConfig => reloads += 1,
                _ => {}
            }
        }
        let case = format!("given={given} reloads_at_start={reloads_at_start}");
        assert_eq!((watched, posted_to), (expected_port, expected_port), "{case}");
        assert_eq!(
            reloads,
            u32::from(expected_port == 3),
            "the file may be newer than what was read: {case}"
        );
        // The next process has the successor's file alone.
        let (records, complete_bytes) = replay(Bytes::copy_from_slice(&file));
        let mut next = Reducer::new(config(given), 1, records, complete_bytes, START);
        let watched = next.step(START, Input::TimerDue).into_iter().find_map(|effect| match effect {
            Effect::StartWatch { source, .. } => Some(watch_source(&source).0),
            _ => None,
        });
        assert_eq!(watched, Some(expected_port), "{case}");
    }
}

// Guards against a restart that replaces the last list of a catalogue by the configuration's list.
#[test]
fn restart_keeps_the_last_catalogue_list() {
    let config = || {
        let text = common::config("127.0.0.1:1", "127.0.0.1:2", common::endpoint_entries());
        let catalogue = Some(Rc::new(SilentCatalogue("c1")) as Rc<dyn Catalogue>);
        Config { catalogue, ..Config::read(&text, None, None).expect("the configuration is valid") }
    };
    let mut file = Vec::new();
    let mut watched_lists = Vec::new();
    for start in 0..2 {
        let (records, complete_bytes) = replay(Bytes::copy_from_slice(&file));
        let mut reducer = Reducer::new(config(), 0, records, complete_bytes, START);
        let added = EndpointEntry { uid: format!("n1/web-{start}"), ..common::endpoint_entries()[0].clone() };
        let entries = vec![
            EndpointEntry { state: EndpointState::Removed, ..common::endpoint_entries()[3].clone() },
            added,
        ];
        let update =
            WatchEvent { version: 0, is_snapshot: false, endpoints: entries, origin: "c1".to_owned() };
        let inputs = [Input::TimerDue, Input::WatchEvent { watch: 1, event: update }];
        for effect in inputs.into_iter().flat_map(|input| reducer.step(START, input)) {
            match effect {
                Effect::Append { bytes, .. } => file.extend_from_slice(&bytes),
                Effect::StartWatch { source: WatchSource::Catalogue { list: sent, .. }, .. } => {
                    watched_lists.push(sent)
                }
                _ => {}
            }
        }
    }
    let uids: Vec<_> = watched_lists[1].endpoints.iter().map(|endpoint| endpoint.uid.as_str()).collect();
    assert_eq!((watched_lists[0].endpoints.len(), uids), (4, vec!["n1/web-0", "s-a", "s-b", "s-c"]));
}

// Guards against an accepted message that is in no file. If the journal was compacted in the same step in which the
// message's record was appended, the new file lacked the record.
#[test]
fn compaction_keeps_appends_of_the_same_step() {
    for size in (100..1300).step_by(60) {
        let mut world = World::new();
        for number in 0..400 {
            world.submit(format!("m{number}"), true, 2, size);
            world.wait(5_000);
            while let Some(connection_id) = world.pick_connection(0, |connection| !connection.established) {
                world.connections.get_mut(&connection_id).expect("the connection exists").established = true;
                world.input(Input::ConnectionUp { connection: connection_id });
            }
            world.answer(0, 0);
        }
        world.check_journal();
    }
}

// Guards against a kill that loses the idempotency key of a message or the zone of an attempt that may have delivered
// it, and against a deduplication window that starts again with the process.
#[test]
fn kill_keeps_idempotency_key_zone_and_window() {
    for (pause, moves, calls) in [(0, false, 2), (0, true, 1), (3 * SECOND, false, 1)] {
        let mut world = World::of(Shape::Second);
        world.submit("held".to_owned(), true, 2, 10);
        world.wait(10_000);
        world.step(1, Step::Connect { selector: 0, established: true });
        assert_eq!(world.messages["held"].calls, 1);
        let first = world
            .connections
            .values()
            .find(|connection| connection.call.is_some())
            .map(|connection| connection.sent.1.clone())
            .expect("a call is in flight");
        world.now += pause;
        if moves {
            // While the process is not running, the endpoint moves to the other zone and keeps its uid.
            let index = world
                .list
                .iter()
                .position(|endpoint| endpoint.destination == 2 && endpoint.zone == first)
                .expect("the endpoint is listed");
            world.list_version += 1;
            world.list[index].zone = if first == "a" { "b" } else { "a" }.to_owned();
        }
        world.restart();
        for _ in 0..40 {
            world.wait(50_000);
            world.step(1, Step::Connect { selector: 0, established: true });
        }
        assert_eq!(
            world.messages["held"].calls, calls,
            "the message must be repeated only in its zone and window, with its key"
        );
        world.wait(5 * SECOND);
        world.post(true);
        assert_eq!(
            world.messages["held"].notification,
            Some(FinalAnswer::Failed),
            "the message must fail once no endpoint drops its repeat"
        );
    }
}

/// Runs a reducer of the second deployment with a deduplication window of one second on the content of a file. Every
/// connection is established immediately, and no endpoint replies. Returns when calls were written, and when which
/// final answers were posted.
fn run_with_one_second_window(
    file: &mut Vec<u8>,
    submission: Option<Submission>,
    from: Micros,
    duration: Micros,
) -> (Vec<Micros>, Vec<(Micros, FinalAnswer)>) {
    let text = common::second_config("127.0.0.1:1", "127.0.0.1:2", common::second_endpoint_entries());
    let text = text.replace("\"window_us\":2000000", "\"window_us\":1000000");
    let config = Config::read(&text, None, None).expect("the configuration is valid");
    let (records, complete_bytes) = replay(Bytes::copy_from_slice(file));
    let mut reducer = Reducer::new(config, 0, records, complete_bytes, from);
    let (mut written, mut posted) = (Vec::new(), Vec::new());
    let mut inputs = VecDeque::from([Input::TimerDue]);
    inputs.extend(submission.map(|message| Input::Submitted { request: 1, message }));
    let mut now = from;
    while now < from + duration {
        while let Some(input) = inputs.pop_front() {
            for effect in reducer.step(now, input) {
                match effect {
                    Effect::Append { append: append_id, bytes } => {
                        file.extend_from_slice(&bytes);
                        inputs.push_back(Input::Appended {
                            append: append_id,
                            stored: true,
                            size: file.len(),
                        });
                    }
                    Effect::Connect { connection: connection_id, .. } => {
                        inputs.push_back(Input::ConnectionUp { connection: connection_id })
                    }
                    Effect::SendCall { .. } => written.push(now),
                    Effect::PostNotifications { notifications: final_answers, .. } => {
                        posted.extend(final_answers.into_iter().map(|(_, answer)| (now, answer)));
                        inputs.push_back(Input::NotificationsPosted { accepted: true });
                    }
                    _ => {}
                }
            }
        }
        now += 5_000;
        inputs.push_back(Input::TimerDue);
    }
    (written, posted)
}

// Guards against a deduplication window that a restart loses or counts from its own start. The window is one second,
// and the process is killed while the first attempt is in flight. A repeat may be sent only within the window, and
// after the window the final answer is posted immediately.
#[test]
fn one_second_window_is_counted_across_a_restart() {
    for (gap, repeats) in [(600_000, true), (900_000, true), (1_100_000, false), (5 * SECOND, false)] {
        let submission = Submission {
            id: "a".to_owned(),
            class: "bread".to_owned(),
            tenant: None,
            idempotency_key: Some("k".to_owned()),
            destination: 2,
            time_left: 20 * SECOND,
            is_retry: false,
            handover_mark: ReceivedMark::Absent,
            body: Bytes::from_static(b"x"),
        };
        let mut file = Vec::new();
        let (written, _) = run_with_one_second_window(&mut file, Some(submission), START, 20_000);
        assert_eq!(written.len(), 1, "the first attempt must be in flight");
        let first = written[0];
        let (written, posted) = run_with_one_second_window(&mut file, None, first + gap, 4 * SECOND);
        // A pause of 150 ms before the write must not delay a repeat beyond the window and the 50 ms of sockets.
        let last_at = first + SECOND - 100_000;
        assert!(written.iter().all(|at| *at < last_at), "{gap}: {written:?} after {first}");
        assert!(
            !written.is_empty() || !repeats || gap > 850_000,
            "{gap}: a repeat must be sent, because there was time for it"
        );
        if written.is_empty() {
            let (at, _) = posted[0];
            assert!(
                at <= first + gap.max(SECOND) + 100_000,
                "{gap}: the final answer was posted at {at}, {} us after the start",
                at - first - gap
            );
        }
    }
}
