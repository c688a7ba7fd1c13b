//! The table of owners says what lookups in its view say, whatever has happened before.

mod common;

use common::{member, members, view};
use orchidyoke_ownership::{Member, Partition};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::{BTreeMap, BTreeSet};

const LISTED: u64 = 300;

proptest! {
    #![proptest_config(ProptestConfig { cases: 60, rng_seed: RngSeed::Fixed(35), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn it_says_what_lookups_say(
        views in prop::collection::vec(prop::collection::btree_map(0_usize..20, 1_u8..3, 0..20), 1..8),
        lists in prop::collection::vec(0..LISTED, 1..8),
    ) {
        let mut partition = Partition::default();
        let mut version = 0;
        for (members, listed) in views.into_iter().zip(lists.into_iter().cycle()) {
            version += 1;
            let members: Vec<Member> =
                members.into_iter().map(|(number, weight)| member(number, f64::from(weight))).collect();
            let next = view(version, members);
            partition.list(0..listed);
            let name = |partition: &Partition, destination| {
                partition.owner(destination).map(|owner| owner.name.clone())
            };
            let before: BTreeMap<u64, _> = (0..listed).map(|d| (d, name(&partition, d))).collect();
            let moves = partition.replace(next.clone()).expect("it is newer");
            let moved: BTreeSet<u64> = moves.iter().map(|moved| moved.destination).collect();
            for destination in 0..LISTED {
                let now = name(&partition, destination);
                prop_assert_eq!(&now, &next.owner(destination).map(|owner| owner.name.clone()));
                if destination < listed {
                    prop_assert_eq!(moved.contains(&destination), now != before[&destination]);
                }
            }
            let owned: usize = next.members().iter().map(|member| partition.owned_by(&member.name).count()).sum();
            prop_assert_eq!(owned as u64, if next.members().is_empty() { 0 } else { listed });
        }
    }
}

#[test]
fn an_older_view_changes_nothing_and_the_same_version_is_no_change() {
    let mut partition = Partition::new(view(5, members(4)), 0..LISTED);
    let held = partition.clone();
    let older = partition.replace(view(4, members(3))).expect_err("it is older");
    assert_eq!(older.to_string(), "a view of version 4 is older than the one held, 5");
    assert_eq!(partition, held);
    assert_eq!(partition.replace(view(5, members(4))), Ok(Vec::new()));
    assert_eq!(partition, held);
    assert!(!partition.replace(view(6, members(3))).expect("it is newer").is_empty());
}
