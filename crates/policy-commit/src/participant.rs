//! What a forwarder does as the commit point changes. No I/O and no clock: times are microseconds on a monotonic clock.
//!
//! It applies a committed policy at once, stages a proposed one after checking it, and never applies one that is only
//! staged. It is in contact with the commit point for a fixed time after it sent the last read that was answered:
//! everything that was committed before that, it has seen. Out of contact it serves on by the policy in force, and
//! reports that it is not ready.

use crate::commit_point::{CommitPoint, MemberStatus, Vote};
use crate::policy::{PolicyVersion, VersionedPolicy};
use orchidyoke_core::interface::Micros;

/// What has happened.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Input {
    /// The commit point was read.
    CommitPointRead {
        /// When the request was sent.
        sent_at: Micros,
        /// What it holds.
        point: Box<CommitPoint>,
    },
    /// A proposal was checked and staged on disk, or could not be.
    Staged {
        /// The id of the proposal.
        id: String,
        /// The reason, if it could not be.
        outcome: Result<(), String>,
    },
    /// A committed policy was put in force, or could not be.
    Applied {
        /// The id of the policy.
        id: String,
        /// The reason, if it could not be.
        outcome: Result<(), String>,
    },
}

/// What is to be done, in order.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Effect {
    /// Check this policy and keep it on disk as staged; the answer is [`Input::Staged`].
    Stage(VersionedPolicy),
    /// Remove the staged policy.
    Unstage,
    /// Keep this policy on disk as committed and put it in force before any new attempt starts; the answer is
    /// [`Input::Applied`].
    Apply(VersionedPolicy),
    /// Publish this status in the participant's key.
    Publish(MemberStatus),
}

/// A committed policy that cannot be used here.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct UnusablePolicy {
    policy: VersionedPolicy,
    reason: String,
}

/// A forwarder as a participant of its fleet's policy.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Participant {
    in_force: Option<VersionedPolicy>,
    /// Committed, and being put in force.
    applying: Option<VersionedPolicy>,
    /// Committed, and not usable here.
    unusable: Option<UnusablePolicy>,
    /// Proposed, and being checked.
    checking: Option<VersionedPolicy>,
    /// Proposed, checked, and on disk.
    staged: Option<VersionedPolicy>,
    vote: Option<Vote>,
    /// When the last read that was answered was sent.
    last_read_sent_at: Option<Micros>,
}

fn has_id(policy: &Option<VersionedPolicy>, id: &str) -> bool {
    policy.as_ref().is_some_and(|policy| policy.id == id)
}

impl Participant {
    /// Starts with the policies that are on disk: the one last in force, and the staged one.
    pub fn new(in_force: Option<VersionedPolicy>, staged: Option<VersionedPolicy>) -> Self {
        Participant { in_force, staged, ..Participant::default() }
    }

    /// The version in force.
    pub fn version(&self) -> PolicyVersion {
        self.in_force.as_ref().map_or(0, |policy| policy.version)
    }

    /// The policy in force.
    pub fn in_force(&self) -> Option<&VersionedPolicy> {
        self.in_force.as_ref()
    }

    /// The staged policy.
    pub fn staged(&self) -> Option<&VersionedPolicy> {
        self.staged.as_ref()
    }

    /// Until when it is in contact with the commit point, if it has been; `contact_time` is how long a read counts.
    pub fn contact_until(&self, contact_time: Micros) -> Option<Micros> {
        self.last_read_sent_at.map(|sent_at| sent_at + contact_time)
    }

    /// Why this forwarder may not have the fleet's policy in force, if so.
    pub fn unready_reason(&self, now: Micros, contact_time: Micros) -> Option<String> {
        if let Some(policy) = &self.applying {
            return Some(format!("policy epoch {} is being put in force", policy.version));
        }
        if let Some(unusable) = &self.unusable {
            let version = unusable.policy.version;
            return Some(format!("policy epoch {version} cannot be used here: {}", unusable.reason));
        }
        match self.contact_until(contact_time) {
            Some(until) if now < until => None,
            _ => Some(format!("cut off from the commit point: serves by policy epoch {}", self.version())),
        }
    }

