//! Runs the participant of a forwarder on Consul. It watches the commit point with one blocking query, holds the
//! forwarder's key with one session, and puts committed policies in force.

use crate::commit_point::{CommitPoint, MemberStatus};
use crate::participant::{Effect, Input, Participant};
use crate::policy::{Policy, VersionedPolicy};
use crate::settings::Settings;
use crate::staging::PolicyFiles;
use bytes::Bytes;
use orchidyoke_consul::locks::{LockClient, LockError, SessionBehavior};
use orchidyoke_core::interface::Micros;
use orchidyoke_forwarder::config::{Config, ConfigError};
use orchidyoke_forwarder::input;
use orchidyoke_forwarder::policy_overlay::PolicyOverlay;
use orchidyoke_forwarder::policy_participant::{PolicyParticipant, PolicyStatus, Task};
use orchidyoke_forwarder::reload::ConfigSource;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// How long a starting forwarder tries to read the commit point before it starts with the policy on disk.
const JOIN_TIMEOUT: Duration = Duration::from_secs(3);
/// The pause after a read or a write that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// The participant of one forwarder.
pub struct ConsulParticipant {
    settings: Settings,
    /// The forwarder's name and its process id. The process id tells the two processes apart that run during an
    /// upgrade.
    id: String,
    files: PolicyFiles,
    start: Instant,
    state: RefCell<Participant>,
    /// The session that holds the participant's key, or `None` before the registration and after the deregistration.
    session: RefCell<Option<String>>,
    /// The last status that was written to the key, or `None` before the first write.
    published: RefCell<Option<MemberStatus>>,
    /// Consul's index of the last read of the commit point. With 0, Consul answers the next read at once.
    index: Cell<u64>,
    publish: Notify,
    state_changed: Notify,
}

impl ConsulParticipant {
    /// Creates a participant of this name with its files in this folder. Opens no connection yet.
    pub fn new(settings: Settings, name: &str, folder: &Path) -> Rc<Self> {
        let files = PolicyFiles::new(folder);
        let state = Participant::new(files.read_in_force(), files.read_staged());
        Rc::new(ConsulParticipant {
            settings,
            id: format!("{name}.{}", std::process::id()),
            files,
            start: Instant::now(),
            state: RefCell::new(state),
            session: RefCell::default(),
            published: RefCell::default(),
            index: Cell::default(),
            publish: Notify::new(),
            state_changed: Notify::new(),
        })
    }

    fn now(&self) -> Micros {
        self.start.elapsed().as_micros() as Micros
    }

    /// Returns how long the participant counts as in contact after it sent a read that was answered, in microseconds.
    /// The time is shorter than a session's TTL, so that a forwarder that is cut off reports that it is not ready
    /// before the other participants may commit without it.
    fn contact_time(&self) -> Micros {
        (self.settings.ttl * 2 / 3).as_micros() as Micros
    }

    fn contact_until(&self) -> Option<Micros> {
        self.state.borrow().contact_until(self.contact_time())
    }

    fn locks(&self) -> LockClient {
        LockClient::new(Rc::new(self.settings.consul.clone()))
    }

    /// Reads the commit point once it has changed, or after `wait`. Returns the effects to carry out.
    async fn read_commit_point(
        &self,
        locks: &mut LockClient,
        wait: Duration,
    ) -> Result<Vec<Effect>, LockError> {
        let sent_at = self.now();
        let folder = self.settings.commit_point_folder();
        let (index, rows) = locks.read_keys(&folder, self.index.get(), wait).await?;
        self.index.set(index);
        let point = Box::new(CommitPoint::from_rows(&self.settings, &rows));
        Ok(self.step(Input::CommitPointRead { sent_at, point }))
    }

    fn step(&self, input: Input) -> Vec<Effect> {
        let effects = self.state.borrow_mut().step(input);
        self.state_changed.notify_one();
        effects
    }

    /// Carries out effects, and the effects that follow from their outcomes. Sends a new configuration to `inputs`,
    /// which is `None` before the forwarder has started.
    async fn carry_out(
        &self,
        source: &ConfigSource,
        inputs: Option<&UnboundedSender<input::Input>>,
        effects: Vec<Effect>,
    ) {
        let mut effects = VecDeque::from(effects);
        while let Some(effect) = effects.pop_front() {
            match effect {
                Effect::Stage(policy) => {
                    let outcome = self.stage(source, &policy).await;
                    effects.extend(self.step(Input::Staged { id: policy.id, outcome }));
                }
                Effect::Unstage => self.files.remove_staged(),
                Effect::Apply(policy) => {
                    let outcome = self.apply(source, inputs, &policy).await;
                    effects.extend(self.step(Input::Applied { id: policy.id, outcome }));
                }
                Effect::Publish(_) => self.publish.notify_one(),
            }
        }
    }

