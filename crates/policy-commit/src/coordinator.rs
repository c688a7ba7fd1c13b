//! The operators' side: a policy proposed, prepared by all that are there, and committed or withdrawn; how things stand;
//! and a proposal taken away.
//!
//! The proposal is a key that the proposer's session holds and that goes with it: one that dies leaves none. The
//! commit is one transaction: the proposal is still this one and held by this session, what is committed is what it was,
//! and both change together or not at all.

use crate::commit_point::{Epoch, Member, NumberedPolicy, Point, Policy, PolicyError, Settings, members};
use crate::commit_decision::{Verdict, verdict};
use bytes::Bytes;
use orchidyoke_consul::locks::{Behavior, LockError, Locks, Operation};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout_at};

/// The largest policy: Consul takes values of up to 512 KiB, and this one stands in JSON in base 64.
pub const LARGEST_POLICY: usize = 128 << 10;
/// Pause after a question that came to nothing.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Why a policy was not committed; in each case it is in force nowhere.
#[derive(Debug, thiserror::Error)]
pub enum ProposeError {
    /// It is no policy.
    #[error(transparent)]
    Policy(#[from] PolicyError),
    /// It is too large.
    #[error("the policy has {0} bytes; {LARGEST_POLICY} are the most")]
    Large(usize),
    /// Consul could not be asked.
    #[error("Consul: {0}")]
    Consul(#[from] LockError),
    /// Another proposal is under way.
    #[error("{0} proposes epoch {1} at this moment: wait for its end, or withdraw it (policy abort)")]
    Busy(String, Epoch),
    /// Forwarders cannot use it.
    #[error("not committed, refused by {}", list(.0))]
    Refused(Vec<(String, String)>),
    /// Forwarders that are there did not answer in time.
    #[error("not committed, no answer within {0:?} from {names}", names = .1.join(", "))]
    NoAnswer(Duration, Vec<String>),
    /// Another policy was committed first, or this one was withdrawn.
    #[error("not committed: it was withdrawn, or another was committed first")]
    Lost,
    /// The commit was sent and not answered, and the commit point could not be read since.
    #[error("it is not known whether epoch {0} was committed ({1}): see policy status")]
    Unknown(Epoch, LockError),
}

fn list(refusals: &[(String, String)]) -> String {
    refusals.iter().map(|(name, why)| format!("{name}: {why}")).collect::<Vec<_>>().join("; ")
}

/// How a committed policy came to the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CommitReport {
    /// Its number.
    pub epoch: Epoch,
    /// From the commit's answer until the last forwarder that is there had said that it is in force; none where that did
    /// not come in time.
    pub everywhere: Option<Duration>,
    /// Those that had not said so.
    pub missing: Vec<String>,
}

/// Whoever asks at the commit point.
pub struct Office {
    settings: Settings,
    locks: Locks,
    committed_at: Option<Instant>,
}

impl Office {
    /// For these settings. Nothing is opened yet.
    pub fn new(settings: Settings) -> Self {
        let locks = Locks::new(Rc::new(settings.consul.clone()));
        Office { settings, locks, committed_at: None }
    }

    /// When the answer came that the last policy proposed here is committed, if it is.
    pub fn last_commit(&self) -> Option<Instant> {
        self.committed_at
    }

    /// What stands at the commit point.
    pub async fn point(&mut self) -> Result<Point, LockError> {
        let (_, rows) = self.locks.look(&self.settings.epoch(), 0, Duration::ZERO).await?;
        Ok(Point::read(&self.settings, &rows))
    }

    /// Who is there, at this index or later; with an index it waits for news.
    async fn members(&mut self, index: u64) -> Result<(u64, Vec<Member>), LockError> {
        let (index, rows) = self.locks.look(&self.settings.members(), index, self.settings.ttl / 4).await?;
        Ok((index, members(&self.settings, &rows)))
    }

    /// The whole picture: the commit point, and who is there.
    pub async fn status(&mut self) -> Result<(Point, Vec<Member>), LockError> {
        let point = self.point().await?;
        Ok((point, self.members(0).await?.1))
    }

    /// Takes the proposal away that is under way; whether there was one. Its proposer then cannot commit it.
    pub async fn abort(&mut self) -> Result<Option<NumberedPolicy>, LockError> {
        let Some((proposal, index, _)) = self.point().await?.proposal else { return Ok(None) };
        let key = self.settings.proposal();
        let done = self.locks.transact(&[Operation::DeleteCas(key, index)]).await?;
        Ok(done.then_some(proposal))
    }

    /// Proposes a policy and commits it once all that are there have said yes; waits up to `patience` for that, and once
    /// more for all to have it in force.
    pub async fn propose(
        &mut self,
        policy: &str,
        by: &str,
        patience: Duration,
    ) -> Result<CommitReport, ProposeError> {
        Policy::read(policy)?;
        if policy.len() > LARGEST_POLICY {
            return Err(ProposeError::Large(policy.len()));
        }
        let ttl = self.settings.ttl;
        let session = self.locks.create(by, ttl, Duration::ZERO, Behavior::Delete).await?;
        let outcome = self.under(&session, policy, by, patience).await;
        self.committed_at = outcome.is_ok().then(Instant::now);
        // With the session goes the proposal, if it is still there.
        self.locks.destroy(&session).await;
        let numbered = outcome?;
        tracing::info!(epoch = numbered.epoch, id = %numbered.id, "policy committed");
        Ok(self.await_everywhere(numbered.epoch, patience).await)
    }

