//! The roles of a forwarder, step by step.

mod common;

use common::{member, members, view};
use orchidyoke_core::interface::Micros;
use orchidyoke_ownership::{ColdReason, Member, Rate, Role, Roles, Terms};

const S: Micros = 1_000_000;
const LISTED: u64 = 40;

fn terms() -> Terms {
    Terms { ttl: 10 * S, view_time: 10 * S, cold_time: 12 * S, drift: 0.01 }
}

/// The first of these members, which has looked and renewed at 0.
fn confirmed(members: Vec<Member>) -> Roles {
    let mut roles = Roles::new("f000");
    roles.list(0, 0..LISTED);
    roles.looked(&terms(), 0, 0, view(5, members)).expect("it is the first");
    roles.registered(0, 0);
    roles
}

/// The same, once its cold time is over: looked and renewed then.
fn warm(members: Vec<Member>, now: Micros) -> Roles {
    let mut roles = confirmed(members.clone());
    roles.looked(&terms(), now, now, view(5, members)).expect("it is the same");
    roles.renewed(now);
    roles
}

fn own(roles: &Roles) -> u64 {
    let owned = roles.partition().owned_by("f000").next();
    owned.expect("it owns some")
}

fn foreign(roles: &Roles) -> u64 {
    let owned = roles.partition().owned_by("f001").next();
    owned.expect("it owns some")
}

fn rate(roles: &Roles, now: Micros, destination: u64) -> Rate {
    match roles.role(&terms(), now, destination, false) {
        Role::Deliver(rate) => rate,
        Role::HandOver(to) => panic!("handed over to {}", to.name),
    }
}

#[test]
fn a_new_owner_is_cold_until_its_time_is_over_by_any_clock() {
    let roles = warm(members(3), 12 * S);
    let over = 12 * S + 12 * S / 100;
    assert_eq!(rate(&roles, over - 1, own(&roles)), Rate::Cold(ColdReason::NewOwner));
    assert_eq!(rate(&roles, over, own(&roles)), Rate::Full);
}

#[test]
fn a_session_and_a_view_count_from_when_they_were_asked_for() {
    let roles = warm(members(3), 20 * S);
    let counts = 20 * S + (10.0 * S as f64 / 1.01) as Micros;
    assert_eq!(rate(&roles, counts - 1, own(&roles)), Rate::Full);
    assert_eq!(rate(&roles, counts, own(&roles)), Rate::Cold(ColdReason::Unconfirmed));
    for renewed in [true, false] {
        let mut roles = roles.clone();
        match renewed {
            true => roles.renewed(25 * S),
            false => drop(roles.looked(&terms(), 25 * S, 25 * S, view(5, members(3)))),
        }
        assert_eq!(
            rate(&roles, counts, own(&roles)),
            Rate::Cold(ColdReason::Unconfirmed),
            "one of the two is not enough"
        );
    }
    // A forwarder that was frozen finds that when it wakes.
    assert_eq!(rate(&roles, 90 * S, own(&roles)), Rate::Cold(ColdReason::Unconfirmed));
}

// Guards against an owner that was away between two sessions and has not seen that another owned what it owns.
#[test]
fn a_lost_session_ends_the_whole_rate_at_once_and_the_next_begins_anew() {
    let mut roles = warm(members(3), 20 * S);
    roles.session_lost();
    assert_eq!(rate(&roles, 20 * S, own(&roles)), Rate::Cold(ColdReason::Unconfirmed));
    roles.renewed(21 * S);
    assert_eq!(
        rate(&roles, 21 * S, own(&roles)),
        Rate::Cold(ColdReason::Unconfirmed),
        "an answer that was late"
    );
    roles.registered(22 * S, 21 * S);
    assert_eq!(rate(&roles, 22 * S, own(&roles)), Rate::Cold(ColdReason::NewOwner));
    roles.looked(&terms(), 34 * S, 34 * S, view(5, members(3))).expect("it is the same");
    roles.renewed(34 * S);
    assert_eq!(rate(&roles, 35 * S, own(&roles)), Rate::Full);
}

