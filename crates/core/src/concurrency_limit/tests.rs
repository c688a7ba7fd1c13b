use super::*;

#[test]
fn window_starts_with_one_call() {
    let window = ConcurrencyWindow::initial();
    assert!(window.has_room(0) && !window.has_room(1));
}

#[test]
fn eight_first_try_successes_allow_a_second_call() {
    let mut window = ConcurrencyWindow::initial();
    (0..7).for_each(|_| window.on_first_try_success(100));
    assert!(!window.has_room(1), "1.1^7 is less than two");
    window.on_first_try_success(100);
    assert!(window.has_room(1) && !window.has_room(2), "1.1^8 is more than two");
}

#[test]
fn window_stops_at_three_quarters_of_the_slots() {
    let mut window = ConcurrencyWindow::initial();
    (0..100).for_each(|_| window.on_first_try_success(8));
    assert_eq!(window.calls(), 6.0);
}

#[test]
fn failure_halves_window_down_to_one_call() {
    let mut window = ConcurrencyWindow::initial();
    (0..100).for_each(|_| window.on_first_try_success(8));
    assert!(!window.on_failure());
    assert_eq!(window.calls(), 3.0);
    assert!(!window.on_failure());
    assert_eq!(window.calls(), 1.5);
    assert!(window.on_failure(), "a window below two calls is at its floor");
    assert_eq!(window.calls(), 1.0);
}

#[test]
fn faulty_destination_holds_half_of_the_slots() {
    assert_eq!(destination_call_limit(8, false), 6);
    assert_eq!(destination_call_limit(8, true), 4);
    assert_eq!(faulty_call_limit(8), 4);
}

#[test]
fn slot_limits_allow_one_call_of_a_single_slot() {
    assert_eq!(destination_call_limit(1, false), 1);
    assert_eq!(faulty_call_limit(1), 1);
}
