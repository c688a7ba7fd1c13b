//! The reducer's calls to endpoints, and how they end.

mod common;

use common::SECOND;
use common::shape::Shape;
use common::steps::Step;
use common::world::World;
use orchidyoke_core::interface::EndpointState;
use orchidyoke_forwarder::connection_pool::REUSE_DELAY_US;
use orchidyoke_forwarder::endpoint_call::{Cause, EndpointCallError, EndpointReply, Progress};
use orchidyoke_forwarder::input::Input;
use orchidyoke_journal::FinalAnswer;

// Guards against an idle connection that closes just when it is chosen and then counts against the endpoint, or fails a
// message that may not be repeated. Nothing was written, so the same attempt must be made on a new connection.
#[test]
fn connection_closed_while_idle_costs_no_attempt() {
    let mut world = World::new();
    world.submit("a".to_owned(), true, 2, 10);
    world.wait(10_000);
    world.step(0, Step::Connect { selector: 0, established: true });
    world.answer(0, 0);
    world.wait(REUSE_DELAY_US);
    world.submit("b".to_owned(), true, 2, 10);
    world.wait(10_000);
    let connection_id = world
        .pick_connection(0, |connection| connection.call.is_some())
        .expect("the call uses the same connection");
    let call = world
        .connections
        .remove(&connection_id)
        .and_then(|connection| connection.call)
        .expect("a call is in flight");
    world.messages.get_mut("b").expect("the message was submitted").calls -= 1;
    let error = EndpointCallError {
        progress: Progress::NotFullyWritten,
        cause: Cause::ConnectionFailed("closed".to_owned()),
    };
    world.input(Input::ConnectionClosed { connection: connection_id, error });
    world.step(1, Step::Connect { selector: 0, established: true });
    let again = world
        .connections
        .values()
        .find_map(|connection| connection.call.as_ref())
        .expect("the call is written again");
    assert_eq!(again.messages, call.messages);
}

// Guards against a call to an address that its endpoint has left, where another endpoint may listen by now. The
// connection was being established, or carried a call, when the list moved the endpoint.
#[test]
fn moved_endpoint_gets_no_call_at_its_old_address() {
    let mut world = World::new();
    let moves = |world: &mut World, port: u16| {
        world.list_version += 1;
        world.list[2].address.set_port(port);
        let entries = vec![world.list[2].clone()];
        world.update_list(entries);
    };
    world.submit("a".to_owned(), false, 2, 10);
    world.wait(10_000);
    moves(&mut world, 41);
    // The connection that is established now goes to the old address.
    world.step(0, Step::Connect { selector: 0, established: true });
    world.step(0, Step::Connect { selector: 0, established: true });
    let connection_id =
        world.pick_connection(0, |connection| connection.call.is_some()).expect("the call is written");
    assert_eq!(world.connections[&connection_id].address, "127.0.0.1:41");
    moves(&mut world, 42);
    world.answer(0, 0);
    world.submit("b".to_owned(), false, 2, 10);
    world.wait(10_000);
    assert!(
        world
            .pick_connection(0, |connection| connection.established && connection.address.ends_with(":41"))
            .is_none(),
        "the connection to the old address must be closed"
    );
    world.step(0, Step::Connect { selector: 0, established: true });
    let connection_id =
        world.pick_connection(0, |connection| connection.call.is_some()).expect("the call is written");
    assert_eq!(world.connections[&connection_id].address, "127.0.0.1:42");
}

// Guards against a process that comes up under the name of one that has gone and is taken for it: a connection that was
// busy while the list did not name the endpoint carried the next call to the old address (issue 60).
#[test]
fn relisted_endpoint_gets_no_call_at_its_old_address() {
    let mut world = World::new();
    world.submit("a".to_owned(), false, 2, 10);
    world.wait(10_000);
    world.step(0, Step::Connect { selector: 0, established: true });
    let old_connection =
        world.pick_connection(0, |connection| connection.call.is_some()).expect("the call is written");
    for (state, port) in [(EndpointState::Removed, None), (EndpointState::Active, Some(41))] {
        world.list_version += 1;
        world.list[2].state = state;
        if let Some(port) = port {
            world.list[2].address.set_port(port);
        }
        let entries = vec![world.list[2].clone()];
        world.update_list(entries);
    }
    world.answer(0, 0);
    // Longer than a connection rests before it may be used again.
    world.wait(600_000);
    world.submit("b".to_owned(), false, 2, 10);
    world.wait(10_000);
    assert!(
        world.connections.get(&old_connection).is_none_or(|connection| connection.call.is_none()),
        "the call goes to the process that has gone"
    );
    world.step(0, Step::Connect { selector: 0, established: true });
    let connection_id =
        world.pick_connection(0, |connection| connection.call.is_some()).expect("the call is written");
    assert_eq!(world.connections[&connection_id].address, "127.0.0.1:41");
}

