//! The Consul keys of leases: one folder for members, one for the locks of leases.
//!
//! `PREFIX/members/NAME` is held by a member's session; its value is the member's weight. `PREFIX/duties/NUMBER` is the
//! lock of a lease.

use crate::LeaseId;
use crate::placement::MemberName;
use orchidyoke_consul::locks::KeyEntry;

/// Folder of the members below the prefix.
const MEMBERS_FOLDER: &str = "members";
/// Folder of the leases' locks below the prefix.
const LEASES_FOLDER: &str = "duties";

/// The keys below one prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseKeys {
    prefix: String,
}

/// What a key below the prefix stands for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseKey {
    /// The registration of a member.
    Member(MemberName),
    /// The lock of a lease.
    Lease(LeaseId),
}

impl LeaseKeys {
    /// The keys below this prefix, given without a slash at its end.
    pub fn new(prefix: &str) -> Self {
        LeaseKeys { prefix: prefix.to_owned() }
    }

    /// The folder with all keys, as a prefix for queries.
    pub fn folder(&self) -> String {
        format!("{}/", self.prefix)
    }

    /// The whole name of a key.
    pub fn name(&self, key: &LeaseKey) -> String {
        match key {
            LeaseKey::Member(member) => format!("{}/{MEMBERS_FOLDER}/{member}", self.prefix),
            LeaseKey::Lease(lease) => format!("{}/{LEASES_FOLDER}/{lease}", self.prefix),
        }
    }

    /// What the key of this row stands for; none where it is neither a member's nor a lease's.
    pub fn parse(&self, row: &KeyEntry) -> Option<LeaseKey> {
        let below = row.key.strip_prefix(&self.prefix)?.strip_prefix('/')?;
        match below.split_once('/')? {
            (MEMBERS_FOLDER, member) => Some(LeaseKey::Member(member.to_owned())),
            (LEASES_FOLDER, lease) => lease.parse().ok().map(LeaseKey::Lease),
            _ => None,
        }
    }
}
