//! Tests of [`orchidyoke_policy_commit::participant`].

use orchidyoke_policy_commit::participant::{Agent, Effect, Input};
use orchidyoke_policy_commit::commit_point::{Epoch, MemberStatus, NumberedPolicy, Point, Vote};

fn numbered(id: &str, epoch: Epoch) -> NumberedPolicy {
    NumberedPolicy::new(id.to_owned(), epoch, format!("{{\"out\": [\"{id}\"]}}"), "op".to_owned())
}

fn point(committed: Option<&NumberedPolicy>, proposal: Option<&NumberedPolicy>) -> Box<Point> {
    Box::new(Point {
        committed: committed.map(|numbered| (numbered.clone(), 7)),
        proposal: proposal.map(|numbered| (numbered.clone(), 9, Some("s".to_owned()))),
    })
}

fn told(epoch: Epoch, proposal: &str, no: Option<&str>) -> Effect {
    let vote = Some(Vote { proposal: proposal.to_owned(), no: no.map(str::to_owned) });
    Effect::Tell(MemberStatus { epoch, vote, refuses: None })
}

// Guards against acting on what is only proposed, and against a vote before it is on the disk.
#[test]
fn a_proposal_is_staged_then_voted_on_and_applied_only_once_committed() {
    let (mut agent, one) = (Agent::default(), numbered("a", 1));
    let seen = agent.step(Input::Looked(0, point(None, Some(&one))));
    assert_eq!(seen, [Effect::Stage(one.clone())]);
    assert_eq!(agent.step(Input::Looked(1, point(None, Some(&one)))), [], "once is enough");
    assert_eq!(agent.step(Input::Staged("a".into(), Ok(()))), [told(0, "a", None)]);
    assert_eq!(agent.epoch(), 0);
    let seen = agent.step(Input::Looked(2, point(Some(&one), None)));
    assert_eq!(seen[..2], [Effect::Apply(one.clone()), Effect::Unstage]);
    assert!(agent.unready_reason(3, 100).is_some(), "not before it is in force");
    agent.step(Input::Applied("a".into(), Ok(())));
    assert_eq!((agent.epoch(), agent.unready_reason(3, 100), agent.staged()), (1, None, None));
}

// Guards against a staged policy that outlasts its withdrawal.
#[test]
fn a_withdrawn_proposal_leaves_nothing() {
    let (mut agent, one) = (Agent::new(None, Some(numbered("old", 1))), numbered("a", 1));
    let seen = agent.step(Input::Looked(0, point(None, Some(&one))));
    assert_eq!(
        seen,
        [Effect::Unstage, Effect::Stage(one.clone())],
        "what a start found staged and is not proposed"
    );
    // Withdrawn while it was being checked.
    assert_eq!(agent.step(Input::Looked(1, point(None, None))), []);
    assert_eq!(agent.step(Input::Staged("a".into(), Ok(()))), [Effect::Unstage]);
    assert_eq!(agent.member_status(), MemberStatus::default());
}

#[test]
fn what_cannot_be_used_is_voted_against_with_its_reason() {
    let (mut agent, one, two) = (Agent::default(), numbered("a", 1), numbered("b", 2));
    agent.step(Input::Looked(0, point(None, Some(&one))));
    let no = agent.step(Input::Staged("a".into(), Err("slots: missing".into())));
    assert_eq!(no, [told(0, "a", Some("slots: missing"))]);
    let no = agent.step(Input::Looked(1, point(None, Some(&two))));
    assert!(
        matches!(&no[..], [Effect::Tell(MemberStatus { vote: Some(Vote { no: Some(_), .. }), .. })]),
        "{no:?}"
    );
}

// Guards against a forwarder that was away when a change was made, and goes on by the old one.
#[test]
fn one_that_was_away_takes_what_is_committed_though_it_never_staged_it() {
    let (mut agent, three) = (Agent::new(Some(numbered("b", 2)), None), numbered("c", 3));
    assert!(
        agent.unready_reason(0, 100).is_some_and(|why| why.contains("cut off") && why.contains("epoch 2"))
    );
    assert_eq!(agent.step(Input::Looked(5, point(Some(&three), None))), [Effect::Apply(three.clone())]);
    assert_eq!(agent.step(Input::Looked(6, point(Some(&three), None))), []);
    agent.step(Input::Applied("c".into(), Ok(())));
    assert_eq!((agent.epoch(), agent.unready_reason(105, 100)), (3, None));
    // Contact counts from when the look was sent.
    assert!(agent.unready_reason(106, 100).is_some());
}

// Guards against one that cannot use what the fleet agreed on and says nothing.
#[test]
fn one_that_cannot_use_what_is_committed_keeps_what_it_has_and_says_so() {
    let (mut agent, one, two) = (Agent::default(), numbered("a", 1), numbered("b", 2));
    agent.step(Input::Looked(0, point(Some(&one), None)));
    let told = agent.step(Input::Applied("a".into(), Err("its file is broken".into())));
    let refuses = Some("its file is broken".to_owned());
    assert_eq!(told, [Effect::Tell(MemberStatus { epoch: 0, vote: None, refuses })]);
    assert!(agent.unready_reason(1, 100).is_some_and(|why| why.contains("file is broken")));
    assert_eq!(agent.step(Input::Looked(1, point(Some(&one), None))), [], "not tried again and again");
    assert_eq!(agent.step(Input::Looked(2, point(Some(&two), None))), [Effect::Apply(two.clone())]);
    agent.step(Input::Applied("b".into(), Ok(())));
    assert_eq!(agent.unready_reason(3, 100), None);
}
