//! Tests of [`orchidyoke_ownership::MemberState`], which decides whether one forwarder delivers a message itself, at
//! which rate, or hands the message over.

mod common;

use common::{member, members, view};
use orchidyoke_core::interface::Micros;
use orchidyoke_ownership::{DeliveryDecision, Member, MemberState, OwnershipConfig, Rate, SlowStartReason};

const SECOND: Micros = 1_000_000;
/// The number of destinations that the forwarder lists.
const LISTED: u64 = 40;

fn config() -> OwnershipConfig {
    OwnershipConfig {
        session_ttl: 10 * SECOND,
        view_lifetime: 10 * SECOND,
        warm_up_time: 12 * SECOND,
        clock_drift: 0.01,
    }
}

/// Returns the state of the member `f000`. Its view has these members and was read at 0, and its session was created at
/// 0.
fn confirmed(members: Vec<Member>) -> MemberState {
    let mut state = MemberState::new("f000");
    state.set_destinations(0, 0..LISTED);
    state.on_view(&config(), 0, 0, view(5, members)).expect("the first view is accepted");
    state.on_registered(0, 0);
    state
}

/// Returns the same state after the member has read its view again and renewed its session, both at `now`.
fn reconfirmed_at(members: Vec<Member>, now: Micros) -> MemberState {
    let mut state = confirmed(members.clone());
    state.on_view(&config(), now, now, view(5, members)).expect("a view of the same version is accepted");
    state.on_renewed(now);
    state
}

fn owned_destination(state: &MemberState) -> u64 {
    let owned = state.owners().owned_by("f000").next();
    owned.expect("the member owns a destination")
}

fn destination_of_other(state: &MemberState) -> u64 {
    let owned = state.owners().owned_by("f001").next();
    owned.expect("the member owns a destination")
}

fn rate(state: &MemberState, now: Micros, destination: u64) -> Rate {
    match state.decide(&config(), now, destination, false) {
        DeliveryDecision::Deliver(rate) => rate,
        DeliveryDecision::HandOver(to) => panic!("handed over to {}", to.name),
    }
}

// Guards against a new owner that sends at the full rate while the previous owner, whose clock may be slow, still does.
#[test]
fn new_owner_stays_in_slow_start_for_the_warm_up_time_and_the_clock_drift() {
    let state = reconfirmed_at(members(3), 12 * SECOND);
    let warm_up_end = 12 * SECOND + 12 * SECOND / 100;
    assert_eq!(
        rate(&state, warm_up_end - 1, owned_destination(&state)),
        Rate::SlowStart(SlowStartReason::NewOwner)
    );
    assert_eq!(rate(&state, warm_up_end, owned_destination(&state)), Rate::Full);
}

// Guards against an owner that sends at the full rate while the registry may already name another owner, because its
// session or its view is too old.
#[test]
fn session_and_view_are_valid_from_the_time_their_requests_were_sent() {
    let state = reconfirmed_at(members(3), 20 * SECOND);
    let valid_until = 20 * SECOND + (10.0 * SECOND as f64 / 1.01) as Micros;
    assert_eq!(rate(&state, valid_until - 1, owned_destination(&state)), Rate::Full);
    assert_eq!(
        rate(&state, valid_until, owned_destination(&state)),
        Rate::SlowStart(SlowStartReason::Unconfirmed)
    );
    for renews_session in [true, false] {
        let mut state = state.clone();
        match renews_session {
            true => state.on_renewed(25 * SECOND),
            false => drop(state.on_view(&config(), 25 * SECOND, 25 * SECOND, view(5, members(3)))),
        }
        assert_eq!(
            rate(&state, valid_until, owned_destination(&state)),
            Rate::SlowStart(SlowStartReason::Unconfirmed),
            "session and view both have to be valid"
        );
    }
    // A forwarder that was suspended is not confirmed when it resumes.
    assert_eq!(
        rate(&state, 90 * SECOND, owned_destination(&state)),
        Rate::SlowStart(SlowStartReason::Unconfirmed)
    );
}

// Guards against an owner that sends at the full rate as soon as it has a new session, although another member may have
// owned its destinations between its two sessions.
#[test]
fn lost_session_ends_the_full_rate_and_a_new_one_restarts_slow_start() {
    let mut state = reconfirmed_at(members(3), 20 * SECOND);
    state.on_session_lost();
    assert_eq!(
        rate(&state, 20 * SECOND, owned_destination(&state)),
        Rate::SlowStart(SlowStartReason::Unconfirmed)
    );
    state.on_renewed(21 * SECOND);
    assert_eq!(
        rate(&state, 21 * SECOND, owned_destination(&state)),
        Rate::SlowStart(SlowStartReason::Unconfirmed),
        "a late answer to a renewal does not restore the session"
    );
    state.on_registered(22 * SECOND, 21 * SECOND);
    assert_eq!(
        rate(&state, 22 * SECOND, owned_destination(&state)),
        Rate::SlowStart(SlowStartReason::NewOwner)
    );
    state
        .on_view(&config(), 34 * SECOND, 34 * SECOND, view(5, members(3)))
        .expect("a view of the same version is accepted");
    state.on_renewed(34 * SECOND);
    assert_eq!(rate(&state, 35 * SECOND, owned_destination(&state)), Rate::Full);
}

