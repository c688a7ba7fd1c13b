use super::*;

const SECOND: Micros = 1_000_000;

fn config() -> LeaseConfig {
    LeaseConfig {
        ttl: 10 * SECOND,
        clock_drift: 0.01,
        max_action_time: SECOND,
        retry_interval: SECOND,
        max_concurrent_acquires: 2,
    }
}

fn locks(entries: &[(LeaseId, Option<&str>, FencingToken)]) -> BTreeMap<LeaseId, Lock> {
    let lock = |(lease, session, index): &(LeaseId, Option<&str>, FencingToken)| {
        (*lease, Lock { session: session.map(str::to_owned), modify_index: *index })
    };
    entries.iter().map(lock).collect()
}

fn with_session(assigned: &[LeaseId]) -> LeaseStateMachine {
    let mut leases = LeaseStateMachine::default();
    assert_eq!(
        leases.step(&config(), 0, Input::AssignmentChanged(assigned.iter().copied().collect())),
        [Effect::CreateSession]
    );
    assert_eq!(
        leases.step(&config(), SECOND, Input::SessionCreated { session: "s".to_owned(), sent_at: 0 }),
        [Effect::ReadLocks]
    );
    leases
}

fn holder() -> LeaseStateMachine {
    let mut leases = with_session(&[1]);
    let effects =
        leases.step(&config(), SECOND, Input::LocksRead { locks: locks(&[(1, None, 4)]), sent_at: SECOND });
    assert_eq!(effects, [Effect::Acquire { lease: 1, session: "s".to_owned() }]);
    assert_eq!(leases.step(&config(), SECOND, Input::AcquireFinished(1)), [Effect::ReadLocks]);
    assert_eq!(
        leases.may_act(&config(), SECOND, 1),
        None,
        "no action before a read of the locks shows the lock as held"
    );
    leases.step(&config(), SECOND, Input::LocksRead { locks: locks(&[(1, Some("s"), 5)]), sent_at: SECOND });
    leases
}

#[test]
fn lease_lasts_from_sending_the_renewal_until_its_duration_on_the_local_clock() {
    let mut leases = holder();
    assert_eq!(leases.may_act(&config(), SECOND, 1), Some(5));
    assert_eq!(leases.step(&config(), 4 * SECOND, Input::Tick), [Effect::RenewSession("s".to_owned())]);
    // The answer to the renewal takes 5 s.
    assert_eq!(
        leases.step(
            &config(),
            9 * SECOND,
            Input::SessionRenewed { session: "s".to_owned(), sent_at: 4 * SECOND }
        ),
        [Effect::RenewSession("s".to_owned())]
    );
    let end = 4 * SECOND + config().lease_duration();
    assert_eq!(leases.may_act(&config(), end - SECOND - 1, 1), Some(5));
    assert_eq!(
        leases.may_act(&config(), end - SECOND, 1),
        None,
        "the action might not end before the lease expires"
    );
    assert!(leases.step(&config(), end, Input::Tick).contains(&Effect::DestroySession("s".to_owned())));
    leases.step(&config(), end, Input::SessionRenewed { session: "s".to_owned(), sent_at: 9 * SECOND });
    assert_eq!(
        (leases.session(), leases.held().count()),
        (None, 0),
        "an answer after the expiry changes nothing"
    );
}

// Guards against a holder that was suspended until its lease expired and acts after it resumes.
#[test]
fn late_wake_up_finds_the_lease_expired() {
    let leases = holder();
    assert_eq!(leases.may_act(&config(), 60 * SECOND, 1), None);
    let mut resumed = leases.clone();
    resumed.step(
        &config(),
        60 * SECOND,
        Input::LocksRead { locks: locks(&[(1, Some("s"), 5)]), sent_at: 59 * SECOND },
    );
    assert_eq!(resumed.may_act(&config(), 60 * SECOND, 1), None);
}

// Guards against a lock that is held but never used, because the answer to the request for it was lost.
#[test]
fn lock_acquired_without_an_answer_is_used_or_released() {
    let mut leases = with_session(&[1]);
    leases.step(&config(), SECOND, Input::LocksRead { locks: locks(&[(1, None, 4)]), sent_at: SECOND });
    leases.step(&config(), SECOND, Input::AcquireFinished(1));
    let mut other = leases.clone();
    leases.step(
        &config(),
        2 * SECOND,
        Input::LocksRead { locks: locks(&[(1, Some("s"), 9)]), sent_at: 2 * SECOND },
    );
    assert_eq!(leases.may_act(&config(), 2 * SECOND, 1), Some(9));
    other.step(&config(), 2 * SECOND, Input::AssignmentChanged(BTreeSet::new()));
    let effects = other.step(
        &config(),
        2 * SECOND,
        Input::LocksRead { locks: locks(&[(1, Some("s"), 9)]), sent_at: 2 * SECOND },
    );
    assert_eq!(effects, [Effect::Release { lease: 1, session: "s".to_owned() }]);
}

