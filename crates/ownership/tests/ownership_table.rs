//! Checks that the ownership table agrees with lookups in its view after any sequence of changes.

mod common;

use common::{member, members, view};
use orchidyoke_ownership::{Member, OwnershipTable};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::{BTreeMap, BTreeSet};

/// The highest number of destinations that a table lists.
const LISTED: u64 = 300;

proptest! {
    #![proptest_config(ProptestConfig { cases: 60, rng_seed: RngSeed::Fixed(35), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn owners_agree_with_lookups_after_any_changes(
        views in prop::collection::vec(prop::collection::btree_map(0_usize..20, 1_u8..3, 0..20), 1..8),
        lists in prop::collection::vec(0..LISTED, 1..8),
    ) {
        let mut table = OwnershipTable::default();
        let mut version = 0;
        for (members, listed) in views.into_iter().zip(lists.into_iter().cycle()) {
            version += 1;
            let members: Vec<Member> =
                members.into_iter().map(|(number, weight)| member(number, f64::from(weight))).collect();
            let next = view(version, members);
            table.set_destinations(0..listed);
            let name = |table: &OwnershipTable, destination| {
                table.owner(destination).map(|owner| owner.name.clone())
            };
            let before: BTreeMap<u64, _> =
                (0..listed).map(|destination| (destination, name(&table, destination))).collect();
            let changes = table.replace_view(next.clone()).expect("the view is newer");
            let changed: BTreeSet<u64> = changes.iter().map(|change| change.destination).collect();
            for destination in 0..LISTED {
                let now = name(&table, destination);
                prop_assert_eq!(&now, &next.owner(destination).map(|owner| owner.name.clone()));
                if destination < listed {
                    prop_assert_eq!(changed.contains(&destination), now != before[&destination]);
                }
            }
            let owned: usize = next.members().iter().map(|member| table.owned_by(&member.name).count()).sum();
            prop_assert_eq!(owned as u64, if next.members().is_empty() { 0 } else { listed });
        }
    }
}

#[test]
fn older_view_is_rejected_and_the_same_version_changes_nothing() {
    let mut table = OwnershipTable::new(view(5, members(4)), 0..LISTED);
    let held = table.clone();
    let older = table.replace_view(view(4, members(3))).expect_err("the view is older");
    assert_eq!(older.to_string(), "the view of version 4 is older than the held view of version 5");
    assert_eq!(table, held);
    assert_eq!(table.replace_view(view(5, members(4))), Ok(Vec::new()));
    assert_eq!(table, held);
    assert!(!table.replace_view(view(6, members(3))).expect("the view is newer").is_empty());
}