    async fn under(
        &mut self,
        session: &str,
        policy: &str,
        by: &str,
        patience: Duration,
    ) -> Result<NumberedPolicy, ProposeError> {
        let until = Instant::now() + patience;
        let point = self.point().await?;
        if let Some((other, ..)) = point.proposal {
            return Err(ProposeError::Busy(other.by, other.epoch));
        }
        // The session's id is used once: it tells this proposal from all others.
        let mine =
            NumberedPolicy::new(session.to_owned(), point.epoch() + 1, policy.to_owned(), by.to_owned());
        let value = Bytes::from(serde_json::to_vec(&mine).map_err(PolicyError::from)?);
        let key = self.settings.proposal();
        if !self.locks.acquire(&key, session, value).await? {
            let other = self.point().await?.proposal.map(|(other, ..)| other);
            let (by, epoch) = other.map_or(("somebody".to_owned(), mine.epoch), |o| (o.by, o.epoch));
            return Err(ProposeError::Busy(by, epoch));
        }
        tracing::info!(epoch = mine.epoch, id = %mine.id, digest = %mine.digest, "policy proposed");
        let (mut index, mut renewed, mut silent) = (0, Instant::now(), Vec::new());
        loop {
            if Instant::now() >= until {
                return Err(ProposeError::NoAnswer(patience, silent));
            }
            if renewed.elapsed() >= self.settings.ttl / 3 {
                renewed = Instant::now();
                if !self.locks.renew(session).await? {
                    return Err(ProposeError::Lost);
                }
            }
            let looked = timeout_at(until, self.members(index)).await;
            let Ok(looked) = looked else { return Err(ProposeError::NoAnswer(patience, silent)) };
            let (at, members) = looked?;
            index = at;
            let point = self.point().await?;
            match verdict(&mine, &point, &members) {
                Verdict::Wait(names) => silent = names,
                Verdict::Refused(why) => return Err(ProposeError::Refused(why)),
                Verdict::Lost => return Err(ProposeError::Lost),
                Verdict::Commit { proposal, committed } => {
                    return self.commit(mine, proposal, committed, session, until).await;
                }
            }
        }
    }

    /// The one write that commits. Without an answer, what is committed is read until it says which it was.
    async fn commit(
        &mut self,
        mine: NumberedPolicy,
        proposal: u64,
        committed: u64,
        session: &str,
        until: Instant,
    ) -> Result<NumberedPolicy, ProposeError> {
        let value = Bytes::from(serde_json::to_vec(&mine).map_err(PolicyError::from)?);
        let operations = [
            Operation::CheckHeld(self.settings.proposal(), proposal, session.to_owned()),
            Operation::Cas(self.settings.committed(), committed, value),
            Operation::DeleteCas(self.settings.proposal(), proposal),
        ];
        let unsure = match self.locks.transact(&operations).await {
            Ok(true) => return Ok(mine),
            Ok(false) => return Err(ProposeError::Lost),
            Err(LockError::Unsure(error)) => LockError::Unsure(error),
            Err(error) => return Err(error.into()),
        };
        // Sent and not answered: as long as the proposal is there it may still be carried out.
        let mut last = unsure;
        loop {
            match self.point().await {
                Ok(point) if point.committed.as_ref().is_some_and(|(there, _)| there.id == mine.id) => {
                    return Ok(mine);
                }
                Ok(point) if point.proposal.as_ref().is_none_or(|(there, ..)| there.id != mine.id) => {
                    return Err(ProposeError::Lost);
                }
                // Withdrawn by a write of its own: then the commit's checks fail whenever it comes.
                Ok(_) => match self
                    .locks
                    .transact(&[Operation::DeleteCas(self.settings.proposal(), proposal)])
                    .await
                {
                    Ok(_) => {}
                    Err(error) => last = error,
                },
                Err(error) => last = error,
            }
            if Instant::now() >= until {
                return Err(ProposeError::Unknown(mine.epoch, last));
            }
            sleep(RETRY_PAUSE).await;
        }
    }

    async fn await_everywhere(&mut self, epoch: Epoch, patience: Duration) -> CommitReport {
        let (began, mut index) = (self.committed_at.unwrap_or_else(Instant::now), 0);
        let mut missing = Vec::new();
        while began.elapsed() < patience {
            match timeout_at(began + patience, self.members(index)).await {
                Ok(Ok((at, members))) => {
                    index = at;
                    let has = |member: &Member| member.status.as_ref().is_some_and(|s| s.epoch >= epoch);
                    missing = members
                        .iter()
                        .filter(|member| !has(member))
                        .map(|member| member.id.clone())
                        .collect();
                    if missing.is_empty() {
                        let everywhere = Some(began.elapsed());
                        return CommitReport { epoch, everywhere, missing };
                    }
                }
                Ok(Err(_)) => {
                    index = 0;
                    sleep(RETRY_PAUSE).await;
                }
                Err(_) => break,
            }
        }
        CommitReport { epoch, everywhere: None, missing }
    }
}
