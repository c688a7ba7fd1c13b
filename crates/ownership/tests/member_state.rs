//! The decisions of one forwarder, step by step.

mod common;

use common::{member, members, view};
use orchidyoke_core::interface::Micros;
use orchidyoke_ownership::{DeliveryDecision, Member, MemberState, OwnershipConfig, Rate, SlowStartReason};

const S: Micros = 1_000_000;
const LISTED: u64 = 40;

fn config() -> OwnershipConfig {
    OwnershipConfig { session_ttl: 10 * S, view_lifetime: 10 * S, warm_up_time: 12 * S, clock_drift: 0.01 }
}

/// Returns the state of the first of these members, which has read its view and renewed its session at 0.
fn confirmed(members: Vec<Member>) -> MemberState {
    let mut state = MemberState::new("f000");
    state.set_destinations(0, 0..LISTED);
    state.on_view(&config(), 0, 0, view(5, members)).expect("the first view is accepted");
    state.on_registered(0, 0);
    state
}

/// Returns the same state after its warm-up time, with its view read and its session renewed at `now`.
fn warmed_up(members: Vec<Member>, now: Micros) -> MemberState {
    let mut state = confirmed(members.clone());
    state.on_view(&config(), now, now, view(5, members)).expect("a view of the same version is accepted");
    state.on_renewed(now);
    state
}

fn own(state: &MemberState) -> u64 {
    let owned = state.owners().owned_by("f000").next();
    owned.expect("the member owns a destination")
}

fn owned_by_other(state: &MemberState) -> u64 {
    let owned = state.owners().owned_by("f001").next();
    owned.expect("the member owns a destination")
}

fn rate(state: &MemberState, now: Micros, destination: u64) -> Rate {
    match state.decide(&config(), now, destination, false) {
        DeliveryDecision::Deliver(rate) => rate,
        DeliveryDecision::HandOver(to) => panic!("handed over to {}", to.name),
    }
}

#[test]
fn new_owner_keeps_to_slow_start_until_the_warm_up_time_is_over_by_any_clock() {
    let state = warmed_up(members(3), 12 * S);
    let over = 12 * S + 12 * S / 100;
    assert_eq!(rate(&state, over - 1, own(&state)), Rate::SlowStart(SlowStartReason::NewOwner));
    assert_eq!(rate(&state, over, own(&state)), Rate::Full);
}

#[test]
fn session_and_view_count_from_when_their_requests_were_sent() {
    let state = warmed_up(members(3), 20 * S);
    let counts = 20 * S + (10.0 * S as f64 / 1.01) as Micros;
    assert_eq!(rate(&state, counts - 1, own(&state)), Rate::Full);
    assert_eq!(rate(&state, counts, own(&state)), Rate::SlowStart(SlowStartReason::Unconfirmed));
    for renewed in [true, false] {
        let mut state = state.clone();
        match renewed {
            true => state.on_renewed(25 * S),
            false => drop(state.on_view(&config(), 25 * S, 25 * S, view(5, members(3)))),
        }
        assert_eq!(
            rate(&state, counts, own(&state)),
            Rate::SlowStart(SlowStartReason::Unconfirmed),
            "session and view both have to be valid"
        );
    }
    // A forwarder that was suspended is not confirmed when it resumes.
    assert_eq!(rate(&state, 90 * S, own(&state)), Rate::SlowStart(SlowStartReason::Unconfirmed));
}

// Guards against an owner that did not see that another member owned its destinations between its two sessions.
#[test]
fn lost_session_ends_the_full_rate_and_a_new_one_restarts_slow_start() {
    let mut state = warmed_up(members(3), 20 * S);
    state.on_session_lost();
    assert_eq!(rate(&state, 20 * S, own(&state)), Rate::SlowStart(SlowStartReason::Unconfirmed));
    state.on_renewed(21 * S);
    assert_eq!(
        rate(&state, 21 * S, own(&state)),
        Rate::SlowStart(SlowStartReason::Unconfirmed),
        "a late answer to a renewal does not restore the session"
    );
    state.on_registered(22 * S, 21 * S);
    assert_eq!(rate(&state, 22 * S, own(&state)), Rate::SlowStart(SlowStartReason::NewOwner));
    state
        .on_view(&config(), 34 * S, 34 * S, view(5, members(3)))
        .expect("a view of the same version is accepted");
    state.on_renewed(34 * S);
    assert_eq!(rate(&state, 35 * S, own(&state)), Rate::Full);
}