#[test]
fn what_another_owns_is_handed_over_and_what_was_handed_over_stays() {
    let roles = warm(members(3), 20 * S);
    let destination = foreign(&roles);
    assert_eq!(roles.role(&terms(), 20 * S, destination, false), Role::HandOver(&member(1, 1.0)));
    let stays = Role::Deliver(Rate::Cold(ColdReason::NotOwner));
    assert_eq!(roles.role(&terms(), 20 * S, destination, true), stays);
    let marked_own = roles.role(&terms(), 20 * S, own(&roles), true);
    assert_eq!(marked_own, Role::Deliver(Rate::Full));
    assert_eq!(Roles::new("f000").role(&terms(), 0, 1, false), stays, "there is nobody");
}

#[test]
fn who_loses_a_destination_and_gets_it_back_begins_anew() {
    let mut roles = warm(members(1), 20 * S);
    let two = vec![member(0, 1.0), member(1, 1.0)];
    let moves = roles.looked(&terms(), 21 * S, 21 * S, view(6, two.clone())).expect("it is newer");
    let lost = moves.first().expect("some move").destination;
    assert!(moves.iter().all(|moved| moved.to.as_deref() == Some("f001")));
    assert_eq!(roles.role(&terms(), 21 * S, lost, false), Role::HandOver(&two[1]));
    roles.looked(&terms(), 23 * S, 23 * S, view(7, members(1))).expect("it is newer");
    assert_eq!(rate(&roles, 23 * S, lost), Rate::Cold(ColdReason::NewOwner));
    let kept = (0..LISTED).find(|listed| moves.iter().all(|moved| moved.destination != *listed));
    assert_eq!(rate(&roles, 23 * S, kept.expect("some stay")), Rate::Full);
}

#[test]
fn a_destination_that_is_listed_anew_begins_cold_and_the_others_stay() {
    let mut roles = warm(members(1), 20 * S);
    roles.list(20 * S, 1..LISTED + 1);
    assert_eq!(rate(&roles, 20 * S, LISTED), Rate::Cold(ColdReason::NewOwner));
    assert_eq!(rate(&roles, 20 * S, 1), Rate::Full);
}

#[test]
fn who_leaves_hands_over_to_who_owns_it_next_and_takes_nothing_over() {
    let mut roles = warm(members(3), 20 * S);
    let destination = own(&roles);
    roles.leave();
    let rest = view(6, members(3)[1..].to_vec());
    let next = rest.owner(destination).expect("there is one");
    assert_eq!(roles.role(&terms(), 20 * S, destination, false), Role::HandOver(next));
    let finishes = Role::Deliver(Rate::Cold(ColdReason::Leaving));
    assert_eq!(roles.role(&terms(), 20 * S, destination, true), finishes);
    assert!(!roles.takes_over());
    let mut alone = warm(members(1), 20 * S);
    alone.leave();
    assert_eq!(alone.role(&terms(), 20 * S, 1, false), finishes, "there is nobody to have it");
}

#[test]
fn an_older_view_is_refused_until_the_one_held_counts_no_more() {
    let mut roles = warm(members(3), 20 * S);
    let held = roles.clone();
    assert!(roles.looked(&terms(), 21 * S, 21 * S, view(4, members(2))).is_err());
    assert_eq!(roles, held);
    roles.looked(&terms(), 31 * S, 31 * S, view(4, members(2))).expect("the one held is over");
    assert_eq!(roles.partition().view().version(), 4);
}

#[test]
fn terms_that_keep_no_promise_are_refused() {
    let refused = |change: fn(&mut Terms)| {
        let mut terms = terms();
        change(&mut terms);
        terms.check().expect_err("they keep none").to_string()
    };
    assert_eq!(terms().check(), Ok(()));
    assert_eq!(refused(|terms| terms.ttl = 0), "the ttl has to be longer than 0");
    assert_eq!(refused(|terms| terms.view_time = -1), "the view time has to be longer than 0");
    assert_eq!(refused(|terms| terms.drift = 1.0), "a drift of 1 is no part of at least 0 and less than 1");
    assert_eq!(
        refused(|terms| terms.drift = f64::NAN),
        "a drift of NaN is no part of at least 0 and less than 1"
    );
    let shorter = "the cold time (9000000 us) is shorter than the time that a view counts (10000000 us)";
    assert_eq!(refused(|terms| terms.cold_time = 9 * S), shorter);
}
