//! The agent on Consul, inside a forwarder: one blocking query on the commit point, one session with the forwarder's key,
//! and the policy in force and the staged one as files of the forwarder's folder.

use crate::agent::{Agent, Effect, Input};
use crate::commit_point::{self, NumberedPolicy, Point, Policy, Settings};
use bytes::Bytes;
use orchidyoke_consul::locks::{Behavior, LockError, Locks};
use orchidyoke_core::interface::Micros;
use orchidyoke_forwarder::config::{Config, ConfigError};
use orchidyoke_forwarder::input;
use orchidyoke_forwarder::policy_agent::{PolicyAgent, PolicyStatus, Task};
use orchidyoke_forwarder::policy_overlay::PolicyOverlay;
use orchidyoke_forwarder::reload::ConfigSource;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// How long a start waits for the commit point before it serves by what it holds.
const JOIN_TIMEOUT: Duration = Duration::from_secs(3);
/// Pause after a look or a write that came to nothing.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// A forwarder's part in the fleet's policy.
pub struct Follower {
    settings: Settings,
    /// Its name and the number of its process: an upgrade has two.
    id: String,
    folder: PathBuf,
    start: Instant,
    agent: RefCell<Agent>,
    /// The session with its key.
    session: RefCell<Option<String>>,
    /// What its key says, as far as it is known.
    published: RefCell<Option<commit_point::MemberStatus>>,
    index: Cell<u64>,
    /// Its status has changed: for the fleet, and for this process.
    republish: Notify,
    changed: Notify,
}

/// What keeps a file from being read or written.
fn file(path: &Path) -> impl Fn(std::io::Error) -> String + '_ {
    move |error| format!("{}: {error}", path.display())
}

impl Follower {
    /// One that keeps its files in this folder, under this name. Nothing is opened yet.
    pub fn new(settings: Settings, name: &str, folder: &Path) -> Rc<Self> {
        let folder = folder.to_owned();
        let read_file = |name: &str| -> Option<NumberedPolicy> {
            let text = std::fs::read(folder.join(name)).ok()?;
            serde_json::from_slice(&text).ok().filter(NumberedPolicy::is_whole)
        };
        let agent = Agent::new(read_file(IN_FORCE_FILE), read_file(STAGED_FILE));
        let id = format!("{name}.{}", std::process::id());
        Rc::new(Follower {
            settings,
            id,
            folder,
            start: Instant::now(),
            agent: RefCell::new(agent),
            session: RefCell::default(),
            published: RefCell::default(),
            index: Cell::default(),
            republish: Notify::new(),
            changed: Notify::new(),
        })
    }

    fn now(&self) -> Micros {
        self.start.elapsed().as_micros() as Micros
    }

    /// How long a look counts: less than the store takes to give up a forwarder that it does not hear of.
    fn contact_time(&self) -> Micros {
        (self.settings.ttl * 2 / 3).as_micros() as Micros
    }

    fn locks(&self) -> Locks {
        Locks::new(Rc::new(self.settings.consul.clone()))
    }

    fn write_file(&self, name: &str, numbered: &NumberedPolicy) -> Result<(), String> {
        let path = self.folder.join(name);
        let beside = path.with_extension("new");
        let write = || -> std::io::Result<()> {
            let mut file = std::fs::File::create(&beside)?;
            file.write_all(&serde_json::to_vec(numbered)?)?;
            file.sync_all()?;
            std::fs::rename(&beside, &path)
        };
        write().map_err(file(&path))
    }

    /// One look; what the agent asks for then.
    async fn look(&self, locks: &mut Locks, wait: Duration) -> Result<Vec<Effect>, LockError> {
        let sent = self.now();
        let (index, rows) = locks.look(&self.settings.epoch(), self.index.get(), wait).await?;
        self.index.set(index);
        Ok(self.step(Input::Looked(sent, Box::new(Point::read(&self.settings, &rows)))))
    }

    fn step(&self, input: Input) -> Vec<Effect> {
        let effects = self.agent.borrow_mut().step(input);
        self.changed.notify_one();
        effects
    }

