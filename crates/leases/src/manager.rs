//! A forwarder's leases on Consul: carries out what [`Leases`] asks for, and tells it what came of it.
//!
//! Below a prefix there are two folders: `members/NAME`, held by each forwarder's session, and `duties/NUMBER`. To the
//! leases a forwarder's place among the members is one more lock, that placement always gives to it. One blocking
//! query on both tells who is there and who holds what; placement and leases go by that.

use crate::state_machine::{Effect, Input, Leases, Lock, Terms};
use crate::placement::{Name, place};
use crate::{Duty, Token};
use bytes::Bytes;
use orchidyoke_consul::Settings;
use orchidyoke_consul::locks::{Behavior, LockError, Locks, Row};
use orchidyoke_core::interface::Micros;
use orchidyoke_forwarder::log;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// The place among the members, where the leases have duties.
const MEMBERSHIP: Duty = Duty::MAX;

/// What a forwarder brings along.
#[derive(Clone, Debug)]
pub struct Member {
    /// Its name, the only one below the prefix, and the same over its restarts.
    pub name: Name,
    /// Its weight among the others.
    pub weight: f64,
    /// Where the keys are, without a slash at its end.
    pub prefix: String,
    /// The duties that are shared, the same for all members; the highest number is none.
    pub duties: BTreeSet<Duty>,
    /// How long a lock stays closed after its session has ended.
    pub lock_delay: Duration,
    /// What the leases go by.
    pub terms: Terms,
}

/// The leases of one forwarder, for as long as [`Keeper::run`] is polled.
pub struct Keeper {
    member: Member,
    settings: Rc<Settings>,
    start: Instant,
    leases: RefCell<Leases>,
    leaving: Notify,
}

impl Keeper {
    /// For the Consul of these settings. Nothing is opened yet.
    pub fn new(mut member: Member, settings: Rc<Settings>) -> Self {
        member.duties.remove(&MEMBERSHIP);
        let (leases, leaving) = (RefCell::default(), Notify::new());
        Keeper { member, settings, start: Instant::now(), leases, leaving }
    }

    fn now(&self) -> Micros {
        self.start.elapsed().as_micros() as Micros
    }

    /// The token to act under, if an act may begin now. To be asked right before each.
    pub fn may_act(&self, duty: Duty) -> Option<Token> {
        self.leases.borrow().may_act(&self.member.terms, self.now(), duty)
    }

    /// The duties held, with their tokens.
    pub fn held(&self) -> BTreeMap<Duty, Token> {
        self.leases.borrow().held().filter(|(duty, _)| *duty != MEMBERSHIP).collect()
    }

    /// Gives all back; [`Keeper::run`] ends when that is done. A store that does not answer can make it long: whoever
    /// stops waits no longer than it has.
    pub fn leave(&self) {
        self.leaving.notify_one();
    }

    /// Keeps them until it has left. Dropped, it stops without a word, as a process does that is killed.
    pub async fn run(&self) {
        let (inputs, heard) = unbounded_channel();
        let (effects, asked) = unbounded_channel();
        let kept = async { tokio::join!(self.step(heard, effects), self.write(asked, &inputs)) };
        tokio::select! {
            _ = kept => {}
            () = self.watch(&inputs) => {}
        }
    }

    async fn step(&self, mut heard: UnboundedReceiver<Input>, effects: UnboundedSender<(Effect, Micros)>) {
        let mut input = Some(Input::Tick);
        loop {
            let now = self.now();
            let (asked, wake) = {
                let mut leases = self.leases.borrow_mut();
                let asked = leases.step(&self.member.terms, now, input.take().unwrap_or(Input::Tick));
                (asked, leases.wake_at(&self.member.terms))
            };
            for effect in asked {
                match effect {
                    // One is always under way: it is answered as soon as anything has changed.
                    Effect::Look => {}
                    effect => drop(effects.send((effect, now))),
                }
            }
            if self.leases.borrow().has_left() {
                // What is asked for is still carried out, and then the writing ends too.
                return;
            }
            let wake = self.start + Duration::from_micros(wake.clamp(now + 1000, now + 3_600_000_000) as u64);
            tokio::select! {
                next = heard.recv() => input = next,
                () = self.leaving.notified() => input = Some(Input::Leave),
                () = sleep_until(wake) => {}
            }
        }
    }

