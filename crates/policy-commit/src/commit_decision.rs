//! When a coordinator may commit its proposal. No I/O.

use crate::commit_point::{CommitPoint, Member};
use crate::policy::VersionedPolicy;

/// A participant's vote against a proposal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// The participant's id.
    pub member: String,
    /// Why it cannot use the policy.
    pub reason: String,
}

/// The indices that a commit is conditional on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct CommitCondition {
    /// The proposal is the one written at this index.
    pub proposal_index: u64,
    /// The committed policy is the one written at this index; 0: none is committed.
    pub committed_index: u64,
}

/// What the coordinator is to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommitDecision {
    /// Wait: these participants have not voted yet.
    Wait(Vec<String>),
    /// Withdraw the proposal: these participants voted against it.
    Rejected(Vec<Rejection>),
    /// Give up: the proposal is gone, or another policy was committed first.
    Superseded,
    /// Commit it under this condition: all participants voted for it.
    Commit(CommitCondition),
}

/// Decides on a proposal. The members have to be read after the proposal became visible. A forwarder that registers after
/// that reading need not vote: it reads the committed policy before it reports that it is ready.
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
