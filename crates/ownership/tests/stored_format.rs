//! Pins the stored form of the entries in a region's registry. An entry of an earlier version is read with every field,
//! and the same member is written as the same text.

use orchidyoke_ownership::{Member, Region};

const PLAIN: &str = include_str!("fixtures/member.json");
/// The entry of a member that has a quoted zone, a name beyond ASCII, an IPv6 address and a weight of 17 digits.
const UNUSUAL: &str = include_str!("fixtures/member-other.json");

fn region() -> Region {
    let zones = ["z-1", "z \"2\""].map(str::to_owned).into_iter().collect();
    Region { name: "r-1".to_owned(), zones }
}

fn plain() -> Member {
    Member {
        name: "f-1".to_owned(),
        region: "r-1".to_owned(),
        zone: "z-1".to_owned(),
        address: "127.0.0.1:8001".parse().expect("an address"),
        weight: 1.0,
    }
}

fn unusual() -> Member {
    Member {
        name: "f \u{e9}".to_owned(),
        region: "r-1".to_owned(),
        zone: "z \"2\"".to_owned(),
        address: "[2001:db8::1]:8002".parse().expect("an address"),
        weight: 0.1 + 0.2,
    }
}

#[test]
fn entry_of_the_previous_version_is_read_field_by_field_and_written_back() {
    for (text, member) in [(PLAIN, plain()), (UNUSUAL, unusual())] {
        assert_eq!(Member::parse_entry(&member.name, text, &region()).expect("the entry is read"), member);
        assert_eq!(member.to_entry(), text);
    }
}