    /// Carries out what the agent asks for. A new configuration goes to `inputs`; before the start there are none.
    async fn carry_out(
        &self,
        source: &ConfigSource,
        inputs: Option<&UnboundedSender<input::Input>>,
        effects: Vec<Effect>,
    ) {
        let mut effects = VecDeque::from(effects);
        while let Some(effect) = effects.pop_front() {
            let more = match effect {
                Effect::Stage(numbered) => {
                    let checked = self.check(source, &numbered).await.map(drop);
                    let outcome = checked.and_then(|()| self.write_file(STAGED_FILE, &numbered));
                    tracing::info!(epoch = numbered.epoch, id = %numbered.id, by = %numbered.by, ?outcome,
                        "policy proposed");
                    self.step(Input::Staged(numbered.id, outcome))
                }
                Effect::Unstage => {
                    drop(std::fs::remove_file(self.folder.join(STAGED_FILE)));
                    Vec::new()
                }
                Effect::Apply(numbered) => {
                    let config = match inputs {
                        // From here to the configuration's way to the forwarder nothing is waited for: no attempt begins
                        // by the policy before, once it is known that there is another.
                        Some(_) => source.reread_with(overlay(&numbered)).map_err(|error| error.to_string()),
                        None => self.check(source, &numbered).await,
                    };
                    if config.is_ok()
                        && let Err(why) = self.write_file(IN_FORCE_FILE, &numbered)
                    {
                        // It holds all the same; a start without it learns of it before it is ready.
                        tracing::error!(why, "policy epoch not kept");
                    }
                    let outcome = config.map(|config| {
                        if let Some(inputs) = inputs {
                            // The receiver is gone only when the forwarder ends.
                            let _ = inputs.send(input::Input::ConfigReloaded(Box::new(config)));
                        }
                    });
                    match &outcome {
                        Ok(()) => {
                            tracing::info!(epoch = numbered.epoch, id = %numbered.id, "policy epoch in force")
                        }
                        Err(why) => {
                            tracing::error!(epoch = numbered.epoch, why, "policy epoch cannot be used here")
                        }
                    }
                    self.step(Input::Applied(numbered.id, outcome))
                }
                Effect::Tell(_) => {
                    self.republish.notify_one();
                    Vec::new()
                }
            };
            effects.extend(more);
        }
    }

    /// The configuration with this policy, checked whole.
    async fn check(&self, source: &ConfigSource, numbered: &NumberedPolicy) -> Result<Config, String> {
        source.load_with(overlay(numbered)).await.map_err(|error| error.to_string())
    }

    async fn watch(&self, source: &ConfigSource, inputs: &UnboundedSender<input::Input>) {
        let mut locks = self.locks();
        loop {
            match self.look(&mut locks, self.settings.ttl / 4).await {
                Ok(effects) => self.carry_out(source, Some(inputs), effects).await,
                Err(error) => {
                    tracing::debug!(%error, "commit point not seen");
                    // Whatever it was, the next look is answered at once.
                    self.index.set(0);
                    sleep(RETRY_PAUSE).await;
                }
            }
        }
    }

    /// Keeps its key: with a session that is renewed, and what it says of itself.
    async fn keep_registered(&self) {
        let mut locks = self.locks();
        let key = format!("{}{}", self.settings.members(), self.id);
        loop {
            if let Err(error) = self.renew(&mut locks, &key).await {
                tracing::debug!(%error, "key among the members not kept");
                sleep(RETRY_PAUSE).await;
                continue;
            }
            drop(timeout(self.settings.ttl / 3, self.republish.notified()).await);
        }
    }

    async fn renew(&self, locks: &mut Locks, key: &str) -> Result<(), LockError> {
        let known = self.session.borrow().clone();
        let (session, fresh) = match known {
            Some(session) if locks.renew(&session).await? => (session, false),
            _ => (locks.create(&self.id, self.settings.ttl, Duration::ZERO, Behavior::Delete).await?, true),
        };
        *self.session.borrow_mut() = Some(session.clone());
        let status = self.agent.borrow().member_status();
        // A renewal costs Consul's leader next to nothing, a write goes through its log.
        if !fresh && self.published.borrow().as_ref() == Some(&status) {
            return Ok(());
        }
        let value = Bytes::from(serde_json::to_vec(&status).unwrap_or_default());
        if locks.acquire(key, &session, value).await? {
            *self.published.borrow_mut() = Some(status);
        } else {
            tracing::warn!(key, "another session holds this forwarder's key");
        }
        Ok(())
    }

