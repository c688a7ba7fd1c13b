//! Tests of [`orchidyoke_policy_commit::commit_decision`].

use orchidyoke_policy_commit::commit_point::{Member, MemberStatus, NumberedPolicy, Point, Vote};
use orchidyoke_policy_commit::commit_decision::{Verdict, verdict};

fn member(id: &str, vote: Option<(&str, Option<&str>)>) -> Member {
    let vote = vote.map(|(proposal, no)| Vote { proposal: proposal.into(), no: no.map(str::to_owned) });
    Member { id: id.into(), status: Some(MemberStatus { vote, ..MemberStatus::default() }) }
}

fn numbered(id: &str, epoch: u64) -> NumberedPolicy {
    NumberedPolicy::new(id.into(), epoch, "{}".into(), "op".into())
}

#[test]
fn only_the_yes_of_all_that_are_there_commits() {
    let (mine, one) = (numbered("a", 2), numbered("z", 1));
    let point =
        Point { committed: Some((one.clone(), 5)), proposal: Some((mine.clone(), 9, Some("s".into()))) };
    let yes = member("f1", Some(("a", None)));
    let asked = |others: &[Member]| verdict(&mine, &point, &[std::slice::from_ref(&yes), others].concat());
    assert_eq!(asked(&[]), Verdict::Commit { proposal: 9, committed: 5 });
    // A vote for another proposal is none, and what cannot be read is none.
    let garbled = Member { id: "f3".into(), status: None };
    assert_eq!(
        asked(&[member("f2", Some(("b", None))), garbled]),
        Verdict::Wait(vec!["f2".into(), "f3".into()])
    );
    assert_eq!(
        asked(&[member("f2", None), member("f3", Some(("a", Some("slots"))))]),
        Verdict::Refused(vec![("f3".into(), "slots".into())])
    );
    // Somebody was faster, or it was withdrawn.
    let faster = Point { committed: Some((numbered("b", 2), 11)), ..point.clone() };
    assert_eq!(verdict(&mine, &faster, &[]), Verdict::Lost);
    let other = Point { proposal: Some((numbered("b", 2), 11, None)), ..point.clone() };
    assert_eq!(verdict(&mine, &other, &[]), Verdict::Lost);
    assert_eq!(verdict(&mine, &Point { proposal: None, ..point }, &[]), Verdict::Lost);
}
