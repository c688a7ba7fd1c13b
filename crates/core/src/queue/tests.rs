use super::*;
use crate::interface::Class;

const SECOND: Micros = 1_000_000;

fn class(priority_weight: f64, latency_objective: Micros) -> Class {
    Class { priority_weight, latency_objective, deadline: 60 * SECOND, ..Class::default() }
}

fn times(objective_at: Micros) -> MessageTimes {
    MessageTimes { objective_at, deadline: objective_at + 50 * SECOND }
}

#[test]
fn message_due_sooner_goes_first() {
    let classes = [class(1.0, 10 * SECOND)];
    let first = rank(2, &classes[0], times(11 * SECOND), SECOND, &classes);
    let second = rank(1, &classes[0], times(12 * SECOND), SECOND, &classes);
    assert!(first < second);
}

#[test]
fn greater_loss_by_delay_makes_message_due_earlier() {
    let classes = [class(1.0, 10 * SECOND), class(4.0, 10 * SECOND), class(1_000.0, 10 * SECOND)];
    let due = |class: &Class| rank(1, class, times(10 * SECOND), 0, &classes).order_by;
    assert_eq!(classes.each_ref().map(due), [10 * SECOND, 2_500_000, SECOND]);
}

#[test]
fn message_in_time_goes_before_late_one() {
    let classes = [class(1.0, 10 * SECOND)];
    let in_time = rank(2, &classes[0], times(30 * SECOND), 20 * SECOND, &classes);
    let late = rank(1, &classes[0], times(20 * SECOND), 20 * SECOND, &classes);
    assert_eq!(late.timeliness, Timeliness::Late);
    assert!(in_time < late);
}

#[test]
fn least_late_message_goes_first() {
    let classes = [class(1.0, 10 * SECOND)];
    let late = |id, objective_at| rank(id, &classes[0], times(objective_at), 20 * SECOND, &classes);
    assert!(late(2, 19 * SECOND) < late(1, 10 * SECOND));
}

#[test]
fn rank_is_reviewed_at_objective_then_at_deadline() {
    assert_eq!(review_at(Timeliness::InTime, times(SECOND)), SECOND);
    assert_eq!(review_at(Timeliness::Late, times(SECOND)), 51 * SECOND);
}

#[test]
fn messages_of_a_key_take_turns_in_order_of_arrival() {
    let mut order = OrderKeyQueue::default();
    order.push(1);
    order.push(2);
    assert_eq!(order.turn_of(1, 0), Turn::Now);
    assert_eq!(order.turn_of(2, 0), Turn::AfterOthers);
    order.finish(1, 0);
    assert_eq!(order.first(), Some(2));
    assert_eq!(order.turn_of(2, 0), Turn::Now);
}

#[test]
fn orphaned_attempt_blocks_the_key() {
    let mut order = OrderKeyQueue::default();
    order.push(1);
    order.push(2);
    order.finish(1, 1);
    assert_eq!(order.turn_of(2, 0), Turn::AfterOthers);
    order.end_orphaned_attempt();
    assert_eq!(order.turn_of(2, 0), Turn::Now);
}

#[test]
fn cooldown_blocks_all_but_its_own_message() {
    let mut order = OrderKeyQueue::default();
    order.push(1);
    order.push(2);
    order.start_cooldown(1, 5 * SECOND);
    assert_eq!(order.turn_of(1, 0), Turn::Now);
    order.finish(1, 0);
    assert_eq!(order.turn_of(2, 0), Turn::At(5 * SECOND));
    assert_eq!(order.turn_of(2, 5 * SECOND), Turn::Now);
    order.finish(2, 0);
    assert!(!order.is_done(5 * SECOND - 1) && order.is_done(5 * SECOND));
}

#[test]
fn partial_batch_waits_for_an_idle_route() {
    assert!(!is_batch_due(4, 5, false));
    assert!(is_batch_due(5, 5, false));
    assert!(is_batch_due(1, 5, true));
}
