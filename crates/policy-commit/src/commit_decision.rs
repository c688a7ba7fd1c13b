//! When a proposer may commit. No I/O.

use crate::commit_point::{Member, NumberedPolicy, Point};

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
pub fn verdict(mine: &NumberedPolicy, point: &Point, members: &[Member]) -> Verdict {
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
