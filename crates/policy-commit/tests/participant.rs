//! Tests of [`orchidyoke_policy_commit::participant`].

use orchidyoke_policy_commit::commit_point::{CommitPoint, Committed, MemberStatus, Proposal, Vote};
use orchidyoke_policy_commit::participant::{Effect, Input, Participant};
use orchidyoke_policy_commit::policy::{PolicyVersion, VersionedPolicy};

fn policy(id: &str, version: PolicyVersion) -> VersionedPolicy {
    VersionedPolicy::new(id.to_owned(), version, format!("{{\"out\": [\"{id}\"]}}"), "op".to_owned())
}

fn point(committed: Option<&VersionedPolicy>, proposal: Option<&VersionedPolicy>) -> Box<CommitPoint> {
    Box::new(CommitPoint {
        committed: committed.map(|policy| Committed { policy: policy.clone(), modify_index: 7 }),
        proposal: proposal.map(|policy| Proposal {
            policy: policy.clone(),
            modify_index: 9,
            session: Some("s".to_owned()),
        }),
    })
}

fn publish(version: PolicyVersion, proposal: &str, rejection: Option<&str>) -> Effect {
    let vote = Some(Vote { proposal_id: proposal.to_owned(), rejection: rejection.map(str::to_owned) });
    Effect::Publish(MemberStatus { version, vote, unusable_reason: None })
}

// Guards against the use of a policy that is only proposed, and against a vote before the policy is on disk.
#[test]
fn proposal_is_staged_then_voted_on_and_applied_only_once_committed() {
    let (mut participant, first) = (Participant::default(), policy("a", 1));
    let effects = participant.step(Input::CommitPointRead { sent_at: 0, point: point(None, Some(&first)) });
    assert_eq!(effects, [Effect::Stage(first.clone())]);
    assert_eq!(
        participant.step(Input::CommitPointRead { sent_at: 1, point: point(None, Some(&first)) }),
        [],
        "a proposal is staged once"
    );
    assert_eq!(participant.step(Input::Staged { id: "a".into(), outcome: Ok(()) }), [publish(0, "a", None)]);
    assert_eq!(participant.version(), 0);
    let effects = participant.step(Input::CommitPointRead { sent_at: 2, point: point(Some(&first), None) });
    assert_eq!(effects[..2], [Effect::Apply(first.clone()), Effect::Unstage]);
    assert!(
        participant.unready_reason(3, 100).is_some(),
        "the participant is not ready before the policy is in force"
    );
    participant.step(Input::Applied { id: "a".into(), outcome: Ok(()) });
    assert_eq!(
        (participant.version(), participant.unready_reason(3, 100), participant.staged()),
        (1, None, None)
    );
}

// Guards against a staged policy that remains after the withdrawal of its proposal.
#[test]
fn withdrawn_proposal_leaves_no_vote_and_nothing_staged() {
    let (mut participant, first) = (Participant::new(None, Some(policy("old", 1))), policy("a", 1));
    let effects = participant.step(Input::CommitPointRead { sent_at: 0, point: point(None, Some(&first)) });
    assert_eq!(
        effects,
        [Effect::Unstage, Effect::Stage(first.clone())],
        "a policy that was staged before the start is removed if it is no longer proposed"
    );
    // The proposal is withdrawn while it is being checked.
    assert_eq!(participant.step(Input::CommitPointRead { sent_at: 1, point: point(None, None) }), []);
    assert_eq!(participant.step(Input::Staged { id: "a".into(), outcome: Ok(()) }), [Effect::Unstage]);
    assert_eq!(participant.member_status(), MemberStatus::default());
}

// Guards against a vote for a policy that the forwarder cannot use, or whose version does not follow the one in force.
#[test]
fn unusable_proposal_is_rejected_with_the_reason() {
    let (mut participant, first, second) = (Participant::default(), policy("a", 1), policy("b", 2));
    participant.step(Input::CommitPointRead { sent_at: 0, point: point(None, Some(&first)) });
    let effects = participant.step(Input::Staged { id: "a".into(), outcome: Err("slots: missing".into()) });
    assert_eq!(effects, [publish(0, "a", Some("slots: missing"))]);
    let effects = participant.step(Input::CommitPointRead { sent_at: 1, point: point(None, Some(&second)) });
    assert!(
        matches!(
            &effects[..],
            [Effect::Publish(MemberStatus { vote: Some(Vote { rejection: Some(_), .. }), .. })]
        ),
        "{effects:?}"
    );
}

// Guards against a forwarder that was down during a commit and continues with the previous policy.
#[test]
fn participant_that_missed_the_vote_applies_the_committed_policy() {
    let (mut participant, committed) = (Participant::new(Some(policy("b", 2)), None), policy("c", 3));
    assert!(
        participant
            .unready_reason(0, 100)
            .is_some_and(|reason| reason.contains("cut off") && reason.contains("epoch 2"))
    );
    assert_eq!(
        participant.step(Input::CommitPointRead { sent_at: 5, point: point(Some(&committed), None) }),
        [Effect::Apply(committed.clone())]
    );
    assert_eq!(
        participant.step(Input::CommitPointRead { sent_at: 6, point: point(Some(&committed), None) }),
        []
    );
    participant.step(Input::Applied { id: "c".into(), outcome: Ok(()) });
    assert_eq!((participant.version(), participant.unready_reason(105, 100)), (3, None));
    // The contact time starts when the read is sent, which is at 5.
    assert!(participant.unready_reason(106, 100).is_some());
}

// Guards against a forwarder that cannot use the committed policy and does not report it.
#[test]
fn unusable_committed_policy_keeps_the_one_in_force_and_is_reported() {
    let (mut participant, first, second) = (Participant::default(), policy("a", 1), policy("b", 2));
    participant.step(Input::CommitPointRead { sent_at: 0, point: point(Some(&first), None) });
    let effects =
        participant.step(Input::Applied { id: "a".into(), outcome: Err("its file is broken".into()) });
    let unusable_reason = Some("its file is broken".to_owned());
    assert_eq!(effects, [Effect::Publish(MemberStatus { version: 0, vote: None, unusable_reason })]);
    assert!(participant.unready_reason(1, 100).is_some_and(|reason| reason.contains("file is broken")));
    assert_eq!(
        participant.step(Input::CommitPointRead { sent_at: 1, point: point(Some(&first), None) }),
        [],
        "a committed policy is applied once"
    );
    assert_eq!(
        participant.step(Input::CommitPointRead { sent_at: 2, point: point(Some(&second), None) }),
        [Effect::Apply(second.clone())]
    );
    participant.step(Input::Applied { id: "b".into(), outcome: Ok(()) });
    assert_eq!(participant.unready_reason(3, 100), None);
}