    /// Tells the forwarder how it stands, whenever that changes, by the clock too.
    async fn report_status(&self, inputs: &UnboundedSender<input::Input>) {
        let mut last = self.status();
        loop {
            let until =
                self.agent.borrow().contact_until(self.contact_time()).filter(|until| *until > self.now());
            let lapse = async {
                match until {
                    Some(until) => sleep_until(self.start + Duration::from_micros(until as u64)).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                () = self.changed.notified() => {}
                () = lapse => {}
            }
            let status = self.status();
            if status != last {
                match (&status.unready_reason, &last.unready_reason) {
                    (Some(why), before) if Some(why) != before.as_ref() => {
                        tracing::warn!(why, "fleet policy")
                    }
                    (None, Some(_)) => {
                        tracing::info!(
                            epoch = self.version(),
                            "fleet policy: in contact with the commit point"
                        );
                    }
                    _ => {}
                }
                last = status.clone();
                // The receiver is gone only when the forwarder ends.
                let _ = inputs.send(input::Input::PolicyStatus(status));
            }
        }
    }
}

/// The policy in force, and the one that is staged, in the forwarder's folder.
const IN_FORCE_FILE: &str = "policy-held.json";
const STAGED_FILE: &str = "policy-staged.json";

fn overlay(numbered: &NumberedPolicy) -> impl Fn(&str) -> Result<String, ConfigError> + '_ {
    |text| {
        Policy::read(&numbered.policy)
            .and_then(|policy| policy.lay_over(text))
            .map_err(ConfigError::extension)
    }
}

impl PolicyOverlay for Follower {
    fn apply(&self, configuration: &str) -> Result<String, ConfigError> {
        self.agent
            .borrow()
            .in_force()
            .map_or(Ok(configuration.to_owned()), |policy| overlay(policy)(configuration))
    }

    fn version(&self) -> u64 {
        self.agent.borrow().epoch()
    }
}

impl PolicyAgent for Follower {
    fn join<'a>(&'a self, source: &'a ConfigSource) -> Task<'a> {
        Box::pin(async move {
            let mut locks = self.locks();
            let look = async {
                loop {
                    match self.look(&mut locks, Duration::ZERO).await {
                        Ok(effects) => return effects,
                        Err(_) => sleep(RETRY_PAUSE).await,
                    }
                }
            };
            match timeout(JOIN_TIMEOUT, look).await {
                Ok(effects) => self.carry_out(source, None, effects).await,
                Err(_) => {
                    let epoch = self.version();
                    tracing::warn!(
                        epoch,
                        "commit point not reached: starts by the policy epoch last in force"
                    );
                }
            }
        })
    }

    fn status(&self) -> PolicyStatus {
        let agent = self.agent.borrow();
        let unready_reason = agent.unready_reason(self.now(), self.contact_time());
        let contact = agent.contact_until(self.contact_time()).is_some_and(|until| self.now() < until);
        let refused = agent.member_status().refuses.is_some();
        let figures = format!(
            "app_policy_epoch {}\napp_policy_contact {}\napp_policy_refused {}\n",
            agent.epoch(),
            u8::from(contact),
            u8::from(refused)
        );
        PolicyStatus { unready_reason, figures }
    }

    fn follow(
        self: Rc<Self>,
        source: Rc<ConfigSource>,
        inputs: UnboundedSender<input::Input>,
    ) -> Task<'static> {
        Box::pin(async move {
            tokio::join!(self.watch(&source, &inputs), self.keep_registered(), self.report_status(&inputs));
        })
    }

    fn leave(&self) -> Task<'_> {
        Box::pin(async {
            let session = self.session.borrow_mut().take();
            if let Some(session) = session {
                self.locks().destroy(&session).await;
            }
        })
    }
}
