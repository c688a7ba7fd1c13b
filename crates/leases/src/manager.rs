//! Manages the leases of one forwarder on Consul. The manager carries out the effects of the [`LeaseStateMachine`] and
//! passes Consul's answers back to it as inputs.
//!
//! Each member holds its own member key ([`LeaseKeys`]). The state machine handles that key as one more lease, which is
//! always assigned to the member. One blocking query on all keys returns which members are alive and which member holds
//! which lease; the placement is computed from its answer. A second connection carries the writes, one at a time.

use crate::config::LeaseConfig;
use crate::keys::{LeaseKey, LeaseKeys};
use crate::placement::{MemberName, assign_leases};
use crate::state_machine::{Effect, Input, LeaseStateMachine, Lock, SessionId};
use crate::{FencingToken, LeaseId};
use bytes::Bytes;
use orchidyoke_consul::Settings;
use orchidyoke_consul::locks::{KeyEntry, LockClient, LockError, SessionBehavior};
use orchidyoke_core::interface::Micros;
use orchidyoke_forwarder::log;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// The lease id that stands for the forwarder's own member key.
const MEMBERSHIP: LeaseId = LeaseId::MAX;
/// The shortest and the longest sleep between two steps, in microseconds.
const MIN_SLEEP_US: Micros = 1_000;
const MAX_SLEEP_US: Micros = 3_600_000_000;

/// The configuration of one forwarder as a member of the fleet that shares the leases.
#[derive(Clone, Debug)]
pub struct ManagerConfig {
    /// The member's name, unique below the prefix and the same after restarts.
    pub name: MemberName,
    /// The member's weight. Its share of the leases is its share of the sum of all weights.
    pub weight: f64,
    /// The prefix of the keys, without a slash at its end.
    pub key_prefix: String,
    /// The leases that the members share. All members have the same list. [`LeaseId::MAX`] is reserved.
    pub leases: BTreeSet<LeaseId>,
    /// How long Consul rejects every request to acquire a lock after the session that held the lock has ended.
    pub lock_delay: Duration,
    /// The times and limits of the protocol.
    pub protocol: LeaseConfig,
}

/// An effect of the state machine, with the time at which the state machine returned it.
struct Request {
    effect: Effect,
    sent_at: Micros,
}

/// The leases of one forwarder. They are acquired and renewed only while [`LeaseManager::run`] is polled.
pub struct LeaseManager {
    config: ManagerConfig,
    keys: LeaseKeys,
    consul: Rc<Settings>,
    start: Instant,
    state: RefCell<LeaseStateMachine>,
    shutdown: Notify,
}

impl LeaseManager {
    /// Creates a manager for the Consul of these settings. Opens no connection yet.
    pub fn new(mut config: ManagerConfig, consul: Rc<Settings>) -> Self {
        config.leases.remove(&MEMBERSHIP);
        let keys = LeaseKeys::new(&config.key_prefix);
        let start = Instant::now();
        LeaseManager { config, keys, consul, start, state: RefCell::default(), shutdown: Notify::new() }
    }

    fn now(&self) -> Micros {
        self.start.elapsed().as_micros() as Micros
    }

    /// Returns the token to act under, or `None` if no action may start now. Callers call it right before each action.
    pub fn may_act(&self, lease: LeaseId) -> Option<FencingToken> {
        self.state.borrow().may_act(&self.config.protocol, self.now(), lease)
    }

    /// Returns the leases held, with their tokens.
    pub fn held(&self) -> BTreeMap<LeaseId, FencingToken> {
        self.state.borrow().held().filter(|(lease, _)| *lease != MEMBERSHIP).collect()
    }

    /// Starts the release of all leases. [`LeaseManager::run`] returns when they are released. If Consul does not
    /// answer, `run` waits without a time limit, so the caller has to set one.
    pub fn shut_down(&self) {
        self.shutdown.notify_one();
    }

