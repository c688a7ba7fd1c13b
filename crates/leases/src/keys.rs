//! The Consul keys of leases. One folder has the keys of members, and one has the locks of leases.
//!
//! The session of a member holds the key `PREFIX/members/NAME`, whose value is the member's weight. The key
//! `PREFIX/duties/NUMBER` is the lock of a lease.

use crate::LeaseId;
use crate::placement::MemberName;
use orchidyoke_consul::locks::KeyEntry;

/// The folder of the members' keys, below the prefix.
const MEMBERS_FOLDER: &str = "members";
/// The folder of the leases' locks, below the prefix.
const LEASES_FOLDER: &str = "duties";

/// The names of the keys below one prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseKeys {
    prefix: String,
}

/// The meaning of a key below the prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseKey {
    /// The key of a member.
    Member(MemberName),
    /// The lock of a lease.
    Lease(LeaseId),
}

impl LeaseKeys {
    /// Creates the names of the keys below this prefix, which has no slash at its end.
    pub fn new(prefix: &str) -> Self {
        LeaseKeys { prefix: prefix.to_owned() }
    }

    /// Returns the folder with all keys, as a prefix for queries.
    pub fn folder(&self) -> String {
        format!("{}/", self.prefix)
    }

    /// Returns the full name of a key.
    pub fn name(&self, key: &LeaseKey) -> String {
        match key {
            LeaseKey::Member(member) => format!("{}/{MEMBERS_FOLDER}/{member}", self.prefix),
            LeaseKey::Lease(lease) => format!("{}/{LEASES_FOLDER}/{lease}", self.prefix),
        }
    }

    /// Returns the meaning of this row's key, or `None` if it is neither the key of a member nor the lock of a lease.
    pub fn parse(&self, row: &KeyEntry) -> Option<LeaseKey> {
        let relative_name = row.key.strip_prefix(&self.prefix)?.strip_prefix('/')?;
        match relative_name.split_once('/')? {
            (MEMBERS_FOLDER, member) => Some(LeaseKey::Member(member.to_owned())),
            (LEASES_FOLDER, lease) => lease.parse().ok().map(LeaseKey::Lease),
            _ => None,
        }
    }
}
