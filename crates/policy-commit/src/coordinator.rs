//! The coordinator of a policy change on Consul, for operators. It proposes a policy, waits for the participants'
//! votes, and commits or withdraws the policy. It also reads the state of the fleet, and aborts an open proposal.
//!
//! The proposal is a key that the coordinator's session holds. Consul deletes the key when the session ends, so a
//! coordinator that crashes leaves no proposal. The commit is one transaction. It checks that the proposal is unchanged
//! and held by the coordinator's session, and that the committed policy is still the previous one. Both keys change
//! together, or neither changes.

use crate::commit_decision::{CommitCondition, CommitDecision, Rejection, decide};
use crate::commit_point::{CommitPoint, Member, Proposal, members_from_rows};
use crate::policy::{Policy, PolicyError, PolicyVersion, VersionedPolicy};
use crate::settings::Settings;
use bytes::Bytes;
use orchidyoke_consul::locks::{LockClient, LockError, SessionBehavior, TransactionOperation};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout_at};

/// The largest length of a policy's text, in bytes. Consul accepts values of up to 512 KiB, and the policy is sent to
/// Consul as JSON in base 64.
pub const MAX_POLICY_BYTES: usize = 128 << 10;
/// The pause after a request to Consul that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// The reason why a policy was not committed. Except after [`CommitError::OutcomeUnknown`], the policy is in force on
/// no forwarder.
#[derive(Debug, thiserror::Error)]
pub enum CommitError {
    /// The text is not a policy.
    #[error(transparent)]
    Policy(#[from] PolicyError),
    /// The text is longer than [`MAX_POLICY_BYTES`].
    #[error("the policy has {bytes} bytes, more than the limit of {MAX_POLICY_BYTES}")]
    TooLarge {
        /// The length of the text, in bytes.
        bytes: usize,
    },
    /// A request to Consul failed.
    #[error("a request to the commit point on Consul failed: {0}")]
    Consul(#[from] LockError),
    /// Another proposal is open.
    #[error("{by} proposes epoch {version} at this moment: wait for its end, or withdraw it (policy abort)")]
    ProposalOpen {
        /// The name of the other proposal's coordinator.
        by: String,
        /// The version of the other proposal.
        version: PolicyVersion,
    },
    /// Participants voted against the proposal.
    #[error("not committed, refused by {}", format_rejections(.0))]
    Rejected(Vec<Rejection>),
    /// Participants did not vote in time.
    #[error("not committed, no answer within {timeout:?} from {members}", members = members.join(", "))]
    VotesMissing {
        /// How long the coordinator waited for votes.
        timeout: Duration,
        /// The participants that did not vote.
        members: Vec<String>,
    },
    /// Another policy was committed first, or this proposal was withdrawn.
    #[error("not committed: the proposal was withdrawn, or another policy was committed first")]
    Superseded,
    /// The commit was sent but not answered, and no later read of the commit point has shown its outcome.
    #[error("it is not known whether epoch {version} was committed ({source}): see policy status")]
    OutcomeUnknown {
        /// The version of the policy.
        version: PolicyVersion,
        /// The error of the last request.
        source: LockError,
    },
}

fn format_rejections(rejections: &[Rejection]) -> String {
    let texts = rejections.iter().map(|rejection| format!("{}: {}", rejection.member, rejection.reason));
    texts.collect::<Vec<_>>().join("; ")
}

/// The result of a commit, and how the policy reached the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CommitReport {
    /// The version of the committed policy.
    pub version: PolicyVersion,
    /// The time from the answer to the commit until the last participant reported the policy in force. `None` if not
    /// all participants reported in time.
    pub in_force_everywhere_after: Option<Duration>,
    /// The participants that had not reported the policy in force at the last read. Empty if all had reported, or if no
    /// read was answered.
    pub not_in_force: Vec<String>,
}

/// The state of a fleet's policy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetStatus {
    /// The committed and the proposed policy.
    pub point: CommitPoint,
    /// The participants.
    pub members: Vec<Member>,
}

/// An open proposal of this coordinator.
struct OpenProposal<'a> {
    policy: VersionedPolicy,
    session: &'a str,
    timeout: Duration,
    deadline: Instant,
}

/// A read of the participants, with Consul's index of that read.
struct MembersRead {
    index: u64,
    members: Vec<Member>,
}

/// Proposes policies at one commit point, and reads the state of the commit point.
pub struct Coordinator {
    settings: Settings,
    locks: LockClient,
    committed_at: Option<Instant>,
}

impl Coordinator {
    /// Creates a coordinator for the commit point of these settings. Opens no connection yet.
    pub fn new(settings: Settings) -> Self {
        let locks = LockClient::new(Rc::new(settings.consul.clone()));
        Coordinator { settings, locks, committed_at: None }
    }

    /// Returns when the last proposal of this coordinator was found to be committed, or `None` if it was not committed.
    /// A call of [`Coordinator::propose`] that fails before it creates a session does not change this time.
    pub fn last_commit(&self) -> Option<Instant> {
        self.committed_at
    }