    /// Acquires, renews and releases leases until [`LeaseManager::shut_down`] is called. If the future is dropped, no
    /// lease is released, as when the process is killed.
    pub async fn run(&self) {
        let (inputs, received_inputs) = unbounded_channel();
        let (requests, received_requests) = unbounded_channel();
        let state_and_writes = async {
            tokio::join!(
                self.run_state_machine(received_inputs, requests),
                self.carry_out_requests(received_requests, &inputs)
            )
        };
        tokio::select! {
            _ = state_and_writes => {}
            () = self.watch_locks(&inputs) => {}
        }
    }

    async fn run_state_machine(
        &self,
        mut inputs: UnboundedReceiver<Input>,
        requests: UnboundedSender<Request>,
    ) {
        let mut input = Input::Tick;
        loop {
            let now = self.now();
            let effects = self.state.borrow_mut().step(&self.config.protocol, now, input);
            for effect in effects {
                // `ReadLocks` needs no request. The blocking query of `watch_locks` is always in flight, and Consul
                // answers it as soon as a lock changes.
                if effect != Effect::ReadLocks {
                    drop(requests.send(Request { effect, sent_at: now }));
                }
            }
            if self.state.borrow().is_shut_down() {
                // Returning drops the sender, so `carry_out_requests` ends too, after the queued requests.
                return;
            }
            let next_tick = self.state.borrow().next_tick_at(&self.config.protocol);
            let next_tick = next_tick.clamp(now + MIN_SLEEP_US, now + MAX_SLEEP_US);
            tokio::select! {
                next = inputs.recv() => input = next.unwrap_or(Input::Tick),
                () = self.shutdown.notified() => input = Input::Shutdown,
                () = sleep_until(self.start + Duration::from_micros(next_tick as u64)) => input = Input::Tick,
            }
        }
    }

    async fn carry_out_requests(
        &self,
        mut requests: UnboundedReceiver<Request>,
        inputs: &UnboundedSender<Input>,
    ) {
        let mut locks = LockClient::new(self.consul.clone());
        // With this time-out, a request that is not answered leaves time for another one within the TTL.
        let request_timeout = Duration::from_micros(self.config.protocol.renewal_interval() as u64);
        while let Some(request) = requests.recv().await {
            let failure_input = input_after_failure(&request.effect);
            let input = match timeout(request_timeout, self.carry_out(&mut locks, request)).await {
                Ok(Ok(input)) => input,
                Ok(Err(error)) => {
                    log!("lease request to Consul failed: member={} error={error}", self.config.name);
                    failure_input
                }
                Err(_) => {
                    locks = LockClient::new(self.consul.clone());
                    failure_input
                }
            };
            if let Some(input) = input {
                drop(inputs.send(input));
            }
        }
    }

    /// Carries out one request. Returns the input for the state machine that follows from the answer, or `None` if
    /// there is no such input.
    async fn carry_out(&self, locks: &mut LockClient, request: Request) -> Result<Option<Input>, LockError> {
        let sent_at = request.sent_at;
        let input = match request.effect {
            Effect::CreateSession => {
                let ttl = Duration::from_micros(self.config.protocol.ttl as u64);
                let lock_delay = self.config.lock_delay;
                let session = locks
                    .create_session(&self.config.name, ttl, lock_delay, SessionBehavior::Release)
                    .await?;
                Some(Input::SessionCreated { session, sent_at })
            }
            Effect::RenewSession(session) => match locks.renew_session(&session).await? {
                true => Some(Input::SessionRenewed { session, sent_at }),
                false => Some(Input::SessionNotFound(session)),
            },
            Effect::DestroySession(session) => {
                locks.destroy_session(&session).await;
                None
            }
            Effect::Acquire { lease, session } => {
                // All keys get this value, but only that of a member's key is read.
                let value = Bytes::from(self.config.weight.to_string());
                locks.acquire(&self.key(lease), &session, value).await?;
                Some(Input::AcquireFinished(lease))
            }
            Effect::Release { lease, session } => {
                locks.release(&self.key(lease), &session).await?;
                Some(Input::Released(lease))
            }
            Effect::ReadLocks => None,
        };
        Ok(input)
    }

