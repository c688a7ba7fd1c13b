//! Checks which members are valid in a view, and that a change of members moves only the destinations that must move.

mod common;

use common::{member, members, region, view};
use orchidyoke_ownership::{EntryError, Member, View, ViewError};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::BTreeMap;

const DESTINATIONS: u64 = 20_000;

fn config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(35),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn owners(view: &View) -> Vec<Option<String>> {
    (0..DESTINATIONS).map(|destination| view.owner(destination).map(|owner| owner.name.clone())).collect()
}

/// Returns how many destinations each member owns.
fn counts(view: &View) -> BTreeMap<String, u64> {
    let mut counts = BTreeMap::new();
    for owner in owners(view).into_iter().flatten() {
        *counts.entry(owner).or_default() += 1;
    }
    counts
}

/// Returns whether a count is within six standard deviations of a share of all destinations.
fn is_share(count: u64, share: f64) -> bool {
    let expected = DESTINATIONS as f64 * share;
    (count as f64 - expected).abs() < 6.0 * (expected * (1.0 - share)).sqrt() + 1.0
}

proptest! {
    #![proptest_config(config(24))]

    #[test]
    fn view_does_not_depend_on_the_order_of_members(
        weights in prop::collection::vec(0.1_f64..8.0, 1..30),
        seed in any::<u64>(),
    ) {
        let ordered: Vec<Member> =
            weights.iter().enumerate().map(|(number, weight)| member(number, *weight)).collect();
        let mut shuffled = ordered.clone();
        shuffled.sort_by_key(|member| (member.address.port() as u64).wrapping_mul(seed | 1));
        prop_assert_eq!(view(1, ordered), view(1, shuffled));
    }

    #[test]
    fn leaving_member_moves_only_its_own_destinations_by_its_share(
        weights in prop::collection::vec(0.5_f64..4.0, 2..40),
        leaving_index in any::<prop::sample::Index>(),
    ) {
        let all: Vec<Member> =
            weights.iter().enumerate().map(|(number, weight)| member(number, *weight)).collect();
        let leaving = leaving_index.index(all.len());
        let share = weights[leaving] / weights.iter().sum::<f64>();
        let mut rest = all.clone();
        let leaving_name = rest.remove(leaving).name;
        let (owners_before, owners_after) = (owners(&view(1, all)), owners(&view(2, rest)));
        let moved = owners_before.iter().zip(&owners_after).filter(|(with, without)| with != without);
        let moved: Vec<_> = moved.collect();
        prop_assert!(
            moved.iter().all(|(with, _)| with.as_deref() == Some(&leaving_name)),
            "only its own destinations move"
        );
        prop_assert!(is_share(moved.len() as u64, share), "{} destinations moved, expected a share of {share}", moved.len());
    }

    #[test]
    fn each_member_owns_the_share_of_its_weight(weights in prop::collection::vec(0.5_f64..4.0, 1..20)) {
        let all: Vec<Member> =
            weights.iter().enumerate().map(|(number, weight)| member(number, *weight)).collect();
        let (counts, sum) = (counts(&view(1, all.clone())), weights.iter().sum::<f64>());
        for member in all {
            let count = counts.get(&member.name).copied().unwrap_or(0);
            prop_assert!(is_share(count, member.weight / sum), "{}: {count}", member.name);
        }
    }

    #[test]
    fn lost_zone_moves_its_destinations_spread_by_weight(count in 4_usize..40) {
        let full_view = view(1, members(count));
        let remaining: Vec<Member> = members(count).into_iter().filter(|member| member.zone == "z0").collect();
        let rest = view(2, remaining.clone());
        let mut gained: BTreeMap<String, u64> = BTreeMap::new();
        for (with, without) in owners(&full_view).into_iter().zip(owners(&rest)) {
            if with != without {
                let lost = with.and_then(|name| full_view.member(&name)).expect("the destination had an owner");
                prop_assert_eq!(&lost.zone, "z1");
                *gained.entry(without.expect("the destination has an owner")).or_default() += 1;
            }
        }
        let lost = (count - remaining.len()) as f64 / count as f64;
        for member in remaining {
            let expected_share = lost / (count as f64 - count as f64 * lost);
            prop_assert!(is_share(gained[&member.name], expected_share), "{}: {}", member.name, gained[&member.name]);
        }
    }

    #[test]
    fn entry_is_parsed_as_it_was_written(weight in 0.1_f64..1e6, port in 1_u16.., number in 0_usize..1000) {
        let mut written = member(number, weight);
        written.address.set_port(port);
        prop_assert_eq!(Member::parse_entry(&written.name, &written.to_entry(), &region()), Ok(written));
    }

    #[test]
    fn arbitrary_text_is_never_parsed_as_an_entry(text in ".{0,80}") {
        prop_assert!(Member::parse_entry("f", &text, &region()).is_err());
    }
}