// Guards against two failures. A released lock counts as held because the answer to an earlier read arrives late. A
// lock is acquired again while its release may still be in flight.
#[test]
fn released_lock_is_not_held() {
    for in_doubt in [false, true] {
        let mut leases = holder();
        assert_eq!(
            leases.step(&config(), 2 * SECOND, Input::AssignmentChanged(BTreeSet::new())),
            [Effect::Release { lease: 1, session: "s".to_owned() }]
        );
        assert_eq!(leases.may_act(&config(), 2 * SECOND, 1), None);
        leases.step(
            &config(),
            3 * SECOND,
            if in_doubt { Input::ReleaseInDoubt(1) } else { Input::Released(1) },
        );
        leases.step(&config(), 3 * SECOND, Input::AssignmentChanged(BTreeSet::from([1])));
        leases.step(
            &config(),
            3 * SECOND,
            Input::LocksRead { locks: locks(&[(1, Some("s"), 5)]), sent_at: 2 * SECOND },
        );
        assert_eq!(leases.may_act(&config(), 3 * SECOND, 1), None, "in doubt: {in_doubt}");
        let effects = leases.step(
            &config(),
            3 * SECOND,
            Input::LocksRead { locks: locks(&[(1, None, 6)]), sent_at: 3 * SECOND + 1 },
        );
        assert_eq!(effects.is_empty(), in_doubt, "{effects:?}");
    }
}

#[test]
fn session_or_lock_ended_by_others_is_no_longer_used() {
    let mut leases = holder();
    leases.step(
        &config(),
        2 * SECOND,
        Input::LocksRead { locks: locks(&[(1, None, 8)]), sent_at: 2 * SECOND },
    );
    assert_eq!(leases.may_act(&config(), 2 * SECOND, 1), None, "the lock was released by an operator");
    for end in [
        Input::LocksRead { locks: BTreeMap::new(), sent_at: 2 * SECOND },
        Input::SessionNotFound("s".to_owned()),
    ] {
        let mut leases = holder();
        let effects = leases.step(&config(), 2 * SECOND, end.clone());
        assert_eq!(leases.may_act(&config(), 2 * SECOND, 1), None);
        assert_eq!(effects.contains(&Effect::CreateSession), matches!(end, Input::SessionNotFound(_)));
    }
}

// Guards against leases that nobody may acquire for a lock-delay or a TTL after a graceful shutdown.
#[test]
fn shutdown_releases_all_locks_and_acquires_none() {
    for answered in [true, false] {
        let mut leases = holder();
        assert_eq!(
            leases.step(&config(), 2 * SECOND, Input::Shutdown),
            [Effect::Release { lease: 1, session: "s".to_owned() }]
        );
        assert_eq!((leases.may_act(&config(), 2 * SECOND, 1), leases.is_shut_down()), (None, false));
        assert_eq!(
            leases.step(&config(), 5 * SECOND, Input::AssignmentChanged(BTreeSet::from([1]))),
            [],
            "no lock is requested and no session is renewed"
        );
        let end = leases.step(
            &config(),
            5 * SECOND,
            if answered { Input::Released(1) } else { Input::ReleaseInDoubt(1) },
        );
        assert_eq!(end, [Effect::DestroySession("s".to_owned())]);
        assert!(leases.is_shut_down());
        assert_eq!(
            leases.step(
                &config(),
                60 * SECOND,
                Input::LocksRead { locks: locks(&[(1, None, 9)]), sent_at: 60 * SECOND }
            ),
            []
        );
    }
    let mut without_session = LeaseStateMachine::default();
    without_session.step(&config(), 0, Input::Shutdown);
    assert!(without_session.is_shut_down());
    let late = without_session.step(
        &config(),
        SECOND,
        Input::SessionCreated { session: "s".to_owned(), sent_at: 0 },
    );
    assert!(
        late.contains(&Effect::DestroySession("s".to_owned())),
        "a session created during the shutdown is ended"
    );
}

// Guards against requests without a pause while Consul is unavailable, and against requests for all locks at once.
#[test]
fn requests_are_limited_in_rate_and_number() {
    let mut leases = with_session(&[1, 2, 3, 4]);
    let all = locks(&[(1, None, 1), (2, None, 1), (3, None, 1), (4, None, 1)]);
    assert_eq!(
        leases.step(&config(), SECOND, Input::LocksRead { locks: all.clone(), sent_at: SECOND }).len(),
        2
    );
    assert_eq!(leases.step(&config(), SECOND, Input::LocksRead { locks: all, sent_at: SECOND }).len(), 0);
    assert_eq!(
        leases.step(&config(), SECOND, Input::AcquireFinished(1)).len(),
        2,
        "one read of the locks and one more request"
    );
    let mut unanswered = LeaseStateMachine::default();
    let mut request_count = 0;
    for tenth in 0..300 {
        let now = tenth * SECOND / 10;
        request_count += unanswered.step(&config(), now, Input::Tick).len();
        if tenth % 3 == 0 {
            unanswered.step(&config(), now, Input::SessionRequestFailed);
        }
    }
    assert!((20..=31).contains(&request_count), "{request_count} requests in 30 s");
}
