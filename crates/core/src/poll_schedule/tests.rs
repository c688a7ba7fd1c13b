use super::*;

// Guards against a polled list that becomes outdated after failed requests, and against requests for a list that is
// pushed.
#[test]
fn polled_list_is_requested_again_in_time() {
    let interval = 10_000_000;
    let settings =
        |discovery_mode| Settings { discovery_mode, max_poll_interval: interval, ..Settings::default() };
    assert!(PollSchedule::new(&settings(DiscoveryMode::Push), 1).is_none());
    let mut schedule =
        PollSchedule::new(&settings(DiscoveryMode::Poll), 1).expect("a schedule for a polled list");
    assert!(schedule.should_poll(0), "the first request is due at the start");
    let mut last_request_at = 0;
    let mut requests = 1;
    for now in (100_000..100_000_000).step_by(100_000) {
        assert!(
            now - last_request_at <= interval,
            "the time between two requests is within max_poll_interval"
        );
        if schedule.should_poll(now) {
            last_request_at = now;
            requests += 1;
            schedule.on_event(now, ListEventKind::Failed);
        }
    }
    assert!(requests > 20, "{requests} requests in 100 s");
    schedule.on_event(100_000_000, ListEventKind::Delta);
    assert!(!schedule.should_poll(i64::MAX - 1), "no second subscription is requested");
}
