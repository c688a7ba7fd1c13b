//! Calls of the reducer to next hops, and how they end.

mod common;

use common::S;
use common::shape::Shape;
use common::steps::Step;
use common::world::World;
use orchidyoke_forwarder::endpoint_call::{Cause, EndpointCallError, EndpointReply, Progress};
use orchidyoke_forwarder::input::Input;
use orchidyoke_journal::FinalAnswer;

// Guards against an idle connection that closes as it is chosen being laid to the next hop, or ending a message
// that may not be repeated: nothing was written, so the same attempt goes on a new connection.
#[test]
fn connection_closed_while_idle_costs_no_attempt() {
    let mut world = World::new();
    world.submit("a".to_owned(), true, 2, 10);
    world.wait(10_000);
    world.step(0, Step::Connect { which: 0, up: true });
    world.answer(0, 0);
    world.submit("b".to_owned(), true, 2, 10);
    world.wait(10_000);
    let link = world.pick(0, |l| l.call.is_some()).expect("on the same connection");
    let call = world.links.remove(&link).and_then(|l| l.call).expect("out");
    world.fates.get_mut("b").expect("submitted").calls -= 1;
    let error = EndpointCallError {
        progress: Progress::NotFullyWritten,
        cause: Cause::ConnectionFailed("closed".to_owned()),
    };
    world.input(Input::ConnectionClosed { connection: link, error });
    world.step(1, Step::Connect { which: 0, up: true });
    let again = world.links.values().find_map(|l| l.call.as_ref()).expect("written again");
    assert_eq!(again.messages, call.messages);
}

// Guards against a call to an address that its endpoint has left, where another may listen by now: on a connection that
// was coming up, or carried a call, when the list told of the move.
#[test]
fn moved_endpoint_gets_no_call_at_its_old_address() {
    let mut world = World::new();
    let moves = |world: &mut World, port: u16| {
        world.rev += 1;
        world.list[2].address.set_port(port);
        let targets = vec![world.list[2].clone()];
        world.news(targets);
    };
    world.submit("a".to_owned(), false, 2, 10);
    world.wait(10_000);
    moves(&mut world, 41);
    // The one that comes up now goes to the old address.
    world.step(0, Step::Connect { which: 0, up: true });
    world.step(0, Step::Connect { which: 0, up: true });
    let link = world.pick(0, |l| l.call.is_some()).expect("written");
    assert_eq!(world.links[&link].address, "127.0.0.1:41");
    moves(&mut world, 42);
    world.answer(0, 0);
    world.submit("b".to_owned(), false, 2, 10);
    world.wait(10_000);
    assert!(world.pick(0, |l| l.up && l.address.ends_with(":41")).is_none(), "its connection is closed");
    world.step(0, Step::Connect { which: 0, up: true });
    let link = world.pick(0, |l| l.call.is_some()).expect("written");
    assert_eq!(world.links[&link].address, "127.0.0.1:42");
}

// Guards against a delivery taken for a failure of its next hop: a message of the call had run out of time before
// the answer came, and its end, though told, was no longer found.
#[test]
fn expired_message_is_left_out_of_its_call() {
    let mut world = World::new();
    world.submit("order".to_owned(), true, 1, 10);
    world.submit_for("status".to_owned(), false, 1, 10, 2 * S);
    world.wait(10_000);
    world.step(1, Step::Connect { which: 0, up: true });
    world.wait(2 * S);
    world.post(true);
    assert!(world.fates["status"].notice.is_some() && world.fates["order"].notice.is_none());
    world.answer(0, 0);
    world.submit("next".to_owned(), true, 1, 10);
    world.wait(10_000);
    // To either of its endpoints.
    world.step(0, Step::Connect { which: 0, up: true });
    assert!(world.pick(0, |l| l.call.is_some()).is_some(), "sent at once, as to a healthy destination");
}

// Guards against a message without an end: its answer came after its time, in the same moment in which a forwarder
// that had no processor for a while looked again.
#[test]
fn success_after_the_deadline_still_gives_a_final_answer() {
    let mut world = World::new();
    world.submit("late".to_owned(), true, 2, 10);
    world.wait(10_000);
    world.step(0, Step::Connect { which: 0, up: true });
    world.now += 28 * S;
    world.answer(0, 0);
    assert_eq!(world.posting.clone().expect("a notice"), [("late".to_owned(), FinalAnswer::Failed)]);
}

// Guards against a message that no one ends: a next hop called it over (its client had gone), and the platform still
// waited for its notice.
#[test]
fn message_finished_at_the_endpoint_gets_a_final_answer() {
    let mut world = World::new();
    world.submit("gone".to_owned(), true, 2, 10);
    world.wait(10_000);
    world.step(0, Step::Connect { which: 0, up: true });
    let link = world.pick(0, |l| l.call.is_some()).expect("out");
    let reply = EndpointReply { status: 410, ..EndpointReply::default() };
    world.input(Input::CallAnswered { connection: link, reply, reusable: true });
    assert_eq!(world.posting.clone().expect("a notice"), [("gone".to_owned(), FinalAnswer::Failed)]);
}

// Guards against orders without an end: the call that they shared with a status was answered after the status had run
// out of time, and the platform took none of that answer.
#[test]
fn late_batch_answer_gives_every_message_a_final_answer() {
    let mut world = World::new();
    world.submit("order".to_owned(), true, 1, 10);
    world.submit_for("status".to_owned(), false, 1, 10, 2 * S);
    world.wait(10_000);
    world.step(1, Step::Connect { which: 0, up: true });
    world.wait(2 * S + 100_000);
    world.post(true);
    world.answer(0, 0);
    assert_eq!(world.posting.clone().expect("a notice"), [("order".to_owned(), FinalAnswer::Failed)]);
}

// Guards against one route's wait that holds its sister, so that the module's sends there come back unsent and use up
// the attempts of their messages.
#[test]
fn retry_after_of_separate_route_leaves_other_routes_free() {
    let mut world = World::of(Shape::Second);
    for number in 0..2 {
        world.submit(format!("m{number}"), false, 2, 10);
        world.wait(10_000);
        world.step(1, Step::Connect { which: 0, up: true });
    }
    let out = |world: &World| world.links.values().filter(|l| l.call.is_some()).count();
    assert_eq!(out(&world), 2, "one at each route");
    world.answer(0, 255 / 10 * 10 + 5);
    world.wait(20_000);
    world.answer(0, 0);
    world.wait(20_000);
    world.step(1, Step::Connect { which: 0, up: true });
    assert_eq!(out(&world), 1, "turned away by one, it is at the other");
    let sent = world.fates.values().map(|fate| fate.calls).sum::<usize>();
    assert_eq!(sent, 3);
}

// Guards against a repeat that its window no longer drops: the dial for it began in time, and the connection came late.
#[test]
fn repeat_after_its_deduplication_window_is_not_sent() {
    let mut world = World::of(Shape::Second);
    world.submit("held".to_owned(), true, 3, 10);
    world.wait(10_000);
    world.step(1, Step::Connect { which: 0, up: true });
    world.wait(1_500_000);
    world.step(1, Step::Break(0));
    world.wait(300_000);
    assert!(world.pick(0, |l| !l.up).is_some(), "it may have run, and is dialled for again");
    world.wait(300_000);
    world.step(1, Step::Connect { which: 0, up: true });
    assert_eq!(world.fates["held"].calls, 1);
    world.wait(S);
    world.post(true);
    assert_eq!(world.fates["held"].notice, Some(FinalAnswer::Failed));
}
