//! Two or more processes on one folder, in memory: upgrades with a kill between any two effects. The checks are made
//! from the point of view of clients, endpoints, operators and the platform, which see the processes as one forwarder.

mod common;

use bytes::Bytes;
use common::processes::{Processes, Step};
use common::{SECOND, endpoint_entries};
use orchidyoke_core::endpoint_list::{EndpointEntry, EndpointList};
use orchidyoke_core::interface::Micros;
use orchidyoke_forwarder::endpoint_call::EndpointReply;
use orchidyoke_forwarder::input::{Input, SubmitAnswer};
use orchidyoke_journal::{ProcessStage, Record, replay};
use quickcheck::{Gen, QuickCheck};

// Guards against a message that an upgrade loses, that two processes send, or that ends twice. Also guards against a
// Retry-After, an override or an attempt that one process knows and the other does not, and against a folder that
// exceeds its limit. A kill may take place between any two effects, and at most three processes run.
#[test]
fn invariants_hold_over_all_processes_of_a_folder() {
    fn holds(steps: Vec<Step>) -> bool {
        let mut world = Processes::new();
        for (number, step) in steps.into_iter().enumerate() {
            world.step(number, step);
        }
        world.finish();
        true
    }
    for seed in 0..4 {
        let generator = Gen::from_size_and_seed(300, 100 + seed);
        QuickCheck::new().tests(30).rng(generator).quickcheck(holds as fn(Vec<Step>) -> bool);
    }
}

// Guards against a handover that takes as long as the calls of the older process. The successor must send the queued
// messages immediately, and a call in flight stays with the older process until it ends.
#[test]
fn queued_messages_go_to_the_successor_and_calls_in_flight_stay() {
    let mut world = Processes::new();
    for number in 0..3 {
        world.submit(0, format!("m{number}"), true, 2, 10);
    }
    world.wait(SECOND / 10);
    let (_, first) =
        world.pick_connection(0, |connection| !connection.established).expect("a connection is requested");
    world.processes[0].connections.get_mut(&first).expect("the connection exists").established = true;
    world.input(0, Input::ConnectionUp { connection: first });
    world.start();
    world.submit(1, "m3".to_owned(), true, 2, 10);
    world.wait(SECOND);
    assert!(
        world.processes[1].connections.is_empty(),
        "the newer process must not begin attempts while the older one does"
    );
    world.poll_other_journals(0);
    world.input(0, Input::Shutdown);
    assert!(world.processes[0].handed_over);
    world.wait(SECOND / 20);
    assert_eq!(world.processes[0].connections.len(), 1, "the call of the older process must continue");
    assert_eq!(world.processes[1].connections.len(), 1, "the successor must begin attempts");
    let open_messages = |world: &Processes, at: usize| world.processes[at].reducer.gauges().open_messages;
    assert_eq!((open_messages(&world, 0), open_messages(&world, 1)), (1, 3));
    // The call ends without delivery, so its message then belongs to the successor.
    let call = world.processes[0]
        .connections
        .get_mut(&first)
        .and_then(|connection| connection.call.take())
        .expect("a call is in flight");
    let reply = EndpointReply { status: 503, is_bulk: call.is_bulk, ..EndpointReply::default() };
    world.input(0, Input::CallAnswered { connection: first, reply, reusable: true });
    world.wait(SECOND / 20);
    assert_eq!(open_messages(&world, world.processes.len() - 1), 4);
    world.wait(SECOND);
    assert_eq!(world.processes.len(), 1, "the older process must exit once it has nothing left to do");
    assert_eq!(world.files.len(), 1, "the file of the older process must be taken over");
    let (records, _) = replay(Bytes::copy_from_slice(&world.files[&1].bytes));
    assert!(records.iter().any(|(record, _)| *record == Record::ProcessStage { stage: ProcessStage::Ready }));
}

// Guards against a newer process that dies before the older one is asked to end. The older process takes over the
// messages that the newer one had accepted, and continues as before.
#[test]
fn older_process_takes_over_from_a_killed_newer_one() {
    let mut world = Processes::new();
    world.start();
    world.submit(1, "a".to_owned(), true, 2, 10);
    world.wait(SECOND / 50);
    assert!(world.messages["a"].accepted);
    world.kill(1);
    world.wait(SECOND / 50);
    assert_eq!((world.processes[0].connections.len(), world.files.len()), (1, 1));
}

// Guards against an endpoint that one process has ejected and the other has not, regardless of which process received
// the command.
#[test]
fn operator_override_reaches_both_processes() {
    for at in [0, 1] {
        let mut world = Processes::new();
        world.start();
        world.operate(at, "s-c", true);
        world.wait(SECOND / 50);
        assert!(world.processes.iter().all(|process| process.reducer.gauges().avoided_endpoints >= 1));
        world.input(0, Input::Shutdown);
        world.submit(1, "a".to_owned(), true, 2, 10);
        world.wait(3 * SECOND);
        assert!(
            world.processes.iter().all(|process| process.connections.is_empty()),
            "command at process {at}"
        );
        let last = world.processes.len() - 1;
        world.operate(last, "s-c", false);
        world.wait(SECOND);
        assert_eq!(world.processes[last].connections.len(), 1, "command at process {at}");
    }
}

