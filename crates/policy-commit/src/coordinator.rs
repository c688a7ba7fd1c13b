//! The coordinator of a policy change on Consul, for operators: propose a policy, wait for the participants' votes, and
//! commit or withdraw it; read the state of the fleet; abort an open proposal.
//!
//! The proposal is a key that the coordinator's session holds and that is deleted with it: a coordinator that dies leaves
//! none. The commit is one transaction: the proposal is still this one and held by this session, the committed policy is
//! still the one before, and both keys change together or not at all.

use crate::commit_decision::{CommitCondition, CommitDecision, Rejection, decide};
use crate::commit_point::{CommitPoint, Member, Proposal, members_from_rows};
use crate::policy::{Policy, PolicyError, PolicyVersion, VersionedPolicy};
use crate::settings::Settings;
use bytes::Bytes;
use orchidyoke_consul::locks::{LockClient, LockError, SessionBehavior, TransactionOperation};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout_at};

/// The largest policy, in bytes. Consul takes values of up to 512 KiB, and the policy stands in JSON in base 64.
pub const MAX_POLICY_BYTES: usize = 128 << 10;
/// Pause after a request to Consul that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Why a policy was not committed. Except for [`CommitError::OutcomeUnknown`] it is in force nowhere.
#[derive(Debug, thiserror::Error)]
pub enum CommitError {
    /// The text is not a policy.
    #[error(transparent)]
    Policy(#[from] PolicyError),
    /// The text is too large.
    #[error("the policy has {bytes} bytes; {MAX_POLICY_BYTES} are the most")]
    TooLarge {
        /// Its length.
        bytes: usize,
    },
    /// A request to Consul failed.
    #[error("a request to the commit point on Consul failed: {0}")]
    Consul(#[from] LockError),
    /// Another proposal is open.
    #[error("{by} proposes epoch {version} at this moment: wait for its end, or withdraw it (policy abort)")]
    ProposalOpen {
        /// Who proposed it.
        by: String,
        /// Its version.
        version: PolicyVersion,
    },
    /// Participants voted against it.
    #[error("not committed, refused by {}", list(.0))]
    Rejected(Vec<Rejection>),
    /// Participants did not vote in time.
    #[error("not committed, no answer within {patience:?} from {members}", members = members.join(", "))]
    VotesMissing {
        /// How long the coordinator waited.
        patience: Duration,
        /// The participants.
        members: Vec<String>,
    },
    /// Another policy was committed first, or this proposal was withdrawn.
    #[error("not committed: it was withdrawn, or another was committed first")]
    Superseded,
    /// The commit was sent and not answered, and the commit point could not be read since.
    #[error("it is not known whether epoch {version} was committed ({source}): see policy status")]
    OutcomeUnknown {
        /// The version.
        version: PolicyVersion,
        /// Why the last request failed.
        source: LockError,
    },
}

fn list(rejections: &[Rejection]) -> String {
    let texts = rejections.iter().map(|rejection| format!("{}: {}", rejection.member, rejection.reason));
    texts.collect::<Vec<_>>().join("; ")
}

/// A committed policy, and how it reached the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CommitReport {
    /// Its version.
    pub version: PolicyVersion,
    /// From the answer to the commit until the last participant reported it in force; none where one did not in time.
    pub in_force_everywhere_after: Option<Duration>,
    /// Participants that had not reported it in force.
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

/// A proposal on its way to the commit.
struct OpenProposal<'a> {
    policy: VersionedPolicy,
    session: &'a str,
    patience: Duration,
    deadline: Instant,
}

/// A read of the participants, with Consul's index of it.
struct MembersRead {
    index: u64,
    members: Vec<Member>,
}

/// Proposes policies at one commit point, and reads its state.
pub struct Coordinator {
    settings: Settings,
    locks: LockClient,
    committed_at: Option<Instant>,
}

impl Coordinator {
    /// For the commit point of these settings. Nothing is opened yet.
    pub fn new(settings: Settings) -> Self {
        let locks = LockClient::new(Rc::new(settings.consul.clone()));
        Coordinator { settings, locks, committed_at: None }
    }

    /// When the commit of the last policy proposed here was answered, if it was committed.
    pub fn last_commit(&self) -> Option<Instant> {
        self.committed_at
    }

    /// The committed and the proposed policy.
    ///
    /// # Errors
    ///
    /// Consul did not answer, or rejected the request.
    pub async fn commit_point(&mut self) -> Result<CommitPoint, LockError> {
        let folder = self.settings.commit_point_folder();
        let (_, rows) = self.locks.read_keys(&folder, 0, Duration::ZERO).await?;
        Ok(CommitPoint::from_rows(&self.settings, &rows))
    }

    /// The participants; with an index above 0, once they have changed since or a quarter of the TTL is over.
    async fn members(&mut self, index: u64) -> Result<MembersRead, LockError> {
        let folder = self.settings.members_folder();
        let (index, rows) = self.locks.read_keys(&folder, index, self.settings.ttl / 4).await?;
        Ok(MembersRead { index, members: members_from_rows(&self.settings, &rows) })
    }