    /// What it publishes.
    pub fn member_status(&self) -> MemberStatus {
        let unusable_reason = self.unusable.as_ref().map(|unusable| unusable.reason.clone());
        MemberStatus { version: self.version(), vote: self.vote.clone(), unusable_reason }
    }

    /// Takes one input and returns the effects to carry out, in order.
    pub fn step(&mut self, input: Input) -> Vec<Effect> {
        let status_before = self.member_status();
        let mut effects = Vec::new();
        match input {
            Input::CommitPointRead { sent_at, point } => {
                self.last_read_sent_at = self.last_read_sent_at.max(Some(sent_at));
                self.on_commit_point(*point, &mut effects);
            }
            Input::Staged { id, outcome } => self.on_staged(&id, outcome, &mut effects),
            Input::Applied { id, outcome } => self.on_applied(&id, outcome),
        }
        let status = self.member_status();
        if status != status_before {
            effects.push(Effect::Publish(status));
        }
        effects
    }

    fn on_commit_point(&mut self, point: CommitPoint, effects: &mut Vec<Effect>) {
        if let Some(committed) = point.committed {
            self.apply_committed(committed.policy, effects);
        }
        let proposed = point.proposal.map(|proposal| proposal.policy);
        self.discard_other_proposals(proposed.as_ref(), effects);
        match proposed {
            Some(proposed) => self.vote_on(proposed, effects),
            None => self.vote = None,
        }
    }

    /// Applies a committed policy that is newer than the one in force, once.
    fn apply_committed(&mut self, policy: VersionedPolicy, effects: &mut Vec<Effect>) {
        let is_newer = policy.version > self.version();
        let is_applying = has_id(&self.applying, &policy.id);
        let is_unusable = self.unusable.as_ref().is_some_and(|unusable| unusable.policy.id == policy.id);
        if is_newer && !is_applying && !is_unusable {
            self.applying = Some(policy.clone());
            effects.push(Effect::Apply(policy));
        }
    }

    /// Drops what is staged or being checked and is no longer proposed.
    fn discard_other_proposals(&mut self, proposed: Option<&VersionedPolicy>, effects: &mut Vec<Effect>) {
        let proposed_id = proposed.map_or("", |proposed| &proposed.id);
        if self.staged.is_some() && !has_id(&self.staged, proposed_id) {
            self.staged = None;
            effects.push(Effect::Unstage);
        }
        if !has_id(&self.checking, proposed_id) {
            self.checking = None;
        }
    }

    /// Stages a proposal, or votes against it, if neither was done yet.
    fn vote_on(&mut self, proposed: VersionedPolicy, effects: &mut Vec<Effect>) {
        let has_voted = self.vote.as_ref().is_some_and(|vote| vote.proposal_id == proposed.id);
        // While a committed policy is being applied the proposal waits for the next read.
        if has_voted || self.checking.is_some() || self.applying.is_some() {
            return;
        }
        if proposed.version == self.version() + 1 && self.unusable.is_none() {
            self.checking = Some(proposed.clone());
            effects.push(Effect::Stage(proposed));
            return;
        }
        let reason = format!("it is at epoch {}, which {} does not follow", self.version(), proposed.version);
        self.vote = Some(Vote { proposal_id: proposed.id, rejection: Some(reason) });
    }

    fn on_staged(&mut self, id: &str, outcome: Result<(), String>, effects: &mut Vec<Effect>) {
        let Some(proposed) = self.checking.take_if(|checking| checking.id == id) else {
            // The proposal was withdrawn while it was being checked.
            if outcome.is_ok() {
                effects.push(Effect::Unstage);
            }
            return;
        };
        let rejection = outcome.err();
        if rejection.is_none() {
            self.staged = Some(proposed.clone());
        }
        self.vote = Some(Vote { proposal_id: proposed.id, rejection });
    }

    fn on_applied(&mut self, id: &str, outcome: Result<(), String>) {
        let Some(policy) = self.applying.take_if(|applying| applying.id == id) else { return };
        match outcome {
            Ok(()) => {
                self.in_force = Some(policy);
                self.unusable = None;
            }
            Err(reason) => self.unusable = Some(UnusablePolicy { policy, reason }),
        }
    }
}