    /// Returns the committed and the proposed policy.
    ///
    /// # Errors
    ///
    /// Returns an error if Consul did not answer or rejected the request.
    pub async fn commit_point(&mut self) -> Result<CommitPoint, LockError> {
        let folder = self.settings.commit_point_folder();
        let (_, rows) = self.locks.read_keys(&folder, 0, Duration::ZERO).await?;
        Ok(CommitPoint::from_rows(&self.settings, &rows))
    }

    /// Returns the participants. If `index` is above 0, waits until they have changed since that index, for up to a
    /// quarter of the TTL.
    async fn members(&mut self, index: u64) -> Result<MembersRead, LockError> {
        let folder = self.settings.members_folder();
        let (index, rows) = self.locks.read_keys(&folder, index, self.settings.ttl / 4).await?;
        Ok(MembersRead { index, members: members_from_rows(&self.settings, &rows) })
    }

    /// Returns the commit point and the participants.
    ///
    /// # Errors
    ///
    /// Returns an error if Consul did not answer or rejected a request.
    pub async fn status(&mut self) -> Result<FleetStatus, LockError> {
        let point = self.commit_point().await?;
        let members = self.members(0).await?.members;
        Ok(FleetStatus { point, members })
    }

    /// Withdraws the open proposal and returns it, or returns `None` if no proposal is open. After the withdrawal, the
    /// proposal's coordinator cannot commit it.
    ///
    /// # Errors
    ///
    /// Returns an error if Consul did not answer or rejected a request.
    pub async fn abort(&mut self) -> Result<Option<VersionedPolicy>, LockError> {
        let Some(proposal) = self.commit_point().await?.proposal else { return Ok(None) };
        let is_withdrawn = self.withdraw(proposal.modify_index).await?;
        Ok(is_withdrawn.then_some(proposal.policy))
    }

    /// Deletes the proposal that was written at this index. Returns `false` if that proposal no longer exists.
    async fn withdraw(&mut self, proposal_index: u64) -> Result<bool, LockError> {
        let key = self.settings.proposal_key();
        self.locks
            .transact(&[TransactionOperation::CheckAndDelete { key, modify_index: proposal_index }])
            .await
    }

    /// Proposes a policy, commits it once all participants have voted for it, and then waits until it is in force on
    /// all participants. Waits up to `timeout` for the votes, and again up to `timeout` until the policy is in force.
    /// `by` is the name of the coordinator that the proposal shows.
    ///
    /// # Errors
    ///
    /// Returns an error if the policy was not committed, or if it is not known whether it was.
    pub async fn propose(
        &mut self,
        policy: &str,
        by: &str,
        timeout: Duration,
    ) -> Result<CommitReport, CommitError> {
        Policy::parse(policy)?;
        if policy.len() > MAX_POLICY_BYTES {
            return Err(CommitError::TooLarge { bytes: policy.len() });
        }
        let ttl = self.settings.ttl;
        let session = self.locks.create_session(by, ttl, Duration::ZERO, SessionBehavior::Delete).await?;
        let outcome = self.propose_under(&session, policy, by, timeout).await;
        self.committed_at = outcome.is_ok().then(Instant::now);
        // Ending the session also deletes the proposal, if it still exists.
        self.locks.destroy_session(&session).await;
        let committed = outcome?;
        tracing::info!(version = committed.version, id = %committed.id, "policy committed");
        Ok(self.await_in_force(committed.version, timeout).await)
    }

    async fn propose_under(
        &mut self,
        session: &str,
        policy: &str,
        by: &str,
        timeout: Duration,
    ) -> Result<VersionedPolicy, CommitError> {
        let deadline = Instant::now() + timeout;
        let point = self.commit_point().await?;
        if let Some(other) = point.proposal {
            return Err(proposal_open_error(other));
        }
        // Consul never reuses the id of a session, so the id distinguishes this proposal from all others.
        let id = session.to_owned();
        let policy = VersionedPolicy::new(id, point.version() + 1, policy.to_owned(), by.to_owned());
        self.write_proposal(&policy, session).await?;
        tracing::info!(version = policy.version, id = %policy.id, digest = %policy.digest, "policy proposed");
        let proposal = OpenProposal { policy, session, timeout, deadline };
        let condition = self.collect_votes(&proposal).await?;
        self.commit(proposal, condition).await
    }

    async fn write_proposal(&mut self, policy: &VersionedPolicy, session: &str) -> Result<(), CommitError> {
        let value = Bytes::from(serde_json::to_vec(policy).map_err(PolicyError::from)?);
        if self.locks.acquire(&self.settings.proposal_key(), session, value).await? {
            return Ok(());
        }
        Err(match self.commit_point().await?.proposal {
            Some(other) => proposal_open_error(other),
            None => CommitError::ProposalOpen { by: "somebody".to_owned(), version: policy.version },
        })
    }

