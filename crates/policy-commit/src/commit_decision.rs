//! Decides when a coordinator may commit its proposal. The module has no I/O.

use crate::commit_point::{CommitPoint, Member};
use crate::policy::VersionedPolicy;

/// A participant's vote against a proposal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// The participant's id.
    pub member: String,
    /// The reason why the participant cannot use the policy.
    pub reason: String,
}

/// The Consul indices on which a commit is conditional.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct CommitCondition {
    /// The index of the write that proposed the policy. The commit fails if the proposal was written at another index.
    pub proposal_index: u64,
    /// The index of the write that committed the present policy, or 0 if no policy is committed. The commit fails if
    /// the committed policy was written at another index.
    pub committed_index: u64,
}

/// The coordinator's next step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommitDecision {
    /// Wait, because these participants have not voted yet.
    Wait(Vec<String>),
    /// Withdraw the proposal, because these participants voted against it.
    Rejected(Vec<Rejection>),
    /// Give up, because the proposal no longer exists or another policy was committed first.
    Superseded,
    /// Commit the proposal under this condition, because all participants voted for it.
    Commit(CommitCondition),
}

/// Decides the coordinator's next step for a proposal. The members have to be read after the proposal became visible. A
/// forwarder that registers after that read does not have to vote, because it reads the committed policy before it
/// reports that it is ready.
pub fn decide(proposed: &VersionedPolicy, point: &CommitPoint, members: &[Member]) -> CommitDecision {
    let proposal_index = match &point.proposal {
        Some(proposal) if proposal.policy.id == proposed.id => proposal.modify_index,
        _ => return CommitDecision::Superseded,
    };
    if point.version() + 1 != proposed.version {
        return CommitDecision::Superseded;
    }
    let rejections = rejections(proposed, members);
    if !rejections.is_empty() {
        return CommitDecision::Rejected(rejections);
    }
    let missing = members.iter().filter(|member| member.vote_on(&proposed.id).is_none());
    let missing: Vec<String> = missing.map(|member| member.id.clone()).collect();
    if !missing.is_empty() {
        return CommitDecision::Wait(missing);
    }
    CommitDecision::Commit(CommitCondition { proposal_index, committed_index: point.committed_index() })
}

fn rejections(proposed: &VersionedPolicy, members: &[Member]) -> Vec<Rejection> {
    let rejection = |member: &Member| {
        let reason = member.vote_on(&proposed.id)?.rejection.clone()?;
        Some(Rejection { member: member.id.clone(), reason })
    };
    members.iter().filter_map(rejection).collect()
}