    async fn write(&self, mut asked: UnboundedReceiver<(Effect, Micros)>, inputs: &UnboundedSender<Input>) {
        let mut locks = Locks::new(self.settings.clone());
        let member = &self.member;
        let key = |duty| match duty {
            MEMBERSHIP => format!("{}/members/{}", member.prefix, member.name),
            duty => format!("{}/duties/{duty}", member.prefix),
        };
        // Three questions for a renewal in a TTL, so one that is not answered leaves time for another.
        let patience = Duration::from_micros(member.terms.ttl as u64 / 3);
        while let Some((effect, at)) = asked.recv().await {
            let late = matches!(effect, Effect::Create | Effect::Renew(_)).then_some(Input::Unheard);
            let lost = match &effect {
                Effect::Acquire(duty, _) => Some(Input::Asked(*duty)),
                Effect::Release(duty, _) => Some(Input::Unsure(*duty)),
                _ => late,
            };
            let answer = timeout(patience, async {
                Ok::<_, LockError>(match effect {
                    Effect::Create => {
                        let ttl = Duration::from_micros(member.terms.ttl as u64);
                        let id =
                            locks.create(&member.name, ttl, member.lock_delay, Behavior::Release).await?;
                        Some(Input::Created(id, at))
                    }
                    Effect::Renew(id) => match locks.renew(&id).await? {
                        true => Some(Input::Renewed(id, at)),
                        false => Some(Input::Gone(id)),
                    },
                    Effect::Destroy(id) => {
                        locks.destroy(&id).await;
                        None
                    }
                    Effect::Acquire(duty, id) => {
                        // Only a member's has a use; who holds a duty is its session's matter.
                        locks.acquire(&key(duty), &id, Bytes::from(member.weight.to_string())).await?;
                        Some(Input::Asked(duty))
                    }
                    Effect::Release(duty, id) => {
                        locks.release(&key(duty), &id).await?;
                        Some(Input::Released(duty))
                    }
                    Effect::Look => None,
                })
            });
            let input = match answer.await {
                Ok(Ok(input)) => input,
                Ok(Err(error)) => {
                    log!("duties: {error}");
                    lost
                }
                Err(_) => {
                    locks = Locks::new(self.settings.clone());
                    lost
                }
            };
            input.into_iter().for_each(|input| drop(inputs.send(input)));
        }
    }

    async fn watch(&self, inputs: &UnboundedSender<Input>) {
        let mut locks = Locks::new(self.settings.clone());
        let (mut index, prefix) = (0, format!("{}/", self.member.prefix));
        let pause = Duration::from_micros(self.member.terms.retry as u64);
        loop {
            // What waited may be no newer than its question, for all that is known here.
            let asked = self.now();
            match locks.look(&prefix, index, self.settings.wait).await {
                Ok((at, rows)) => {
                    index = at;
                    let (placed, seen) = self.picture(&rows);
                    drop(inputs.send(Input::Placed(placed)));
                    drop(inputs.send(Input::Seen(seen, asked)));
                }
                Err(error) => {
                    log!("duties: the locks cannot be read: {error}");
                    (index, locks) = (0, Locks::new(self.settings.clone()));
                    sleep(pause).await;
                }
            }
        }
    }

    /// What placement gives this member, and the locks of all duties.
    fn picture(&self, rows: &[Row]) -> (BTreeSet<Duty>, BTreeMap<Duty, Lock>) {
        let (mut members, mut names, mut locks) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        for row in rows {
            let lock = || Lock { session: row.session.clone(), index: row.modify_index };
            let below = row.key.strip_prefix(&self.member.prefix).and_then(|rest| rest.strip_prefix('/'));
            match below.and_then(|below| below.split_once('/')) {
                Some(("members", name)) => {
                    if name == self.member.name {
                        locks.insert(MEMBERSHIP, lock());
                    }
                    if let Some(session) = &row.session {
                        names.insert(session.clone(), name.to_owned());
                        members.insert(name.to_owned(), row.text().parse().unwrap_or(0.0));
                    }
                }
                Some(("duties", duty)) => {
                    if let Ok(duty) = duty.parse() {
                        locks.insert(duty, lock());
                    }
                }
                _ => {}
            }
        }
        let owner = |lock: &Lock| lock.session.as_ref().and_then(|session| names.get(session)).cloned();
        let held = locks.iter().filter_map(|(duty, lock)| Some((*duty, owner(lock)?))).collect();
        let placed = place(&members, &self.member.duties, &held);
        let mine = placed.into_iter().filter(|(_, name)| *name == self.member.name).map(|(duty, _)| duty);
        (mine.chain([MEMBERSHIP]).collect(), locks)
    }
}
