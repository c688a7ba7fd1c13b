//! The commit point on Consul, which has the committed policy, the proposed policy, and the participants with their
//! votes.
//!
//! Below a prefix there are two folders ([`Settings`]). One has the committed and the proposed policy, and every
//! forwarder watches it. The other has a key for each participant, which the participant's session holds, and only
//! coordinators watch it.

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
    /// The reason why the participant rejects the proposal. `None` if the participant has checked and staged it.
    #[serde(rename = "no")]
    pub rejection: Option<String>,
}

/// The status that a participant publishes in its key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MemberStatus {
    /// The version of the policy in force on the participant.
    #[serde(rename = "epoch")]
    pub version: PolicyVersion,
    /// The participant's last vote, or `None` if it has not voted or no proposal is open.
    pub vote: Option<Vote>,
    /// The reason why the participant cannot use the committed policy, or `None` if it can.
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
    /// The committed policy, or `None` before the first commit.
    pub committed: Option<Committed>,
    /// The proposed policy, or `None` if no proposal is open.
    pub proposal: Option<Proposal>,
}

impl CommitPoint {
    /// Parses the commit point from the rows of its folder. A value that cannot be parsed, or does not match its
    /// digest, is treated as absent.
    pub fn from_rows(settings: &Settings, rows: &[KeyEntry]) -> CommitPoint {
        let find_policy = |key: String| {
            let row = rows.iter().find(|row| row.key == key)?;
            let policy: VersionedPolicy = serde_json::from_str(&row.value_text()).ok()?;
            policy.is_intact().then_some((row, policy))
        };
        let committed = find_policy(settings.committed_key())
            .map(|(row, policy)| Committed { policy, modify_index: row.modify_index });
        let proposal = find_policy(settings.proposal_key()).map(|(row, policy)| Proposal {
            policy,
            modify_index: row.modify_index,
            session: row.session.clone(),
        });
        CommitPoint { committed, proposal }
    }

    /// Returns the committed version, or 0 before the first commit.
    pub fn version(&self) -> PolicyVersion {
        self.committed.as_ref().map_or(0, |committed| committed.policy.version)
    }

    /// Returns Consul's index of the last commit, or 0 before the first commit. Consul's check-and-set takes the index
    /// 0 for a key that does not exist yet.
    pub fn committed_index(&self) -> u64 {
        self.committed.as_ref().map_or(0, |committed| committed.modify_index)
    }
}

/// A participant whose session is alive.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Member {
    /// The forwarder's name and its process id, as `NAME.PID`.
    pub id: String,
    /// The status that the participant publishes, or `None` if it cannot be parsed.
    pub status: Option<MemberStatus>,
}

impl Member {
    /// Returns the participant's vote on a proposal, or `None` if it has not voted on it.
    pub fn vote_on(&self, proposal_id: &str) -> Option<&Vote> {
        let vote = self.status.as_ref()?.vote.as_ref()?;
        (vote.proposal_id == proposal_id).then_some(vote)
    }
}

/// Returns the participants whose key is held by a session, from the rows of the participants' folder.
pub fn members_from_rows(settings: &Settings, rows: &[KeyEntry]) -> Vec<Member> {
    let folder = settings.members_folder();
    let member = |row: &KeyEntry| {
        let id = row.key.strip_prefix(&folder)?.to_owned();
        Some(Member { id, status: serde_json::from_str(&row.value_text()).ok() })
    };
    rows.iter().filter(|row| row.session.is_some()).filter_map(member).collect()
}