/// Submits two messages with one id, in this order of processes, and returns the answers. `pause` is the time between
/// them.
fn submit_one_id_twice(
    world: &mut Processes,
    order: [usize; 2],
    sizes: [usize; 2],
    pause: Micros,
) -> Vec<SubmitAnswer> {
    let first = world.answers.len();
    for (process_index, size) in order.into_iter().zip(sizes) {
        world.submit(process_index, "shared".to_owned(), true, 2, size);
        world.wait(pause);
    }
    world.wait(SECOND / 20);
    world.answers[first..].iter().map(|(_, _, answer)| *answer).collect()
}

// Guards against two messages with one id that two processes accept, so that one of them is lost: in the same moment,
// and one after the other, before and after the predecessor has handed off.
#[test]
fn one_id_is_accepted_for_one_message_by_both_processes_together() {
    for order in [[0, 1], [1, 0]] {
        for pause in [0, SECOND / 20] {
            for hands_off in [false, true] {
                let mut world = Processes::new();
                world.start();
                world.wait(SECOND / 20);
                if hands_off {
                    // A call keeps the predecessor running.
                    world.submit(0, "out".to_owned(), true, 3, 10);
                    world.wait(SECOND / 20);
                    let (_, id) = world.pick_connection(0, |_| true).expect("a connection is requested");
                    world.processes[0].connections.get_mut(&id).expect("it exists").established = true;
                    world.input(0, Input::ConnectionUp { connection: id });
                    world.input(0, Input::Shutdown);
                    assert!(world.processes[0].handed_over);
                }
                let case = format!("order={order:?} pause={pause} hands_off={hands_off}");
                let answers = submit_one_id_twice(&mut world, order, [10, 20], pause);
                assert_eq!(answers.len(), 2, "{case}");
                let accepted = answers.iter().filter(|answer| **answer == SubmitAnswer::Accepted).count();
                assert_eq!(accepted, 1, "{case}: {answers:?}");
                assert!(answers.contains(&SubmitAnswer::IdInUse), "{case}: {answers:?}");
                world.finish();
            }
        }
    }
}

// Guards against a message that a client submits again to the other process, and that both processes then hold and
// send.
#[test]
fn same_message_at_both_processes_is_held_by_one() {
    for order in [[0, 1], [1, 0]] {
        for pause in [0, SECOND / 20] {
            let mut world = Processes::new();
            world.start();
            world.wait(SECOND / 20);
            let answers = submit_one_id_twice(&mut world, order, [10, 10], pause);
            assert_eq!(answers, [SubmitAnswer::Accepted; 2], "order={order:?} pause={pause}");
            let held = world.processes.iter().map(|process| process.reducer.gauges().open_messages);
            assert_eq!(held.sum::<usize>(), 1, "order={order:?} pause={pause}");
            world.finish();
        }
    }
}

// Guards against a message that is accepted although it cannot be found out what the other process has accepted, and
// against one that is left without an answer then.
#[test]
fn message_is_rejected_while_the_other_process_cannot_be_read() {
    let mut world = Processes::new();
    world.start();
    world.submit(0, "blocked".to_owned(), true, 2, 10);
    world.input(0, Input::AdmissionBlocked);
    world.wait(SECOND / 20);
    let answers: Vec<_> = world.answers.iter().map(|(_, _, answer)| *answer).collect();
    assert!(matches!(answers[..], [SubmitAnswer::Rejected(_)]), "{answers:?}");
    world.submit(0, "blocked".to_owned(), true, 2, 10);
    world.wait(SECOND / 20);
    assert_eq!(world.answers.last().map(|(_, _, answer)| *answer), Some(SubmitAnswer::Accepted));
    world.finish();
}

// Guards against a message that the successor takes for one that the predecessor has delivered, because it has the same
// id and the predecessor's journal was compacted at the hand-off.
#[test]
fn id_of_a_message_delivered_by_the_predecessor_is_not_accepted_for_another_one() {
    let mut world = Processes::new();
    world.start();
    world.submit(0, "shared".to_owned(), true, 2, 10);
    world.wait(SECOND / 20);
    world.deliver_all();
    assert!(world.messages["shared"].delivered);
    world.wait(SECOND / 20);
    world.poll_other_journals(0);
    world.input(0, Input::Shutdown);
    world.wait(SECOND / 20);
    let last = world.processes.len() - 1;
    for (size, answer) in [(20, SubmitAnswer::IdInUse), (10, SubmitAnswer::Accepted)] {
        world.submit(last, "shared".to_owned(), true, 2, size);
        assert_eq!(world.answers.last().map(|(_, _, answer)| *answer), Some(answer), "size {size}");
    }
}

