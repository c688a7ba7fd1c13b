//! Tests of [`super`] that need its private items.

use super::*;
use proptest::prelude::*;
use std::time::Duration;

fn ok(index: &str) -> ResponseHead {
    ResponseHead { status: 200, index: Some(index.to_owned()), ..ResponseHead::default() }
}

#[test]
fn next_request_carries_the_last_index() {
    let mut query = BlockingQuery::default();
    assert_eq!(query.start_blocking(0), 0);
    assert_eq!(
        query.on_response(3 * MILLISECOND_US, &ok("17"), 0.5),
        (QueryOutcome::Changed, MIN_QUERY_INTERVAL_US)
    );
    assert_eq!(query.start_blocking(SECOND_US), 17);
    assert_eq!(query.on_response(31 * SECOND_US, &ok("17"), 0.5), (QueryOutcome::Unchanged, 31 * SECOND_US));
    assert_eq!(query.start_blocking(31 * SECOND_US), 17);
    assert_eq!(query.on_response(40 * SECOND_US, &ok("18"), 0.5), (QueryOutcome::Changed, 40 * SECOND_US));
}

#[test]
fn response_with_lower_index_is_valid_and_restarts_the_query() {
    let mut query = BlockingQuery::default();
    query.on_response(0, &ok("100"), 0.5);
    query.start_blocking(SECOND_US);
    let (outcome, _) = query.on_response(2 * SECOND_US, &ok("7"), 0.5);
    assert_eq!((outcome, query.start_blocking(3 * SECOND_US)), (QueryOutcome::Changed, 0));
    query.on_response(3 * SECOND_US, &ok("7"), 0.5);
    assert_eq!(query.start_blocking(4 * SECOND_US), 7);
}

#[test]
fn response_with_unusable_index_is_valid_and_followed_by_backoff() {
    for index in [Some("0"), Some("many"), Some("-1"), Some("99999999999999999999999"), None] {
        let mut query = BlockingQuery::default();
        let mut now = 0;
        let mut requests = 0;
        while now < 20 * SECOND_US {
            assert_eq!(query.start_blocking(now), 0);
            requests += 1;
            let head = ResponseHead { index: index.map(str::to_owned), ..ok("") };
            let (outcome, next) = query.on_response(now + MILLISECOND_US, &head, 0.5);
            assert_eq!(outcome, QueryOutcome::Changed, "{index:?}: the response is valid");
            now = next;
        }
        assert!(requests <= 20, "{index:?}: {requests} requests in 20 s");
    }
}

#[test]
fn agent_that_does_not_block_is_queried_with_backoff() {
    let mut query = BlockingQuery::default();
    let mut now = 0;
    let mut requests = 0;
    while now < 20 * SECOND_US {
        query.start_blocking(now);
        now = query.on_response(now + MILLISECOND_US, &ok("5"), 0.5).1;
        requests += 1;
    }
    assert!(requests <= 20, "{requests} requests in 20 s");
}

#[test]
fn immediate_query_reports_only_a_changed_index() {
    let mut query = BlockingQuery::default();
    for (index, outcome) in
        [("5", QueryOutcome::Changed), ("5", QueryOutcome::Unchanged), ("6", QueryOutcome::Changed)]
    {
        assert_eq!(query.start_immediate(SECOND_US), 0);
        assert_eq!(
            query.on_response(SECOND_US + MIN_QUERY_INTERVAL_US, &ok(index), 0.5),
            (outcome, SECOND_US + MIN_QUERY_INTERVAL_US)
        );
    }
}

#[test]
fn rejected_response_names_its_error_and_is_retried_after_a_pause() {
    let cases = [
        (ResponseHead { leaderless: true, ..ok("9") }, ResponseError::NoLeader),
        (
            ResponseHead { stale_for: Some(Duration::from_secs(11)), ..ok("9") },
            ResponseError::StaleRead(Duration::from_secs(11)),
        ),
        (ResponseHead { status: 403, ..ResponseHead::default() }, ResponseError::Forbidden),
        (ResponseHead { status: 404, ..ResponseHead::default() }, ResponseError::Status(404)),
        (
            ResponseHead { status: 429, retry_after: Some(3), ..ResponseHead::default() },
            ResponseError::RateLimited,
        ),
        (ResponseHead { status: 500, ..ResponseHead::default() }, ResponseError::Status(500)),
    ];
    for (head, expected_error) in cases {
        let mut query = BlockingQuery::default();
        query.on_response(0, &ok("4"), 0.5);
        let has_retry_after = head.retry_after.is_some();
        let (outcome, next) = query.on_response(SECOND_US, &head, 0.5);
        assert_eq!(outcome, QueryOutcome::Rejected(expected_error));
        assert_eq!(next, SECOND_US + if has_retry_after { 3 * SECOND_US } else { BACKOFF_MIN_US });
        assert_eq!(
            (query.last_success(), query.consecutive_failures(), query.start_blocking(next)),
            (Some(0), 1, 0)
        );
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, rng_seed: prop::test_runner::RngSeed::Fixed(7), ..Default::default() })]

    // Guards against a busy loop and against an endless pause, for any sequence of responses. In the long run there is
    // at most one request in MIN_QUERY_INTERVAL_US, except for requests whose index has moved on.
    #[test]
    fn no_sequence_of_responses_causes_a_busy_loop_or_a_stall(
        responses in prop::collection::vec((0u16..6, "[0-9]{0,3}|x|-1", 0i64..40_000, any::<bool>()), 1..120)
    ) {
        let mut query = BlockingQuery::default();
        let mut now = 0;
        let count = responses.len() as Micros;
        let mut waited = 0;
        for (status, index, duration, leaderless) in responses {
            let before = query.start_blocking(now);
            let status = [200, 200, 200, 403, 429, 500][usize::from(status)];
            let head = ResponseHead { status, leaderless, ..ok(&index) };
            let (outcome, next) = query.on_response(now + duration, &head, 0.5);
            prop_assert!(next >= now + duration && next <= now + duration + RETRY_AFTER_MAX_US);
            prop_assert!(outcome != QueryOutcome::Unchanged || before == query.index);
            waited += duration;
            now = next;
        }
        prop_assert!(now - waited + MIN_QUERY_INTERVAL_US >= 0 && now + MIN_QUERY_INTERVAL_US >= MIN_QUERY_INTERVAL_US * count / 2);
    }
}