    /// Waits until all participants have voted for the proposal. Returns the condition of its commit.
    async fn collect_votes(&mut self, proposal: &OpenProposal<'_>) -> Result<CommitCondition, CommitError> {
        let mut index = 0;
        let mut renewed_at = Instant::now();
        let mut missing = Vec::new();
        while Instant::now() < proposal.deadline {
            if renewed_at.elapsed() >= self.settings.ttl / 3 {
                renewed_at = Instant::now();
                if !self.locks.renew_session(proposal.session).await? {
                    return Err(CommitError::Superseded);
                }
            }
            let Ok(read) = timeout_at(proposal.deadline, self.members(index)).await else { break };
            let read = read?;
            index = read.index;
            let point = self.commit_point().await?;
            match decide(&proposal.policy, &point, &read.members) {
                CommitDecision::Wait(members) => missing = members,
                CommitDecision::Rejected(rejections) => return Err(CommitError::Rejected(rejections)),
                CommitDecision::Superseded => return Err(CommitError::Superseded),
                CommitDecision::Commit(condition) => return Ok(condition),
            }
        }
        Err(CommitError::VotesMissing { timeout: proposal.timeout, members: missing })
    }

    /// Commits the proposal in one transaction.
    async fn commit(
        &mut self,
        proposal: OpenProposal<'_>,
        condition: CommitCondition,
    ) -> Result<VersionedPolicy, CommitError> {
        let value = Bytes::from(serde_json::to_vec(&proposal.policy).map_err(PolicyError::from)?);
        let proposal_key = self.settings.proposal_key();
        let session = proposal.session.to_owned();
        let operations = [
            TransactionOperation::CheckHeld {
                key: proposal_key.clone(),
                modify_index: condition.proposal_index,
                session,
            },
            TransactionOperation::CheckAndSet {
                key: self.settings.committed_key(),
                modify_index: condition.committed_index,
                value,
            },
            TransactionOperation::CheckAndDelete {
                key: proposal_key,
                modify_index: condition.proposal_index,
            },
        ];
        match self.locks.transact(&operations).await {
            Ok(true) => Ok(proposal.policy),
            Ok(false) => Err(CommitError::Superseded),
            Err(error @ LockError::OutcomeUnknown(_)) => {
                self.resolve_commit(proposal, condition, error).await
            }
            Err(error) => Err(error.into()),
        }
    }

    /// Finds out whether a commit that was not answered took effect. While the proposal exists, Consul may still carry
    /// out the commit. Therefore the proposal is withdrawn first, so that the commit's checks fail whenever it arrives.
    async fn resolve_commit(
        &mut self,
        proposal: OpenProposal<'_>,
        condition: CommitCondition,
        error: LockError,
    ) -> Result<VersionedPolicy, CommitError> {
        let policy = proposal.policy;
        let mut last_error = error;
        loop {
            match self.commit_point().await {
                Ok(point) if is_committed(&point, &policy) => return Ok(policy),
                Ok(point) if !is_proposed(&point, &policy) => return Err(CommitError::Superseded),
                Ok(_) => {
                    if let Err(error) = self.withdraw(condition.proposal_index).await {
                        last_error = error;
                    }
                }
                Err(error) => last_error = error,
            }
            if Instant::now() >= proposal.deadline {
                return Err(CommitError::OutcomeUnknown { version: policy.version, source: last_error });
            }
            sleep(RETRY_PAUSE).await;
        }
    }

    /// Waits until all participants report this version in force, for up to `timeout` after the commit.
    async fn await_in_force(&mut self, version: PolicyVersion, timeout: Duration) -> CommitReport {
        let committed_at = self.committed_at.unwrap_or_else(Instant::now);
        let mut index = 0;
        let mut not_in_force = Vec::new();
        while committed_at.elapsed() < timeout {
            match timeout_at(committed_at + timeout, self.members(index)).await {
                Ok(Ok(read)) => {
                    index = read.index;
                    not_in_force = members_below_version(version, &read.members);
                    if not_in_force.is_empty() {
                        let in_force_everywhere_after = Some(committed_at.elapsed());
                        return CommitReport { version, in_force_everywhere_after, not_in_force };
                    }
                }
                Ok(Err(_)) => {
                    index = 0;
                    sleep(RETRY_PAUSE).await;
                }
                Err(_) => break,
            }
        }
        CommitReport { version, in_force_everywhere_after: None, not_in_force }
    }
}

fn proposal_open_error(other: Proposal) -> CommitError {
    CommitError::ProposalOpen { by: other.policy.proposed_by, version: other.policy.version }
}

fn is_committed(point: &CommitPoint, policy: &VersionedPolicy) -> bool {
    point.committed.as_ref().is_some_and(|committed| committed.policy.id == policy.id)
}

fn is_proposed(point: &CommitPoint, policy: &VersionedPolicy) -> bool {
    point.proposal.as_ref().is_some_and(|proposal| proposal.policy.id == policy.id)
}

/// Returns the ids of the participants that do not report at least this version in force.
fn members_below_version(version: PolicyVersion, members: &[Member]) -> Vec<String> {
    let is_below = |member: &&Member| member.status.as_ref().is_none_or(|status| status.version < version);
    members.iter().filter(is_below).map(|member| member.id.clone()).collect()
}
