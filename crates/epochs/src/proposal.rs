//! When a proposer may commit. No I/O.

use crate::commit_point::{Member, Numbered, Point};

/// What a proposer is to do, by what it has seen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// These have not voted yet.
    Wait(Vec<String>),
    /// These cannot use it, each with its reason: withdraw it.
    Refused(Vec<(String, String)>),
    /// It is not proposed any more, or something else was committed: nothing is to be done.
    Lost,
    /// All that are there have said yes: commit it on these indices, and on no others.
    Commit {
        /// That of the proposal.
        proposal: u64,
        /// That of what is committed; 0: nothing is.
        committed: u64,
    },
}

/// What to do with this proposal. The members have to be looked at after the proposal could be seen: one that has come
/// since then and has not voted learns what is committed before it is ready.
pub fn verdict(mine: &Numbered, point: &Point, members: &[Member]) -> Verdict {
    let proposal = match &point.proposal {
        Some((proposal, index, _)) if proposal.id == mine.id => *index,
        _ => return Verdict::Lost,
    };
    if point.epoch() + 1 != mine.epoch {
        return Verdict::Lost;
    }
    let vote = |member: &Member| {
        let vote = member.status.as_ref()?.vote.as_ref()?;
        (vote.proposal == mine.id).then(|| vote.no.clone())
    };
    let no: Vec<_> = members.iter().filter_map(|m| Some((m.id.clone(), vote(m)??))).collect();
    if !no.is_empty() {
        return Verdict::Refused(no);
    }
    let silent: Vec<_> = members.iter().filter(|m| vote(m).is_none()).map(|m| m.id.clone()).collect();
    if !silent.is_empty() {
        return Verdict::Wait(silent);
    }
    Verdict::Commit { proposal, committed: point.committed.as_ref().map_or(0, |(_, index)| *index) }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::commit_point::{MemberStatus, Vote};

    fn member(id: &str, vote: Option<(&str, Option<&str>)>) -> Member {
        let vote = vote.map(|(proposal, no)| Vote { proposal: proposal.into(), no: no.map(str::to_owned) });
        Member { id: id.into(), status: Some(MemberStatus { vote, ..MemberStatus::default() }) }
    }

    fn numbered(id: &str, epoch: u64) -> Numbered {
        Numbered::new(id.into(), epoch, "{}".into(), "op".into())
    }

    #[test]
    fn only_the_yes_of_all_that_are_there_commits() {
        let (mine, one) = (numbered("a", 2), numbered("z", 1));
        let point =
            Point { committed: Some((one.clone(), 5)), proposal: Some((mine.clone(), 9, Some("s".into()))) };
        let yes = member("f1", Some(("a", None)));
        let asked =
            |others: &[Member]| verdict(&mine, &point, &[std::slice::from_ref(&yes), others].concat());
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
}
