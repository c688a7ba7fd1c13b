//! Tests of [`orchidyoke_policy_commit::commit_decision`].

use orchidyoke_policy_commit::commit_decision::{CommitCondition, CommitDecision, Rejection, decide};
use orchidyoke_policy_commit::commit_point::{CommitPoint, Committed, Member, MemberStatus, Proposal, Vote};
use orchidyoke_policy_commit::policy::VersionedPolicy;

fn member(id: &str, vote: Option<(&str, Option<&str>)>) -> Member {
    let vote = vote.map(|(proposal, rejection)| Vote {
        proposal_id: proposal.into(),
        rejection: rejection.map(str::to_owned),
    });
    Member { id: id.into(), status: Some(MemberStatus { vote, ..MemberStatus::default() }) }
}

fn policy(id: &str, version: u64) -> VersionedPolicy {
    VersionedPolicy::new(id.into(), version, "{}".into(), "op".into())
}

// Guards against a commit of a proposal that a member has not voted for, or that another policy has superseded.
#[test]
fn proposal_is_committed_only_when_all_members_have_voted_for_it() {
    let proposed = policy("a", 2);
    let point = CommitPoint {
        committed: Some(Committed { policy: policy("z", 1), modify_index: 5 }),
        proposal: Some(Proposal { policy: proposed.clone(), modify_index: 9, session: Some("s".into()) }),
    };
    let in_favor = member("f1", Some(("a", None)));
    let decide_with =
        |others: &[Member]| decide(&proposed, &point, &[std::slice::from_ref(&in_favor), others].concat());
    assert_eq!(
        decide_with(&[]),
        CommitDecision::Commit(CommitCondition { proposal_index: 9, committed_index: 5 })
    );
    // The coordinator counts neither a vote on another proposal nor a status that cannot be read.
    let unreadable = Member { id: "f3".into(), status: None };
    assert_eq!(
        decide_with(&[member("f2", Some(("b", None))), unreadable]),
        CommitDecision::Wait(vec!["f2".into(), "f3".into()])
    );
    assert_eq!(
        decide_with(&[member("f2", None), member("f3", Some(("a", Some("slots"))))]),
        CommitDecision::Rejected(vec![Rejection { member: "f3".into(), reason: "slots".into() }])
    );
    // The proposal is superseded if another policy was committed first or if the proposal was withdrawn.
    let committed = Some(Committed { policy: policy("b", 2), modify_index: 11 });
    let other_committed = CommitPoint { committed, ..point.clone() };
    assert_eq!(decide(&proposed, &other_committed, &[]), CommitDecision::Superseded);
    let proposal = Some(Proposal { policy: policy("b", 2), modify_index: 11, session: None });
    let other_proposed = CommitPoint { proposal, ..point.clone() };
    assert_eq!(decide(&proposed, &other_proposed, &[]), CommitDecision::Superseded);
    assert_eq!(decide(&proposed, &CommitPoint { proposal: None, ..point }, &[]), CommitDecision::Superseded);
}
