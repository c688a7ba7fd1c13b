use super::*;

// Guards against a list that grows old after failures, and against asking for what comes by itself.
#[test]
fn polled_list_is_requested_again_in_time() {
    let every = 10_000_000;
    let settings =
        |discovery_mode| Settings { discovery_mode, max_poll_interval: every, ..Settings::default() };
    assert!(PollSchedule::new(&settings(DiscoveryMode::Push), 1).is_none());
    let mut list = PollSchedule::new(&settings(DiscoveryMode::Poll), 1).expect("asked for");
    assert!(list.should_poll(0), "at the start");
    let mut last = 0;
    let mut calls = 1;
    for now in (100_000..100_000_000).step_by(100_000) {
        assert!(now - last <= every, "never more than the time allowed between two calls");
        if list.should_poll(now) {
            last = now;
            calls += 1;
            list.on_event(now, ListEventKind::Failed);
        }
    }
    assert!(calls > 20, "{calls} calls: asked for all the time");
    list.on_event(100_000_000, ListEventKind::Delta);
    assert!(!list.should_poll(i64::MAX - 1), "a subscription is not asked for twice");
}