#[test]
fn message_for_another_owner_is_handed_over_once() {
    let state = warmed_up(members(3), 20 * S);
    let destination = owned_by_other(&state);
    assert_eq!(
        state.decide(&config(), 20 * S, destination, false),
        DeliveryDecision::HandOver(&member(1, 1.0))
    );
    let delivers = DeliveryDecision::Deliver(Rate::SlowStart(SlowStartReason::NotOwner));
    assert_eq!(state.decide(&config(), 20 * S, destination, true), delivers);
    let handed_over_own = state.decide(&config(), 20 * S, own(&state), true);
    assert_eq!(handed_over_own, DeliveryDecision::Deliver(Rate::Full));
    assert_eq!(MemberState::new("f000").decide(&config(), 0, 1, false), delivers, "the view has no members");
}

#[test]
fn reacquired_destination_restarts_slow_start() {
    let mut state = warmed_up(members(1), 20 * S);
    let two = vec![member(0, 1.0), member(1, 1.0)];
    let changes =
        state.on_view(&config(), 21 * S, 21 * S, view(6, two.clone())).expect("a newer view is accepted");
    let lost = changes.first().expect("some destination has changed its owner").destination;
    assert!(changes.iter().all(|change| change.to.as_deref() == Some("f001")));
    assert_eq!(state.decide(&config(), 21 * S, lost, false), DeliveryDecision::HandOver(&two[1]));
    state.on_view(&config(), 23 * S, 23 * S, view(7, members(1))).expect("a newer view is accepted");
    assert_eq!(rate(&state, 23 * S, lost), Rate::SlowStart(SlowStartReason::NewOwner));
    let kept = (0..LISTED).find(|listed| changes.iter().all(|change| change.destination != *listed));
    assert_eq!(rate(&state, 23 * S, kept.expect("some destination has kept its owner")), Rate::Full);
}

#[test]
fn newly_listed_destination_starts_slow_and_the_others_keep_their_rate() {
    let mut state = warmed_up(members(1), 20 * S);
    state.set_destinations(20 * S, 1..LISTED + 1);
    assert_eq!(rate(&state, 20 * S, LISTED), Rate::SlowStart(SlowStartReason::NewOwner));
    assert_eq!(rate(&state, 20 * S, 1), Rate::Full);
}

#[test]
fn draining_forwarder_hands_over_to_the_next_owner_and_accepts_no_handover() {
    let mut state = warmed_up(members(3), 20 * S);
    let destination = own(&state);
    state.start_draining();
    let rest = view(6, members(3)[1..].to_vec());
    let next = rest.owner(destination).expect("the view has members");
    assert_eq!(state.decide(&config(), 20 * S, destination, false), DeliveryDecision::HandOver(next));
    let delivers = DeliveryDecision::Deliver(Rate::SlowStart(SlowStartReason::Draining));
    assert_eq!(state.decide(&config(), 20 * S, destination, true), delivers);
    assert!(!state.accepts_handover());
    let mut alone = warmed_up(members(1), 20 * S);
    alone.start_draining();
    assert_eq!(alone.decide(&config(), 20 * S, 1, false), delivers, "there is no other member");
}

#[test]
fn older_view_is_rejected_while_the_one_held_counts() {
    let mut state = warmed_up(members(3), 20 * S);
    let held = state.clone();
    assert!(state.on_view(&config(), 21 * S, 21 * S, view(4, members(2))).is_err());
    assert_eq!(state, held);
    state.on_view(&config(), 31 * S, 31 * S, view(4, members(2))).expect("the held view has expired");
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
    assert_eq!(rejection(|config| config.warm_up_time = 9 * S), shorter);
}
