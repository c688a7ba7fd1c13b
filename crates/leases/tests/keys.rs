//! Pins the Consul keys of leases, because members of two versions share one fleet.

use orchidyoke_consul::locks::KeyEntry;
use orchidyoke_leases::keys::{LeaseKey, LeaseKeys};

fn row(key: &str) -> KeyEntry {
    KeyEntry { key: key.to_owned(), value: None, session: None, modify_index: 1 }
}

// Guards against a renamed key, under which members of another version do not find a member or a lease.
#[test]
fn key_names_are_pinned_and_parse_back() {
    let keys = LeaseKeys::new("orchidyoke/one");
    assert_eq!(keys.folder(), "orchidyoke/one/");
    let member = LeaseKey::Member("a".to_owned());
    for (key, name) in [(member, "orchidyoke/one/members/a"), (LeaseKey::Lease(7), "orchidyoke/one/duties/7")]
    {
        assert_eq!(keys.name(&key), name);
        assert_eq!(keys.parse(&row(name)), Some(key));
    }
}

// Guards against a key of another fleet, or of no lease, that is read as a lease of this fleet.
#[test]
fn keys_of_others_are_ignored() {
    let keys = LeaseKeys::new("orchidyoke/one");
    for name in
        ["orchidyoke/two/duties/7", "orchidyoke/one/duties/x", "orchidyoke/one/other/7", "orchidyoke/one7"]
    {
        assert_eq!(keys.parse(&row(name)), None, "{name}");
    }
}
