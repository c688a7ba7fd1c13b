//! A region with two zones, for the tests.

#![allow(dead_code)]

use orchidyoke_ownership::{Member, Region, View};

/// Returns the region of the tests.
pub fn region() -> Region {
    let zones = ["z0", "z1"].map(str::to_owned).into_iter().collect();
    Region { name: "r0".to_owned(), zones }
}

/// Returns a member. Members with an odd number are in the second zone.
pub fn member(number: usize, weight: f64) -> Member {
    Member {
        name: format!("f{number:03}"),
        region: "r0".to_owned(),
        zone: format!("z{}", number % 2),
        address: ([127, 0, 0, 1], 1000 + number as u16).into(),
        weight,
    }
}

/// Returns members of weight 1.
pub fn members(count: usize) -> Vec<Member> {
    (0..count).map(|number| member(number, 1.0)).collect()
}

/// Returns a view of these members.
pub fn view(version: u64, members: Vec<Member>) -> View {
    View::new(version, &region(), members).expect("the members are valid")
}
