//! What a forwarder does with what it sees at the commit point. No I/O and no clock: times are microseconds from any
//! start.
//!
//! It takes what is committed at once, stages what is proposed once it is checked, and never acts on what is only
//! staged. It is in contact for a span after the moment at which it sent the last look that was answered: whatever was
//! committed before that moment it has seen. Out of contact it serves on by what it holds, and says so.

use crate::commit_point::{Epoch, MemberStatus, Numbered, Point, Vote};
use orchidyoke_core::interface::Micros;

/// What has happened.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Input {
    /// A look was answered, that was sent then.
    Looked(Micros, Box<Point>),
    /// A proposal was checked whole and staged on the disk, or could not be; which, by its id.
    Staged(String, Result<(), String>),
    /// What is committed was put in force, or could not be; which, by its id.
    Applied(String, Result<(), String>),
}

/// What is to be done, in order.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Effect {
    /// Check this whole and keep it on the disk as staged; then report.
    Stage(Numbered),
    /// Nothing is staged any more.
    Unstage,
    /// Keep this on the disk as committed and put it in force, before anything else is begun; then report.
    Apply(Numbered),
    /// Say this to the fleet.
    Tell(MemberStatus),
}

/// A forwarder's part.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Agent {
    /// What is in force.
    held: Option<Numbered>,
    /// What is committed and being put in force.
    applying: Option<Numbered>,
    /// What is committed and cannot be used here, with the reason.
    refused: Option<(Numbered, String)>,
    /// What is proposed and being checked, and what is staged.
    checking: Option<Numbered>,
    staged: Option<Numbered>,
    vote: Option<Vote>,
    /// When the last look was sent that was answered.
    contact: Option<Micros>,
}

impl Agent {
    /// One that starts with what its disk says was in force, and what was staged.
    pub fn new(held: Option<Numbered>, staged: Option<Numbered>) -> Self {
        Agent { held, staged, ..Agent::default() }
    }

    /// The epoch in force.
    pub fn epoch(&self) -> Epoch {
        self.held.as_ref().map_or(0, |held| held.epoch)
    }

    /// The policy in force.
    pub fn held(&self) -> Option<&Numbered> {
        self.held.as_ref()
    }

    /// What is staged.
    pub fn staged(&self) -> Option<&Numbered> {
        self.staged.as_ref()
    }

    /// Until when it is in contact, if it has been.
    pub fn contact_until(&self, span: Micros) -> Option<Micros> {
        self.contact.map(|sent| sent + span)
    }

    /// Why it is not to be relied on for the fleet's policy, if it is not.
    pub fn unready_reason(&self, now: Micros, span: Micros) -> Option<String> {
        if let Some(numbered) = &self.applying {
            return Some(format!("policy epoch {} is being put in force", numbered.epoch));
        }
        if let Some((numbered, why)) = &self.refused {
            return Some(format!("policy epoch {} cannot be used here: {why}", numbered.epoch));
        }
        match self.contact_until(span) {
            Some(until) if now < until => None,
            _ => Some(format!("cut off from the commit point: serves by policy epoch {}", self.epoch())),
        }
    }

    /// What it says of itself.
    pub fn member_status(&self) -> MemberStatus {
        let refuses = self.refused.as_ref().map(|(_, why)| why.clone());
        MemberStatus { epoch: self.epoch(), vote: self.vote.clone(), refuses }
    }

    /// Takes an input; what is to be done, in order.
    pub fn step(&mut self, input: Input) -> Vec<Effect> {
        let before = self.member_status();
        let mut effects = match input {
            Input::Looked(sent, point) => {
                self.contact = self.contact.max(Some(sent));
                self.see(*point)
            }
            Input::Staged(id, outcome) => self.staged_or_not(&id, outcome),
            Input::Applied(id, outcome) => {
                if let Some(numbered) = self.applying.take_if(|applying| applying.id == id) {
                    match outcome {
                        Ok(()) => (self.held, self.refused) = (Some(numbered), None),
                        Err(why) => self.refused = Some((numbered, why)),
                    }
                }
                Vec::new()
            }
        };
        if self.member_status() != before {
            effects.push(Effect::Tell(self.member_status()));
        }
        effects
    }

    fn see(&mut self, point: Point) -> Vec<Effect> {
        let mut effects = Vec::new();
        let known = |other: &Option<Numbered>, id: &str| other.as_ref().is_some_and(|other| other.id == id);
        if let Some((committed, _)) = point.committed
            && committed.epoch > self.epoch()
            && !known(&self.applying, &committed.id)
            && self.refused.as_ref().is_none_or(|(refused, _)| refused.id != committed.id)
        {
            self.applying = Some(committed.clone());
            effects.push(Effect::Apply(committed));
        }
        let wanted = point.proposal.map(|(proposal, ..)| proposal);
        let wanted_id = wanted.as_ref().map_or("", |wanted| &wanted.id);
        if self.staged.is_some() && !known(&self.staged, wanted_id) {
            self.staged = None;
            effects.push(Effect::Unstage);
        }
        if !known(&self.checking, wanted_id) {
            self.checking = None;
        }
        let Some(proposal) = wanted else {
            self.vote = None;
            return effects;
        };
        let voted = self.vote.as_ref().is_some_and(|vote| vote.proposal == proposal.id);
        if voted || self.checking.is_some() {
            return effects;
        }
        // Not before what is committed is in force: the next look asks again.
        if self.applying.is_some() {
            return effects;
        }
        if proposal.epoch == self.epoch() + 1 && self.refused.is_none() {
            self.checking = Some(proposal.clone());
            effects.push(Effect::Stage(proposal));
        } else {
            let no =
                Some(format!("it is at epoch {}, which {} does not follow", self.epoch(), proposal.epoch));
            self.vote = Some(Vote { proposal: proposal.id, no });
        }
        effects
    }

    fn staged_or_not(&mut self, id: &str, outcome: Result<(), String>) -> Vec<Effect> {
        // One that has been withdrawn meanwhile is nothing to vote on.
        let Some(proposal) = self.checking.take_if(|checking| checking.id == id) else {
            return if outcome.is_ok() { vec![Effect::Unstage] } else { Vec::new() };
        };
        self.vote = Some(Vote { proposal: proposal.id.clone(), no: outcome.as_ref().err().cloned() });
        if outcome.is_ok() {
            self.staged = Some(proposal);
        }
        Vec::new()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn numbered(id: &str, epoch: Epoch) -> Numbered {
        Numbered::new(id.to_owned(), epoch, format!("{{\"out\": [\"{id}\"]}}"), "op".to_owned())
    }

    fn point(committed: Option<&Numbered>, proposal: Option<&Numbered>) -> Box<Point> {
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
            agent
                .unready_reason(0, 100)
                .is_some_and(|why| why.contains("cut off") && why.contains("epoch 2"))
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
}
