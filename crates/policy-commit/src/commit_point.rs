//! The commit point on Consul: the committed and the proposed policy, and the participants with their votes.
//!
//! Below a prefix there are two folders ([`Settings`]). Every forwarder watches the one with the committed and the
//! proposed policy. The other has a key for each participant, held by its session, and is watched by coordinators alone.

use crate::policy::{PolicyVersion, VersionedPolicy};
use crate::settings::Settings;
use orchidyoke_consul::locks::KeyEntry;
use serde::{Deserialize, Serialize};

/// A participant's vote on a proposal.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Vote {
    /// The id of the proposal.
    #[serde(rename = "proposal")]
    pub proposal_id: String,
    /// Why the participant rejects it; none: it is checked and staged.
    #[serde(rename = "no")]
    pub rejection: Option<String>,
}

/// What a participant publishes in its key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MemberStatus {
    /// The version in force on it.
    #[serde(rename = "epoch")]
    pub version: PolicyVersion,
    /// Its last vote.
    pub vote: Option<Vote>,
    /// Why it cannot use the committed policy, if it cannot.
    #[serde(rename = "refuses")]
    pub unusable_reason: Option<String>,
}

/// The committed policy.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Committed {
    /// The policy.
    pub policy: VersionedPolicy,
    /// Consul's index of the write that committed it.
    pub modify_index: u64,
}

/// The proposed policy.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Proposal {
    /// The policy.
    pub policy: VersionedPolicy,
    /// Consul's index of the write that proposed it.
    pub modify_index: u64,
    /// The coordinator's session, which holds the key.
    pub session: Option<String>,
}

/// The committed and the proposed policy at one time.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct CommitPoint {
    /// The committed policy, if one was committed.
    pub committed: Option<Committed>,
    /// The proposed policy, while a proposal is open.
    pub proposal: Option<Proposal>,
}

impl CommitPoint {
    /// Reads it from the rows of its folder. A value that is not in form, or does not match its digest, is left out.
    pub fn from_rows(settings: &Settings, rows: &[KeyEntry]) -> CommitPoint {
        let find = |key: String| {
            let row = rows.iter().find(|row| row.key == key)?;
            let policy: VersionedPolicy = serde_json::from_str(&row.value_text()).ok()?;
            policy.is_intact().then_some((row, policy))
        };
        let committed = find(settings.committed_key())
            .map(|(row, policy)| Committed { policy, modify_index: row.modify_index });
        let proposal = find(settings.proposal_key()).map(|(row, policy)| Proposal {
            policy,
            modify_index: row.modify_index,
            session: row.session.clone(),
        });
        CommitPoint { committed, proposal }
    }

    /// The committed version.
    pub fn version(&self) -> PolicyVersion {
        self.committed.as_ref().map_or(0, |committed| committed.policy.version)
    }

    /// Consul's index of the last commit; 0 before the first, as a check-and-set of a new key has it.
    pub fn committed_index(&self) -> u64 {
        self.committed.as_ref().map_or(0, |committed| committed.modify_index)
    }
}

/// A participant whose session is alive.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Member {
    /// The forwarder's name and the id of its process.
    pub id: String,
    /// What it publishes; none where that is not in form.
    pub status: Option<MemberStatus>,
}

impl Member {
    /// Its vote on a proposal, if it has voted.
    pub fn vote_on(&self, proposal_id: &str) -> Option<&Vote> {
        let vote = self.status.as_ref()?.vote.as_ref()?;
        (vote.proposal_id == proposal_id).then_some(vote)
    }
}

/// The participants whose key a session holds, from the rows of their folder.
pub fn members_from_rows(settings: &Settings, rows: &[KeyEntry]) -> Vec<Member> {
    let folder = settings.members_folder();
    let member = |row: &KeyEntry| {
        let id = row.key.strip_prefix(&folder)?.to_owned();
        Some(Member { id, status: serde_json::from_str(&row.value_text()).ok() })
    };
    rows.iter().filter(|row| row.session.is_some()).filter_map(member).collect()
}