    /// Checks a proposed policy and writes it to disk as staged.
    async fn stage(&self, source: &ConfigSource, policy: &VersionedPolicy) -> Result<(), String> {
        let outcome = match self.check(source, policy).await {
            Ok(_) => self.files.write_staged(policy).map_err(|error| error.to_string()),
            Err(reason) => Err(reason),
        };
        tracing::info!(version = policy.version, id = %policy.id, proposed_by = %policy.proposed_by, ?outcome,
            "voted on a proposed policy");
        outcome
    }

    /// Puts a committed policy in force and writes it to disk.
    async fn apply(
        &self,
        source: &ConfigSource,
        inputs: Option<&UnboundedSender<input::Input>>,
        policy: &VersionedPolicy,
    ) -> Result<(), String> {
        let config = match inputs {
            // There is no await from here until the configuration is sent. Once a newer policy is known, no attempt may
            // start under the previous one.
            Some(_) => source.reread_with(overlay(policy)).map_err(|error| error.to_string()),
            None => self.check(source, policy).await,
        };
        let config = config.inspect_err(|reason| {
            tracing::error!(version = policy.version, reason, "cannot use the committed policy");
        })?;
        if let Err(error) = self.files.write_in_force(policy) {
            // The policy is in force in spite of the error. After a restart, the forwarder reads it from the commit
            // point before it is ready.
            tracing::error!(version = policy.version, %error, "cannot write the policy in force to disk");
        }
        if let Some(inputs) = inputs {
            // The receiver is dropped only when the forwarder ends.
            let _ = inputs.send(input::Input::ConfigReloaded(Box::new(config)));
        }
        tracing::info!(version = policy.version, id = %policy.id, "policy in force");
        Ok(())
    }

    /// Returns the configuration with this policy, after checking it together with all files that it refers to.
    async fn check(&self, source: &ConfigSource, policy: &VersionedPolicy) -> Result<Config, String> {
        source.load_with(overlay(policy)).await.map_err(|error| error.to_string())
    }

    async fn watch_commit_point(&self, source: &ConfigSource, inputs: &UnboundedSender<input::Input>) {
        let mut locks = self.locks();
        loop {
            match self.read_commit_point(&mut locks, self.settings.ttl / 4).await {
                Ok(effects) => self.carry_out(source, Some(inputs), effects).await,
                Err(error) => {
                    let folder = self.settings.commit_point_folder();
                    tracing::debug!(folder, %error, retry_in = ?RETRY_PAUSE, "cannot read the policy commit point");
                    self.index.set(0);
                    sleep(RETRY_PAUSE).await;
                }
            }
        }
    }

    /// Keeps the participant's key. Renews the session that holds it, and publishes the participant's status in it.
    async fn maintain_registration(&self) {
        let mut locks = self.locks();
        let key = self.settings.member_key(&self.id);
        loop {
            if let Err(error) = self.register(&mut locks, &key).await {
                tracing::debug!(key, %error, retry_in = ?RETRY_PAUSE, "cannot renew this forwarder's policy registration");
                sleep(RETRY_PAUSE).await;
                continue;
            }
            drop(timeout(self.settings.ttl / 3, self.publish.notified()).await);
        }
    }

    async fn register(&self, locks: &mut LockClient, key: &str) -> Result<(), LockError> {
        let present_session = self.session.borrow().clone();
        let mut is_new = false;
        let session = match present_session {
            Some(session) if locks.renew_session(&session).await? => session,
            _ => {
                is_new = true;
                locks
                    .create_session(&self.id, self.settings.ttl, Duration::ZERO, SessionBehavior::Delete)
                    .await?
            }
        };
        *self.session.borrow_mut() = Some(session.clone());
        let status = self.state.borrow().member_status();
        // The status is written only when it has changed, because a write, unlike a renewal, goes through the log of
        // Consul's leader.
        if !is_new && self.published.borrow().as_ref() == Some(&status) {
            return Ok(());
        }
        let value = Bytes::from(serde_json::to_vec(&status).unwrap_or_default());
        if locks.acquire(key, &session, value).await? {
            *self.published.borrow_mut() = Some(status);
        } else {
            tracing::warn!(key, "another session holds this forwarder's policy registration");
        }
        Ok(())
    }