    fn key(&self, lease: LeaseId) -> String {
        match lease {
            MEMBERSHIP => self.keys.name(&LeaseKey::Member(self.config.name.clone())),
            lease => self.keys.name(&LeaseKey::Lease(lease)),
        }
    }

    async fn watch_locks(&self, inputs: &UnboundedSender<Input>) {
        let mut locks = LockClient::new(self.consul.clone());
        let mut index = 0;
        let folder = self.keys.folder();
        let retry_interval = Duration::from_micros(self.config.protocol.retry_interval as u64);
        loop {
            // The time is taken before the request because the data in the answer may be as old as the request.
            let sent_at = self.now();
            match locks.read_keys(&folder, index, self.consul.wait).await {
                Ok((next_index, rows)) => {
                    index = next_index;
                    let snapshot = LockSnapshot::new(&self.keys, &self.config.name, &rows);
                    let assigned = snapshot.assigned_to(&self.config.name, &self.config.leases);
                    drop(inputs.send(Input::AssignmentChanged(assigned)));
                    drop(inputs.send(Input::LocksRead { locks: snapshot.locks, sent_at }));
                }
                Err(error) => {
                    log!("cannot read the locks of leases: folder={folder} error={error}");
                    index = 0;
                    locks = LockClient::new(self.consul.clone());
                    sleep(retry_interval).await;
                }
            }
        }
    }
}

/// Returns the input for the state machine after a request that failed or was not answered in time.
fn input_after_failure(effect: &Effect) -> Option<Input> {
    match effect {
        Effect::CreateSession | Effect::RenewSession(_) => Some(Input::SessionRequestFailed),
        Effect::Acquire { lease, .. } => Some(Input::AcquireFinished(*lease)),
        Effect::Release { lease, .. } => Some(Input::ReleaseInDoubt(*lease)),
        Effect::DestroySession(_) | Effect::ReadLocks => None,
    }
}

/// The members and locks as of one read of the keys.
#[derive(Default)]
struct LockSnapshot {
    /// The weights of the members whose key is held by a session.
    weights: BTreeMap<MemberName, f64>,
    member_of_session: BTreeMap<SessionId, MemberName>,
    /// The locks of the leases, and that of the own member key as `MEMBERSHIP`.
    locks: BTreeMap<LeaseId, Lock>,
}

impl LockSnapshot {
    fn new(keys: &LeaseKeys, own_name: &str, rows: &[KeyEntry]) -> Self {
        let mut snapshot = LockSnapshot::default();
        for row in rows {
            let lock = Lock { session: row.session.clone(), modify_index: row.modify_index };
            match keys.parse(row) {
                Some(LeaseKey::Member(name)) => {
                    if name == own_name {
                        snapshot.locks.insert(MEMBERSHIP, lock);
                    }
                    if let Some(session) = &row.session {
                        snapshot.member_of_session.insert(session.clone(), name.clone());
                        snapshot.weights.insert(name, row.value_text().parse().unwrap_or(0.0));
                    }
                }
                Some(LeaseKey::Lease(lease)) => drop(snapshot.locks.insert(lease, lock)),
                None => {}
            }
        }
        snapshot
    }

    /// Returns the leases that the placement assigns to a member, and `MEMBERSHIP`.
    fn assigned_to(&self, name: &str, leases: &BTreeSet<LeaseId>) -> BTreeSet<LeaseId> {
        let mut holders = BTreeMap::new();
        for (lease, lock) in &self.locks {
            let holder = lock.session.as_ref().and_then(|session| self.member_of_session.get(session));
            if let Some(holder) = holder {
                holders.insert(*lease, holder.clone());
            }
        }
        let assignment = assign_leases(&self.weights, leases, &holders);
        let own = assignment.into_iter().filter(|(_, holder)| holder == name).map(|(lease, _)| lease);
        own.chain([MEMBERSHIP]).collect()
    }
}