#[test]
fn invalid_members_are_rejected_with_the_reason() {
    let rejection = |change: fn(&mut Member)| {
        let mut changed = member(1, 1.0);
        change(&mut changed);
        View::new(1, &region(), vec![member(0, 1.0), changed]).expect_err("an invalid member").to_string()
    };
    assert_eq!(
        rejection(|member| member.region = "r9".to_owned()),
        "f001 reports region r9, but this registry is of region r0"
    );
    assert_eq!(
        rejection(|member| member.zone = "z9".to_owned()),
        "f001 reports zone z9, which region r0 does not have"
    );
    assert_eq!(rejection(|member| member.name = "f000".to_owned()), "two forwarders are called f000");
    assert_eq!(
        rejection(|member| member.name = String::new()),
        "the forwarder at 127.0.0.1:1001 has no name"
    );
    for weight in [0.0, -1.0, f64::NAN, f64::INFINITY, -f64::INFINITY] {
        let mut changed = member(1, weight);
        changed.weight = weight;
        let error = View::new(1, &region(), vec![changed]).expect_err("an invalid weight").to_string();
        assert_eq!(error, format!("the weight of f001 is {weight}: it has to be a finite number above 0"));
    }
}

// Guards against an invalid entry that stops a region, and against members that leave out different entries
// and therefore find different owners.
#[test]
fn unreadable_entries_are_left_out_and_reported() {
    let good = member(0, 1.0);
    let foreign = member(2, 1.0).to_entry().replace("r0", "r9");
    let text = good.to_entry();
    let truncated = &text[..text.len() / 2];
    let entries = [
        ("f000", text.as_str()),
        ("f001", truncated),
        ("f002", foreign.as_str()),
        ("f003", ""),
        ("f000", &text),
    ];
    let (view, errors) = View::from_entries(7, &region(), entries);
    assert_eq!((view.version(), view.members()), (7, &[good][..]));
    assert!(matches!(
        &errors[..],
        [
            ViewError::Entry(EntryError::Unreadable { .. }),
            ViewError::Entry(EntryError::Region { .. }),
            ViewError::Entry(EntryError::Unreadable { .. }),
            ViewError::DuplicateName { .. },
        ]
    ));
    let infinite_weight = text.replace("1.0", "1e999");
    assert!(Member::parse_entry("f000", &infinite_weight, &region()).is_err(), "{infinite_weight}");
}

#[test]
fn view_without_members_has_no_owners() {
    assert_eq!(View::default().owner(1), None);
    assert_eq!(View::default().members(), []);
}

#[test]
fn ranking_is_the_order_of_owners_as_members_leave() {
    for destination in 0..50 {
        let full_view = view(1, members(12));
        let ranked: Vec<&Member> = full_view.ranking(destination);
        let mut remaining = members(12);
        for member in ranked {
            assert_eq!(view(2, remaining.clone()).owner(destination), Some(member));
            remaining.retain(|other| other.name != member.name);
        }
    }
}
