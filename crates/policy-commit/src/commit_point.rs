//! What stands at the commit point, and in what form.
//!
//! Below a prefix there are two folders. `epoch/committed` and `epoch/proposal` are the two keys that every forwarder
//! watches; `members/ID` is held by a forwarder's session and watched by who proposes.

use orchidyoke_consul::locks::Row;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::time::Duration;

/// Numbers the policies that were committed; 0: none was.
pub type Epoch = u64;

/// Where an installation's policy epochs are kept, and under which name this forwarder takes part.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Settings {
    /// The Consul with the commit point.
    pub consul: orchidyoke_consul::Settings,
    /// Where the keys are, without a slash at its end.
    pub prefix: String,
    /// The forwarder's name, the only one in the fleet; what its configuration names it where this is left out.
    pub name: Option<String>,
    /// How long a forwarder that is not heard of counts as one that is there.
    pub ttl: Duration,
}

impl Settings {
    /// The folder that every forwarder watches.
    pub fn epoch(&self) -> String {
        format!("{}/epoch/", self.prefix)
    }

    /// The key of what was committed.
    pub fn committed(&self) -> String {
        format!("{}/epoch/committed", self.prefix)
    }

    /// The key of what is proposed.
    pub fn proposal(&self) -> String {
        format!("{}/epoch/proposal", self.prefix)
    }

    /// The folder of those that are there.
    pub fn members(&self) -> String {
        format!("{}/members/", self.prefix)
    }
}

/// A policy with its number: proposed, or committed.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct NumberedPolicy {
    /// Tells it from every other proposal, also from one with the same number.
    pub id: String,
    /// Its number, once it is committed.
    pub epoch: Epoch,
    /// A digest of the policy's text.
    pub digest: String,
    /// The policy as JSON text.
    pub policy: String,
    /// Who proposed it.
    pub by: String,
}

impl NumberedPolicy {
    /// Numbers a policy.
    pub fn new(id: String, epoch: Epoch, policy: String, by: String) -> Self {
        let digest = digest(&policy);
        NumberedPolicy { id, epoch, digest, policy, by }
    }

    /// Whether its text is the one that it was written with.
    pub fn is_whole(&self) -> bool {
        digest(&self.policy) == self.digest
    }
}

/// The digest of a policy's text.
pub fn digest(policy: &str) -> String {
    format!("{:016x}", xxhash_rust::xxh3::xxh3_64(policy.as_bytes()))
}

/// What a forwarder says to a proposal.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Vote {
    /// The proposal's id.
    pub proposal: String,
    /// Why it cannot be used here; none: it is checked, staged and can be.
    pub no: Option<String>,
}

/// What a forwarder says of itself, in its key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MemberStatus {
    /// The epoch in force here.
    pub epoch: Epoch,
    /// Its last vote.
    pub vote: Option<Vote>,
    /// Why it does not use what is committed, where it cannot.
    pub refuses: Option<String>,
}

/// What stands in `epoch/`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Point {
    /// What is committed, and the index of that write.
    pub committed: Option<(NumberedPolicy, u64)>,
    /// What is proposed, the index of that write, and the session that holds it.
    pub proposal: Option<(NumberedPolicy, u64, Option<String>)>,
}

impl Point {
    /// Reads it from its rows. One that is not in form counts as not there: nobody acts on it.
    pub fn read(settings: &Settings, rows: &[Row]) -> Point {
        let find = |key: String| {
            let row = rows.iter().find(|row| row.key == key)?;
            let numbered: NumberedPolicy =
                serde_json::from_str(&row.text()).ok().filter(NumberedPolicy::is_whole)?;
            Some((numbered, row.modify_index, row.session.clone()))
        };
        let committed = find(settings.committed()).map(|(numbered, index, _)| (numbered, index));
        Point { committed, proposal: find(settings.proposal()) }
    }

    /// The epoch that is committed.
    pub fn epoch(&self) -> Epoch {
        self.committed.as_ref().map_or(0, |(numbered, _)| numbered.epoch)
    }
}

/// A forwarder that is there, by its key.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Member {
    /// Its name and the number of its process.
    pub id: String,
    /// What it says of itself; none where that is not in form.
    pub status: Option<MemberStatus>,
}

/// Those that are there: whose key is held by a session.
pub fn members(settings: &Settings, rows: &[Row]) -> Vec<Member> {
    let prefix = settings.members();
    rows.iter()
        .filter(|row| row.session.is_some())
        .filter_map(|row| {
            let id = row.key.strip_prefix(&prefix)?.to_owned();
            Some(Member { id, status: serde_json::from_str(&row.text()).ok() })
        })
        .collect()
}

/// Why a text is no policy.
#[derive(Debug, thiserror::Error)]
pub enum PolicyError {
    /// It is not JSON, or not of the form.
    #[error("the policy is not in form: {0}")]
    Form(#[from] serde_json::Error),
}

/// A policy: what the fleet agrees on.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Policy {
    /// A JSON merge patch (RFC 7396) laid over the configuration's `settings`: the module's settings and limits.
    #[serde(default, skip_serializing_if = "Value::is_null")]
    pub settings: Value,
    /// Endpoints of the transport map that are left out, by id.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub out: Vec<String>,
}

impl Policy {
    /// Reads a policy's text.
    pub fn read(text: &str) -> Result<Policy, PolicyError> {
        Ok(serde_json::from_str(text)?)
    }

    /// Lays it over the text of a configuration.
    pub fn lay_over(&self, configuration: &str) -> Result<String, PolicyError> {
        let mut document: Value = serde_json::from_str(configuration)?;
        if !self.settings.is_null() {
            json_patch::merge(&mut document["settings"], &self.settings);
        }
        document["policy_out"] = self.out.clone().into();
        Ok(document.to_string())
    }
}
