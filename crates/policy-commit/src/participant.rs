//! Decides what a forwarder does when the commit point changes. The participant has no I/O and no clock. Times are in
//! microseconds on a monotonic clock.
//!
//! The participant applies a committed policy at once. It checks and stages a proposed policy, and never applies a
//! policy that is only staged. It counts as in contact with the commit point for a fixed time after it sent the last
//! read that was answered, because it has seen every policy that was committed before it sent that read. When that time
//! is over, it continues to serve with the policy in force and reports that it is not ready.

use crate::commit_point::{CommitPoint, MemberStatus, Vote};
use crate::policy::{PolicyVersion, VersionedPolicy};
use orchidyoke_core::interface::Micros;

/// An event that the participant handles.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Input {
    /// The commit point was read.
    CommitPointRead {
        /// The time at which the request was sent.
        sent_at: Micros,
        /// The committed and the proposed policy that were read.
        point: Box<CommitPoint>,
    },
    /// A proposal was checked and staged on disk, or was rejected.
    Staged {
        /// The id of the proposal.
        id: String,
        /// The reason for the rejection, if the proposal was rejected.
        outcome: Result<(), String>,
    },
    /// A committed policy was put in force, or could not be.
    Applied {
        /// The id of the policy.
        id: String,
        /// The reason why the policy could not be put in force, if it could not.
        outcome: Result<(), String>,
    },
}

/// An action that the caller carries out, in order.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Effect {
    /// Check this policy and write it to disk as staged. The answer is [`Input::Staged`].
    Stage(VersionedPolicy),
    /// Remove the staged policy from disk.
    Unstage,
    /// Write this policy to disk as committed, and put it in force before any new attempt starts. The answer is
    /// [`Input::Applied`].
    Apply(VersionedPolicy),
    /// Publish this status in the participant's key.
    Publish(MemberStatus),
}

/// A committed policy that cannot be used on this forwarder, with the reason.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct UnusablePolicy {
    policy: VersionedPolicy,
    reason: String,
}

/// A forwarder as a participant in the commits of its fleet's policy.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Participant {
    in_force: Option<VersionedPolicy>,
    /// The committed policy that is being put in force.
    applying: Option<VersionedPolicy>,
    /// The committed policy that cannot be used on this forwarder.
    unusable: Option<UnusablePolicy>,
    /// The proposed policy that is being checked.
    checking: Option<VersionedPolicy>,
    /// The proposed policy that was checked and is on disk.
    staged: Option<VersionedPolicy>,
    vote: Option<Vote>,
    /// The time at which the last read that was answered was sent.
    last_read_sent_at: Option<Micros>,
}

fn has_id(policy: &Option<VersionedPolicy>, id: &str) -> bool {
    policy.as_ref().is_some_and(|policy| policy.id == id)
}

impl Participant {
    /// Creates a participant from the policies on disk: the one that was last in force and the one that was last
    /// staged.
    pub fn new(in_force: Option<VersionedPolicy>, staged: Option<VersionedPolicy>) -> Self {
        Participant { in_force, staged, ..Participant::default() }
    }

    /// Returns the version in force, or 0 if no policy is in force.
    pub fn version(&self) -> PolicyVersion {
        self.in_force.as_ref().map_or(0, |policy| policy.version)
    }

    /// Returns the policy in force, or `None` if no policy is in force.
    pub fn in_force(&self) -> Option<&VersionedPolicy> {
        self.in_force.as_ref()
    }

    /// Returns the staged policy, or `None` if no policy is staged.
    pub fn staged(&self) -> Option<&VersionedPolicy> {
        self.staged.as_ref()
    }

    /// Returns the time until which the participant is in contact with the commit point, or `None` if no read was
    /// answered yet. `contact_time` is how long the participant counts as in contact after it sent a read that was
    /// answered, in microseconds.
    pub fn contact_until(&self, contact_time: Micros) -> Option<Micros> {
        self.last_read_sent_at.map(|sent_at| sent_at + contact_time)
    }

    /// Returns the reason why this forwarder may not have the fleet's policy in force, or `None` if it is in contact
    /// with the commit point and has the committed policy in force.
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

    /// Returns the status that the participant publishes.
    pub fn member_status(&self) -> MemberStatus {
        let unusable_reason = self.unusable.as_ref().map(|unusable| unusable.reason.clone());
        MemberStatus { version: self.version(), vote: self.vote.clone(), unusable_reason }
    }

    /// Handles one input and returns the effects to carry out, in order.
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

    /// Applies a committed policy if it is newer than the one in force and was not applied before.
    fn apply_committed(&mut self, policy: VersionedPolicy, effects: &mut Vec<Effect>) {
        let is_newer = policy.version > self.version();
        let is_applying = has_id(&self.applying, &policy.id);
        let is_unusable = self.unusable.as_ref().is_some_and(|unusable| unusable.policy.id == policy.id);
        if is_newer && !is_applying && !is_unusable {
            self.applying = Some(policy.clone());
            effects.push(Effect::Apply(policy));
        }
    }

    /// Discards a staged policy, and a policy that is being checked, if it is no longer proposed.
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

    /// Stages a proposal or votes against it, unless either was done already.
    fn vote_on(&mut self, proposed: VersionedPolicy, effects: &mut Vec<Effect>) {
        let has_voted = self.vote.as_ref().is_some_and(|vote| vote.proposal_id == proposed.id);
        // While a committed policy is being applied, the proposal waits for the next read of the commit point.
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