// Guards against a delivery that counts as a failure of its endpoint. One message of the call had reached its deadline
// before the reply came, and its result in the reply was no longer found.
#[test]
fn expired_message_is_left_out_of_its_call() {
    let mut world = World::new();
    world.submit("order".to_owned(), true, 1, 10);
    world.submit_for("status".to_owned(), false, 1, 10, 2 * SECOND);
    world.wait(10_000);
    world.step(1, Step::Connect { selector: 0, established: true });
    world.wait(2 * SECOND);
    world.post(true);
    assert!(
        world.messages["status"].notification.is_some() && world.messages["order"].notification.is_none()
    );
    world.answer(0, 0);
    world.submit("next".to_owned(), true, 1, 10);
    world.wait(10_000);
    // The call may go to either endpoint of the destination.
    world.step(0, Step::Connect { selector: 0, established: true });
    assert!(
        world.pick_connection(0, |connection| connection.call.is_some()).is_some(),
        "the message must be sent immediately, because the destination is healthy"
    );
}

// Guards against a message without a final answer. The reply came after the deadline, at the same moment at which a
// forwarder that had been stalled ran again.
#[test]
fn success_after_the_deadline_still_gives_a_final_answer() {
    let mut world = World::new();
    world.submit("late".to_owned(), true, 2, 10);
    world.wait(10_000);
    world.step(0, Step::Connect { selector: 0, established: true });
    world.now += 28 * SECOND;
    world.answer(0, 0);
    assert_eq!(
        world.posting.clone().expect("a notification is posted"),
        [("late".to_owned(), FinalAnswer::Failed)]
    );
}

// Guards against a message without a final answer. An endpoint reported that the message had expired, and the platform
// still waited for a notification.
#[test]
fn message_finished_at_the_endpoint_gets_a_final_answer() {
    let mut world = World::new();
    world.submit("gone".to_owned(), true, 2, 10);
    world.wait(10_000);
    world.step(0, Step::Connect { selector: 0, established: true });
    let connection_id =
        world.pick_connection(0, |connection| connection.call.is_some()).expect("a call is in flight");
    let reply = EndpointReply { status: 410, ..EndpointReply::default() };
    world.input(Input::CallAnswered { connection: connection_id, reply, reusable: true });
    assert_eq!(
        world.posting.clone().expect("a notification is posted"),
        [("gone".to_owned(), FinalAnswer::Failed)]
    );
}

// Guards against orders without a final answer. They shared a call with a message of the class `status`, the reply came
// after the deadline of that message, and the platform accepted nothing of that reply.
#[test]
fn late_batch_answer_gives_every_message_a_final_answer() {
    let mut world = World::new();
    world.submit("order".to_owned(), true, 1, 10);
    world.submit_for("status".to_owned(), false, 1, 10, 2 * SECOND);
    world.wait(10_000);
    world.step(1, Step::Connect { selector: 0, established: true });
    world.wait(2 * SECOND + 100_000);
    world.post(true);
    world.answer(0, 0);
    assert_eq!(
        world.posting.clone().expect("a notification is posted"),
        [("order".to_owned(), FinalAnswer::Failed)]
    );
}

// Guards against a Retry-After of one route that also blocks another route of the destination. The controller's sends
// to the other route would then return unsent and use up the attempts of their messages.
#[test]
fn retry_after_of_separate_route_leaves_other_routes_free() {
    let mut world = World::of(Shape::Second);
    for number in 0..2 {
        world.submit(format!("m{number}"), false, 2, 10);
        world.wait(10_000);
        world.step(1, Step::Connect { selector: 0, established: true });
    }
    let calls_in_flight =
        |world: &World| world.connections.values().filter(|connection| connection.call.is_some()).count();
    assert_eq!(calls_in_flight(&world), 2, "one call must be in flight on each route");
    world.answer(0, 255 / 10 * 10 + 5);
    world.wait(20_000);
    world.answer(0, 0);
    world.wait(20_000);
    world.step(1, Step::Connect { selector: 0, established: true });
    assert_eq!(calls_in_flight(&world), 1, "a message rejected on one route must be sent on the other");
    let sent = world.messages.values().map(|message| message.calls).sum::<usize>();
    assert_eq!(sent, 3);
}