    /// The commit point and the participants.
    ///
    /// # Errors
    ///
    /// Consul did not answer, or rejected a request.
    pub async fn status(&mut self) -> Result<FleetStatus, LockError> {
        let point = self.commit_point().await?;
        let members = self.members(0).await?.members;
        Ok(FleetStatus { point, members })
    }

    /// Withdraws the open proposal, if there is one, and returns it. Its coordinator then cannot commit it.
    ///
    /// # Errors
    ///
    /// Consul did not answer, or rejected a request.
    pub async fn abort(&mut self) -> Result<Option<VersionedPolicy>, LockError> {
        let Some(proposal) = self.commit_point().await?.proposal else { return Ok(None) };
        let is_withdrawn = self.withdraw(proposal.modify_index).await?;
        Ok(is_withdrawn.then_some(proposal.policy))
    }

    /// Deletes the proposal that was written at this index; false where it is another by now.
    async fn withdraw(&mut self, proposal_index: u64) -> Result<bool, LockError> {
        let key = self.settings.proposal_key();
        self.locks
            .transact(&[TransactionOperation::CheckAndDelete { key, modify_index: proposal_index }])
            .await
    }

    /// Proposes a policy, commits it once all participants have voted for it, and then waits until it is in force on all.
    /// Waits up to `patience` for the votes, and up to `patience` again for the latter.
    ///
    /// # Errors
    ///
    /// The policy was not committed, or that is not known.
    pub async fn propose(
        &mut self,
        policy: &str,
        by: &str,
        patience: Duration,
    ) -> Result<CommitReport, CommitError> {
        Policy::parse(policy)?;
        if policy.len() > MAX_POLICY_BYTES {
            return Err(CommitError::TooLarge { bytes: policy.len() });
        }
        let ttl = self.settings.ttl;
        let session = self.locks.create_session(by, ttl, Duration::ZERO, SessionBehavior::Delete).await?;
        let outcome = self.propose_under(&session, policy, by, patience).await;
        self.committed_at = outcome.is_ok().then(Instant::now);
        // Deletes the proposal too, if it is still there.
        self.locks.destroy_session(&session).await;
        let committed = outcome?;
        tracing::info!(version = committed.version, id = %committed.id, "policy committed");
        Ok(self.await_in_force(committed.version, patience).await)
    }

    async fn propose_under(
        &mut self,
        session: &str,
        policy: &str,
        by: &str,
        patience: Duration,
    ) -> Result<VersionedPolicy, CommitError> {
        let deadline = Instant::now() + patience;
        let point = self.commit_point().await?;
        if let Some(other) = point.proposal {
            return Err(proposal_open(other));
        }
        // A session's id is used once, so it tells this proposal from all others.
        let id = session.to_owned();
        let policy = VersionedPolicy::new(id, point.version() + 1, policy.to_owned(), by.to_owned());
        self.write_proposal(&policy, session).await?;
        tracing::info!(version = policy.version, id = %policy.id, digest = %policy.digest, "policy proposed");
        let proposal = OpenProposal { policy, session, patience, deadline };
        let condition = self.collect_votes(&proposal).await?;
        self.commit(proposal, condition).await
    }

    async fn write_proposal(&mut self, policy: &VersionedPolicy, session: &str) -> Result<(), CommitError> {
        let value = Bytes::from(serde_json::to_vec(policy).map_err(PolicyError::from)?);
        if self.locks.acquire(&self.settings.proposal_key(), session, value).await? {
            return Ok(());
        }
        Err(match self.commit_point().await?.proposal {
            Some(other) => proposal_open(other),
            None => CommitError::ProposalOpen { by: "somebody".to_owned(), version: policy.version },
        })
    }

    /// Waits until all participants have voted for the proposal; the condition of its commit.
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
        Err(CommitError::VotesMissing { patience: proposal.patience, members: missing })
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

    /// Finds out whether a commit that was not answered took effect. While the proposal is there the commit may still be
    /// carried out, so it is withdrawn first: then the commit's checks fail whenever it arrives.
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

    /// Waits until all participants report this version in force.
    async fn await_in_force(&mut self, version: PolicyVersion, patience: Duration) -> CommitReport {
        let committed_at = self.committed_at.unwrap_or_else(Instant::now);
        let mut index = 0;
        let mut not_in_force = Vec::new();
        while committed_at.elapsed() < patience {
            match timeout_at(committed_at + patience, self.members(index)).await {
                Ok(Ok(read)) => {
                    index = read.index;
                    not_in_force = members_below(version, &read.members);
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

fn proposal_open(other: Proposal) -> CommitError {
    CommitError::ProposalOpen { by: other.policy.proposed_by, version: other.policy.version }
}

fn is_committed(point: &CommitPoint, policy: &VersionedPolicy) -> bool {
    point.committed.as_ref().is_some_and(|committed| committed.policy.id == policy.id)
}

fn is_proposed(point: &CommitPoint, policy: &VersionedPolicy) -> bool {
    point.proposal.as_ref().is_some_and(|proposal| proposal.policy.id == policy.id)
}

/// The ids of the participants that do not report at least this version in force.
fn members_below(version: PolicyVersion, members: &[Member]) -> Vec<String> {
    let is_below = |member: &&Member| member.status.as_ref().is_none_or(|status| status.version < version);
    members.iter().filter(is_below).map(|member| member.id.clone()).collect()
}