// Guards against a message that is handed over again and again between forwarders whose views differ.
#[test]
fn message_for_another_owner_is_handed_over_once() {
    let state = reconfirmed_at(members(3), 20 * SECOND);
    let destination = destination_of_other(&state);
    assert_eq!(
        state.decide(&config(), 20 * SECOND, destination, false),
        DeliveryDecision::HandOver(&member(1, 1.0))
    );
    let deliver = DeliveryDecision::Deliver(Rate::SlowStart(SlowStartReason::NotOwner));
    assert_eq!(state.decide(&config(), 20 * SECOND, destination, true), deliver);
    let handed_over_own = state.decide(&config(), 20 * SECOND, owned_destination(&state), true);
    assert_eq!(handed_over_own, DeliveryDecision::Deliver(Rate::Full));
    assert_eq!(MemberState::new("f000").decide(&config(), 0, 1, false), deliver, "the view has no members");
}

// Guards against an owner that sends at the full rate to a destination that another member owned in between.
#[test]
fn reacquired_destination_restarts_slow_start() {
    let mut state = reconfirmed_at(members(1), 20 * SECOND);
    let two = vec![member(0, 1.0), member(1, 1.0)];
    let changes = state
        .on_view(&config(), 21 * SECOND, 21 * SECOND, view(6, two.clone()))
        .expect("a newer view is accepted");
    let lost = changes.first().expect("some destination has changed its owner").destination;
    assert!(changes.iter().all(|change| change.to.as_deref() == Some("f001")));
    assert_eq!(state.decide(&config(), 21 * SECOND, lost, false), DeliveryDecision::HandOver(&two[1]));
    state
        .on_view(&config(), 23 * SECOND, 23 * SECOND, view(7, members(1)))
        .expect("a newer view is accepted");
    assert_eq!(rate(&state, 23 * SECOND, lost), Rate::SlowStart(SlowStartReason::NewOwner));
    let kept = (0..LISTED).find(|listed| changes.iter().all(|change| change.destination != *listed));
    assert_eq!(rate(&state, 23 * SECOND, kept.expect("some destination has kept its owner")), Rate::Full);
}

#[test]
fn newly_listed_destination_starts_slow_and_the_others_keep_their_rate() {
    let mut state = reconfirmed_at(members(1), 20 * SECOND);
    state.set_destinations(20 * SECOND, 1..LISTED + 1);
    assert_eq!(rate(&state, 20 * SECOND, LISTED), Rate::SlowStart(SlowStartReason::NewOwner));
    assert_eq!(rate(&state, 20 * SECOND, 1), Rate::Full);
}

#[test]
fn draining_forwarder_hands_over_to_the_next_owner_and_accepts_no_handover() {
    let mut state = reconfirmed_at(members(3), 20 * SECOND);
    let destination = owned_destination(&state);
    state.start_draining();
    let rest = view(6, members(3)[1..].to_vec());
    let next = rest.owner(destination).expect("the view has members");
    assert_eq!(state.decide(&config(), 20 * SECOND, destination, false), DeliveryDecision::HandOver(next));
    let deliver = DeliveryDecision::Deliver(Rate::SlowStart(SlowStartReason::Draining));
    assert_eq!(state.decide(&config(), 20 * SECOND, destination, true), deliver);
    assert!(!state.accepts_handover());
    let mut alone = reconfirmed_at(members(1), 20 * SECOND);
    alone.start_draining();
    assert_eq!(alone.decide(&config(), 20 * SECOND, 1, false), deliver, "there is no other member");
}

#[test]
fn older_view_is_rejected_while_the_held_view_is_valid() {
    let mut state = reconfirmed_at(members(3), 20 * SECOND);
    let held = state.clone();
    assert!(state.on_view(&config(), 21 * SECOND, 21 * SECOND, view(4, members(2))).is_err());
    assert_eq!(state, held);
    state
        .on_view(&config(), 31 * SECOND, 31 * SECOND, view(4, members(2)))
        .expect("the held view has expired");
    assert_eq!(state.owners().view().version(), 4);
}

#[test]
fn invalid_times_are_rejected_with_the_reason() {
    let rejection = |change: fn(&mut OwnershipConfig)| {
        let mut config = config();
        change(&mut config);
        config.validate().expect_err("invalid times").to_string()
    };
    assert_eq!(config().validate(), Ok(()));
    assert_eq!(rejection(|config| config.session_ttl = 0), "the session TTL has to be longer than 0");
    assert_eq!(rejection(|config| config.view_lifetime = -1), "the view lifetime has to be longer than 0");
    assert_eq!(
        rejection(|config| config.clock_drift = 1.0),
        "the clock drift is 1: it has to be at least 0 and less than 1"
    );
    assert_eq!(
        rejection(|config| config.clock_drift = f64::NAN),
        "the clock drift is NaN: it has to be at least 0 and less than 1"
    );
    let shorter = "the warm-up time (9000000 us) is shorter than the view lifetime (10000000 us)";
    assert_eq!(rejection(|config| config.warm_up_time = 9 * SECOND), shorter);
}