/// Limit of the folder and number of endpoints as the platform's pages name them.
const PLATFORM_FOLDER_BYTES: usize = 3_000_000;
const PLATFORM_ENDPOINTS: u64 = 3_200;
/// Largest body that a client may send.
const MAX_BODY_BYTES: usize = 64 << 10;

/// Size of the journal's file before an upgrade. A single process with the long list compacts it a little later.
const FILLED_BYTES: usize = 2_150_000;
/// Size of the bodies that fill the journal before an upgrade.
const FILL_BODY_BYTES: usize = 20_000;

/// Returns a long list. Only its first endpoints get messages.
fn long_list() -> Vec<EndpointEntry> {
    let mut endpoints = endpoint_entries();
    for number in endpoints.len() as u64..PLATFORM_ENDPOINTS {
        endpoints.push(EndpointEntry {
            uid: format!("s-5be2a07c9d41-{number:04}"),
            kind: "payment-partners".to_owned(),
            zone: "vitoria".to_owned(),
            destination: number,
            ..endpoints[0].clone()
        });
    }
    endpoints
}

/// What happens to the processes of an upgrade.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Ending {
    /// The predecessor is terminated and exits by itself.
    Terminated,
    /// The predecessor is killed before it has seen its successor.
    PredecessorKilledUnseen,
    /// The predecessor is killed after it has seen its successor.
    PredecessorKilled,
    /// The predecessor is killed after it has handed off.
    PredecessorKilledAfterHandOff,
    /// The successor is killed, and another one is started.
    SuccessorKilled,
}

/// Submits messages of this size to all processes that accept clients, delivers them, and lets time pass.
fn exchange(world: &mut Processes, rounds: usize, size: usize, first: &mut usize) {
    for _ in 0..rounds {
        for process_index in 0..world.processes.len() {
            *first += 1;
            world.submit(
                process_index,
                format!("m{first}"),
                first.is_multiple_of(4),
                1 + *first as u64 % 3,
                size,
            );
        }
        // Large messages come as seldom as a client's bandwidth allows.
        world.wait(if size == MAX_BODY_BYTES { SECOND / 5 } else { SECOND / 50 });
        world.deliver_all();
    }
}

/// Fills the journal nearly up to the size at which a single process compacts it, upgrades the process, and then upgrades it once more.
fn upgrade_with_a_long_list(size: usize, ending: Ending) {
    let mut world = Processes::with_folder(PLATFORM_FOLDER_BYTES, long_list());
    let mut first = 0;
    while world.files[&0].bytes.len() < FILLED_BYTES {
        exchange(&mut world, 1, FILL_BODY_BYTES, &mut first);
    }
    for _ in 0..2 {
        let accepted = |world: &Processes| world.messages.values().filter(|message| message.accepted).count();
        world.start();
        if ending == Ending::PredecessorKilledUnseen {
            world.kill(0);
        }
        exchange(&mut world, 20, size, &mut first);
        let before = accepted(&world);
        exchange(&mut world, 5, size, &mut first);
        assert!(
            accepted(&world) > before,
            "messages must be accepted during the upgrade: {ending:?} size={size} files={:?}",
            world.files.iter().map(|(generation, file)| (*generation, file.bytes.len())).collect::<Vec<_>>()
        );
        match ending {
            Ending::SuccessorKilled => {
                world.kill(1);
                exchange(&mut world, 5, size, &mut first);
                world.start();
                exchange(&mut world, 5, size, &mut first);
            }
            Ending::PredecessorKilled => world.kill(0),
            _ => {}
        }
        if world.processes.len() > 1 {
            world.poll_other_journals(0);
            world.input(0, Input::Shutdown);
            exchange(&mut world, 20, size, &mut first);
            if ending == Ending::PredecessorKilledAfterHandOff && world.processes.len() > 1 {
                world.kill(0);
            }
        }
        world.wait(5 * SECOND);
        world.deliver_all();
        assert_eq!((world.processes.len(), world.files.len()), (1, 1), "{ending:?}");
        let file = world.files.values().next().expect("one file");
        let (records, _) = replay(Bytes::copy_from_slice(&file.bytes));
        let mut list = EndpointList::default();
        for (record, _) in &records {
            if let Record::EndpointList(event) = record {
                list.apply(event);
            }
        }
        assert_eq!(list.len(), world.endpoints.len(), "the file that is left must hold the list: {ending:?}");
    }
    world.finish();
}

// Guards against a folder that exceeds its limit in an upgrade with a long list, because each process writes the whole
// list and none has room to compact its file. Also guards against messages that are rejected for that reason, and
// against a file without a list.
#[test]
fn upgrade_with_a_long_list_stays_within_the_folders_limit() {
    let endings = [
        Ending::PredecessorKilled,
        Ending::Terminated,
        Ending::PredecessorKilledUnseen,
        Ending::PredecessorKilledAfterHandOff,
        Ending::SuccessorKilled,
    ];
    for ending in endings {
        for size in [3_000, MAX_BODY_BYTES] {
            upgrade_with_a_long_list(size, ending);
        }
    }
}