/// Returns a world 1.8 s after the first attempt of the message "held" began, whose window is 2 s. The attempt has
/// failed, and the connection for the repeat is not established yet.
fn world_with_repeat_waiting_for_its_connection() -> World {
    let mut world = World::of(Shape::Second);
    world.submit("held".to_owned(), true, 3, 10);
    world.wait(10_000);
    world.step(1, Step::Connect { selector: 0, established: true });
    world.wait(1_500_000);
    world.step(1, Step::Break(0));
    world.wait(300_000);
    assert!(
        world.pick_connection(0, |connection| !connection.established).is_some(),
        "a connection for the repeat must have been requested"
    );
    world
}

// Guards against a repeat that is sent after its deduplication window. The connection for the repeat was requested in
// time and established too late.
#[test]
fn repeat_after_its_deduplication_window_is_not_sent() {
    let mut world = world_with_repeat_waiting_for_its_connection();
    world.wait(300_000);
    world.step(1, Step::Connect { selector: 0, established: true });
    assert_eq!(world.messages["held"].calls, 1);
    world.wait(SECOND);
    world.post(true);
    assert_eq!(world.messages["held"].notification, Some(FinalAnswer::Failed));
}

// Guards against a repeat that reaches its endpoint after its deduplication window. Its connection was established
// shortly before the end of the window, and a pause of 150 ms before the write would have made it late.
#[test]
fn repeat_that_a_pause_could_delay_beyond_its_window_is_not_sent() {
    let mut world = world_with_repeat_waiting_for_its_connection();
    world.wait(120_000);
    world.step(1, Step::Connect { selector: 0, established: true });
    assert_eq!(world.messages["held"].calls, 1, "a pause could delay the repeat beyond the window of 2 s");
    world.wait(SECOND);
    world.post(true);
    assert_eq!(world.messages["held"].notification, Some(FinalAnswer::Failed));
}

// Guards against a keyed message that fails after one attempt. Its endpoint hung, and the attempt timed out when the
// window of 2 s was over, so that the other endpoint of the zone could not be tried.
#[test]
fn keyed_message_at_a_hanging_endpoint_is_repeated_in_its_window() {
    let mut world = World::of(Shape::Second);
    let mut second_of_zone = world.list[4].clone();
    second_of_zone.uid = "s-f".to_owned();
    second_of_zone.address.set_port(99);
    world.list.push(second_of_zone.clone());
    world.list_version += 1;
    world.update_list(vec![second_of_zone]);
    world.submit("held".to_owned(), true, 3, 10);
    world.wait(10_000);
    world.step(1, Step::Connect { selector: 0, established: true });
    assert_eq!(world.messages["held"].calls, 1);
    world.wait(1_860_000);
    world.step(1, Step::Connect { selector: 0, established: true });
    assert_eq!(world.messages["held"].calls, 2, "the repeat must be sent before the window ends");
}

// Guards against a message that counts as possibly delivered, or is never sent, because its call was held up until it
// was too late to write it.
#[test]
fn message_of_a_call_that_was_too_late_is_sent_again() {
    let mut world = World::new();
    world.submit("order".to_owned(), true, 2, 10);
    world.wait(10_000);
    world.step(0, Step::Connect { selector: 0, established: true });
    let connection_id =
        world.pick_connection(0, |connection| connection.call.is_some()).expect("the call is written");
    let connection = world.connections.get_mut(&connection_id).expect("the connection is open");
    connection.call.take();
    world.messages.get_mut("order").expect("the message was submitted").calls -= 1;
    world.input(Input::CallExpired { connection: connection_id });
    world.wait(SECOND);
    assert_eq!(world.messages["order"].calls, 1, "the order must be sent on the same connection");
    world.answer(0, 0);
    assert!(world.messages["order"].delivered);
}
