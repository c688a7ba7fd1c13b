//! Two processes and more on one folder, in memory: upgrades with a kill between any two effects. What is checked is what
//! clients, next hops, operators and the platform would see of them as one forwarder.

mod common;

use bytes::Bytes;
use common::S;
use common::processes::{Processes, Step};
use orchidyoke_forwarder::endpoint_call::EndpointReply;
use orchidyoke_forwarder::input::Input;
use orchidyoke_journal::{ProcessStage, Record, replay};
use quickcheck::{Gen, QuickCheck};

// Guards against a message lost, sent by both or ended twice in an upgrade, against waits, outs and attempts that one
// process knows and the other does not, and against a folder over its limit: with a kill between any two effects, and
// three processes at most.
#[test]
fn invariants_hold_over_all_processes_of_a_folder() {
    fn keeps(steps: Vec<Step>) -> bool {
        let mut world = Processes::new();
        for (number, step) in steps.into_iter().enumerate() {
            world.step(number, step);
        }
        world.finish();
        true
    }
    for seed in 0..4 {
        let chance = Gen::from_size_and_seed(300, 100 + seed);
        QuickCheck::new().tests(30).rng(chance).quickcheck(keeps as fn(Vec<Step>) -> bool);
    }
}

// Guards against a hand-over that takes as long as the elder's calls: what it has queued goes out at once by the
// successor, and its call that is out stays its own until it ends.
#[test]
fn queued_messages_go_to_the_successor_and_calls_in_flight_stay() {
    let mut world = Processes::new();
    for number in 0..3 {
        world.submit(0, format!("m{number}"), true, 2, 10);
    }
    world.wait(S / 10);
    let (_, first) = world.pick(0, |link| !link.up).expect("dialled");
    world.processes[0].links.get_mut(&first).expect("there").up = true;
    world.input(0, Input::ConnectionUp { connection: first });
    world.start();
    world.submit(1, "m3".to_owned(), true, 2, 10);
    world.wait(S);
    assert!(world.processes[1].links.is_empty(), "while the elder works, the newcomer begins nothing");
    world.look(0);
    world.input(0, Input::Shutdown);
    assert!(world.processes[0].handed_over);
    world.wait(S / 20);
    assert_eq!(world.processes[0].links.len(), 1, "its call goes on");
    assert_eq!(world.processes[1].links.len(), 1, "the successor has begun");
    let mine = |world: &Processes, at: usize| world.processes[at].reducer.gauges().open_messages;
    assert_eq!((mine(&world, 0), mine(&world, 1)), (1, 3));
    // It ends without delivery and never ran: from then on it is the successor's.
    let call = world.processes[0].links.get_mut(&first).and_then(|link| link.call.take()).expect("a call");
    let reply = EndpointReply { status: 503, is_bulk: call.is_bulk, ..EndpointReply::default() };
    world.input(0, Input::CallAnswered { connection: first, reply, reusable: true });
    world.wait(S / 20);
    assert_eq!(mine(&world, world.processes.len() - 1), 4);
    world.wait(S);
    assert_eq!(world.processes.len(), 1, "nothing is left to do: it ends by itself");
    assert_eq!(world.files.len(), 1, "and its file is taken up");
    let (records, _) = replay(Bytes::copy_from_slice(&world.files[&1].bytes));
    assert!(records.iter().any(|(record, _)| *record == Record::ProcessStage { stage: ProcessStage::Ready }));
}

// Guards against a newcomer that dies before the elder is told to end, or without a word: what it had taken on is the
// elder's, which goes on as if nothing had been.
#[test]
fn older_process_takes_over_from_a_killed_newer_one() {
    let mut world = Processes::new();
    world.start();
    world.submit(1, "a".to_owned(), true, 2, 10);
    world.wait(S / 50);
    assert!(world.messages["a"].accepted);
    world.kill(1);
    world.wait(S / 50);
    assert_eq!((world.processes[0].links.len(), world.files.len()), (1, 1));
}

// Guards against an endpoint that one process leaves out and the other does not, wherever the call came in.
#[test]
fn operator_override_reaches_both_processes() {
    for at in [0, 1] {
        let mut world = Processes::new();
        world.start();
        world.operate(at, "s-c", true);
        world.wait(S / 50);
        assert!(world.processes.iter().all(|process| process.reducer.gauges().avoided_endpoints >= 1));
        world.input(0, Input::Shutdown);
        world.submit(1, "a".to_owned(), true, 2, 10);
        world.wait(3 * S);
        assert!(world.processes.iter().all(|process| process.links.is_empty()), "called at {at}");
        let last = world.processes.len() - 1;
        world.operate(last, "s-c", false);
        world.wait(S);
        assert_eq!(world.processes[last].links.len(), 1, "called at {at}");
    }
}
