//! What a forwarder does with what it sees at the commit point. No I/O and no clock: times are microseconds from any
//! start.
//!
//! It takes what is committed at once, stages what is proposed once it is checked, and never acts on what is only
//! staged. It is in contact for a span after the moment at which it sent the last look that was answered: whatever was
//! committed before that moment it has seen. Out of contact it serves on by what it holds, and says so.

use crate::commit_point::{Epoch, MemberStatus, NumberedPolicy, Point, Vote};
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
    Stage(NumberedPolicy),
    /// Nothing is staged any more.
    Unstage,
    /// Keep this on the disk as committed and put it in force, before anything else is begun; then report.
    Apply(NumberedPolicy),
    /// Say this to the fleet.
    Tell(MemberStatus),
}

/// A forwarder's part.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Agent {
    /// What is in force.
    in_force: Option<NumberedPolicy>,
    /// What is committed and being put in force.
    applying: Option<NumberedPolicy>,
    /// What is committed and cannot be used here, with the reason.
    refused: Option<(NumberedPolicy, String)>,
    /// What is proposed and being checked, and what is staged.
    checking: Option<NumberedPolicy>,
    staged: Option<NumberedPolicy>,
    vote: Option<Vote>,
    /// When the last look was sent that was answered.
    contact: Option<Micros>,
}

impl Agent {
    /// One that starts with what its disk says was in force, and what was staged.
    pub fn new(in_force: Option<NumberedPolicy>, staged: Option<NumberedPolicy>) -> Self {
        Agent { in_force, staged, ..Agent::default() }
    }

    /// The epoch in force.
    pub fn epoch(&self) -> Epoch {
        self.in_force.as_ref().map_or(0, |policy| policy.epoch)
    }

    /// The policy in force.
    pub fn in_force(&self) -> Option<&NumberedPolicy> {
        self.in_force.as_ref()
    }

    /// What is staged.
    pub fn staged(&self) -> Option<&NumberedPolicy> {
        self.staged.as_ref()
    }

    /// Until when it is in contact, if it has been.
    pub fn contact_until(&self, contact_time: Micros) -> Option<Micros> {
        self.contact.map(|sent| sent + contact_time)
    }

    /// Why it is not to be relied on for the fleet's policy, if it is not.
    pub fn unready_reason(&self, now: Micros, contact_time: Micros) -> Option<String> {
        if let Some(numbered) = &self.applying {
            return Some(format!("policy epoch {} is being put in force", numbered.epoch));
        }
        if let Some((numbered, why)) = &self.refused {
            return Some(format!("policy epoch {} cannot be used here: {why}", numbered.epoch));
        }
        match self.contact_until(contact_time) {
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
                        Ok(()) => (self.in_force, self.refused) = (Some(numbered), None),
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
        let known =
            |other: &Option<NumberedPolicy>, id: &str| other.as_ref().is_some_and(|other| other.id == id);
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