    /// Reports the status to the forwarder whenever it changes, including when the contact with the commit point
    /// lapses.
    async fn report_status(&self, inputs: &UnboundedSender<input::Input>) {
        let mut last_status = self.status();
        loop {
            tokio::select! {
                () = self.state_changed.notified() => {}
                () = self.wait_for_contact_lapse() => {}
            }
            let status = self.status();
            if status != last_status {
                self.log_readiness(&last_status, &status);
                last_status = status.clone();
                // The receiver is dropped only when the forwarder ends.
                let _ = inputs.send(input::Input::PolicyStatus(status));
            }
        }
    }

    /// Returns when contact with the commit point lapses. If it has already lapsed, the future never completes.
    async fn wait_for_contact_lapse(&self) {
        match self.contact_until().filter(|until| *until > self.now()) {
            Some(until) => sleep_until(self.start + Duration::from_micros(until as u64)).await,
            None => std::future::pending().await,
        }
    }

    fn log_readiness(&self, before: &PolicyStatus, after: &PolicyStatus) {
        match (&before.unready_reason, &after.unready_reason) {
            (before, Some(reason)) if before.as_ref() != Some(reason) => {
                tracing::warn!(reason, "forwarder is not ready for the fleet's policy");
            }
            (Some(_), None) => {
                tracing::info!(version = self.version(), "in contact with the policy commit point");
            }
            _ => {}
        }
    }
}

fn overlay(policy: &VersionedPolicy) -> impl Fn(&str) -> Result<String, ConfigError> + '_ {
    |configuration| {
        let policy = Policy::parse(&policy.text).map_err(ConfigError::extension)?;
        policy.apply_to(configuration).map_err(ConfigError::extension)
    }
}

impl PolicyOverlay for ConsulParticipant {
    fn apply(&self, configuration: &str) -> Result<String, ConfigError> {
        match self.state.borrow().in_force() {
            Some(policy) => overlay(policy)(configuration),
            None => Ok(configuration.to_owned()),
        }
    }

    fn version(&self) -> u64 {
        self.state.borrow().version()
    }
}

impl PolicyParticipant for ConsulParticipant {
    fn join<'a>(&'a self, source: &'a ConfigSource) -> Task<'a> {
        Box::pin(async move {
            let mut locks = self.locks();
            let read = async {
                loop {
                    match self.read_commit_point(&mut locks, Duration::ZERO).await {
                        Ok(effects) => return effects,
                        Err(_) => sleep(RETRY_PAUSE).await,
                    }
                }
            };
            match timeout(JOIN_TIMEOUT, read).await {
                Ok(effects) => self.carry_out(source, None, effects).await,
                Err(_) => {
                    let version = self.version();
                    tracing::warn!(version, timeout = ?JOIN_TIMEOUT,
                        "cannot read the policy commit point, starting with the policy on disk");
                }
            }
        })
    }

    fn status(&self) -> PolicyStatus {
        let state = self.state.borrow();
        let unready_reason = state.unready_reason(self.now(), self.contact_time());
        let has_contact = self.contact_until().is_some_and(|until| self.now() < until);
        let is_unusable = state.member_status().unusable_reason.is_some();
        let metrics = format!(
            "app_policy_epoch {}\napp_policy_contact {}\napp_policy_refused {}\n",
            state.version(),
            u8::from(has_contact),
            u8::from(is_unusable)
        );
        PolicyStatus { unready_reason, metrics }
    }

    fn follow(
        self: Rc<Self>,
        source: Rc<ConfigSource>,
        inputs: UnboundedSender<input::Input>,
    ) -> Task<'static> {
        Box::pin(async move {
            tokio::join!(
                self.watch_commit_point(&source, &inputs),
                self.maintain_registration(),
                self.report_status(&inputs)
            );
        })
    }

    fn deregister(&self) -> Task<'_> {
        Box::pin(async {
            let session = self.session.borrow_mut().take();
            if let Some(session) = session {
                self.locks().destroy_session(&session).await;
            }
        })
    }
}
