//! Tests of [`super`] that need its private items.

use super::*;
use proptest::prelude::*;

fn ok(index: &str) -> Head {
    Head { status: 200, index: Some(index.to_owned()), ..Head::default() }
}

#[test]
fn the_index_goes_into_the_next_question() {
    let mut query = Query::default();
    assert_eq!(query.ask(0), 0);
    assert_eq!(query.answered(3 * MS, &ok("17"), 0.5), (Verdict::Take, LEAST_GAP));
    assert_eq!(query.ask(SECOND), 17);
    assert_eq!(query.answered(31 * SECOND, &ok("17"), 0.5), (Verdict::Same, 31 * SECOND));
    assert_eq!(query.ask(31 * SECOND), 17);
    assert_eq!(query.answered(40 * SECOND, &ok("18"), 0.5), (Verdict::Take, 40 * SECOND));
}

#[test]
fn an_index_that_goes_backwards_starts_over_and_its_answer_counts() {
    let mut query = Query::default();
    query.answered(0, &ok("100"), 0.5);
    query.ask(SECOND);
    let (verdict, _) = query.answered(2 * SECOND, &ok("7"), 0.5);
    assert_eq!((verdict, query.ask(3 * SECOND)), (Verdict::Take, 0));
    query.answered(3 * SECOND, &ok("7"), 0.5);
    assert_eq!(query.ask(4 * SECOND), 7);
}

#[test]
fn what_is_no_index_is_taken_with_growing_pauses() {
    for index in [Some("0"), Some("many"), Some("-1"), Some("99999999999999999999999"), None] {
        let (mut query, mut now) = (Query::default(), 0);
        let mut asked = 0;
        while now < 20 * SECOND {
            assert_eq!(query.ask(now), 0);
            asked += 1;
            let head = Head { index: index.map(str::to_owned), ..ok("") };
            let (verdict, again) = query.answered(now + MS, &head, 0.5);
            assert_eq!(verdict, Verdict::Take, "{index:?}: an authoritative answer counts");
            now = again;
        }
        assert!(asked <= 20, "{index:?}: {asked} questions in 20 s");
    }
}

#[test]
fn an_agent_that_does_not_wait_keeps_nobody_busy() {
    let (mut query, mut now, mut asked) = (Query::default(), 0, 0);
    while now < 20 * SECOND {
        query.ask(now);
        now = query.answered(now + MS, &ok("5"), 0.5).1;
        asked += 1;
    }
    assert!(asked <= 20, "{asked} questions in 20 s");
}

#[test]
fn a_visit_reads_what_is_news_and_nothing_else() {
    let mut query = Query::default();
    for (index, verdict) in [("5", Verdict::Take), ("5", Verdict::Same), ("6", Verdict::Take)] {
        assert_eq!(query.visit(SECOND), 0);
        assert_eq!(query.answered(SECOND + LEAST_GAP, &ok(index), 0.5), (verdict, SECOND + LEAST_GAP));
    }
}

#[test]
fn refusals_say_why_and_are_asked_again_later() {
    let cases = [
        (Head { leaderless: true, ..ok("9") }, Refusal::NoLeader),
        (
            Head { too_old: Some(Duration::from_secs(11)), ..ok("9") },
            Refusal::TooOld(Duration::from_secs(11)),
        ),
        (Head { status: 403, ..Head::default() }, Refusal::Forbidden),
        (Head { status: 404, ..Head::default() }, Refusal::Status(404)),
        (Head { status: 429, retry_after: Some(3), ..Head::default() }, Refusal::TooMany),
        (Head { status: 500, ..Head::default() }, Refusal::Status(500)),
    ];
    for (head, refusal) in cases {
        let mut query = Query::default();
        query.answered(0, &ok("4"), 0.5);
        let told = head.retry_after.is_some();
        let (verdict, again) = query.answered(SECOND, &head, 0.5);
        assert_eq!(verdict, Verdict::Refuse(refusal));
        assert_eq!(again, SECOND + if told { 3 * SECOND } else { PAUSE_FIRST });
        assert_eq!((query.heard(), query.failures(), query.ask(again)), (Some(0), 1, 0));
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, rng_seed: prop::test_runner::RngSeed::Fixed(7), ..Default::default() })]

    // Guards against a busy loop on any sequence of answers: never more than one question in LEAST_GAP in the
    // long run, but for those whose index moves on, and never a pause without an end.
    #[test]
    fn no_answers_make_it_spin_or_stop(
        answers in prop::collection::vec((0u16..6, "[0-9]{0,3}|x|-1", 0i64..40_000, any::<bool>()), 1..120)
    ) {
        let (mut query, mut now) = (Query::default(), 0);
        let count = answers.len() as Micros;
        let mut waited = 0;
        for (status, index, took, leaderless) in answers {
            let before = query.ask(now);
            let status = [200, 200, 200, 403, 429, 500][usize::from(status)];
            let head = Head { status, leaderless, ..ok(&index) };
            let (verdict, again) = query.answered(now + took, &head, 0.5);
            prop_assert!(again >= now + took && again <= now + took + PAUSE_TOLD);
            prop_assert!(verdict != Verdict::Same || before == query.index);
            waited += took;
            now = again;
        }
        prop_assert!(now - waited + LEAST_GAP >= 0 && now + LEAST_GAP >= LEAST_GAP * count / 2);
    }
}
