//! Model checking of the lease protocol. The members run the real state machine against a store that gives only the
//! guarantees that the protocol requires. The check covers every order of answers, losses, crashes, suspensions and
//! expiries within the bounds. The check guards against two members that may act under one lease at the same time, and
//! against a result of an earlier holder that is accepted after one of a later holder.

use orchidyoke_core::interface::Micros;
use orchidyoke_leases::fencing::FencingGuard;
use orchidyoke_leases::state_machine::{Effect, Input, LeaseStateMachine, Lock, SessionId};
use orchidyoke_leases::{FencingToken, LeaseConfig, LeaseId};
use stateright::{Checker, HasDiscoveries, Model, Property};
use std::collections::{BTreeMap, BTreeSet};

/// The TTL of sessions, in units of the store's clock. The lock-delay is 0, because safety must not depend on it.
const TTL: Micros = 3;
const LOCK_DELAY: Micros = 0;

/// The part of the protocol that is disabled. The check must then find a violation of the property that the part
/// protects.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Mutant {
    None,
    /// The receiver accepts results whatever their token.
    NoFencing,
    /// A holder assumes that all clocks run at the same rate.
    NoClockDrift,
    /// A lease is valid from the time of the answer to its renewal, instead of from the time at which the renewal was
    /// sent.
    ValidFromAnswer,
}

struct Bounds {
    members: usize,
    leases: LeaseId,
    /// The last time of the store's clock.
    last_time: Micros,
    /// How many requests and answers may be lost.
    losses: u8,
    crashes: u8,
    /// How many actions may end late because their member is suspended in the middle.
    suspensions: u8,
    mutant: Mutant,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Member {
    state: LeaseStateMachine,
    /// The requests on their way to the store, each with the time at which it was sent, on the member's own clock.
    /// Reads of the locks are not among them, because they may happen at any time.
    requests: Vec<(Effect, Micros)>,
    /// The answers about the session. Answers about locks are left out, because a read of the locks gives the same
    /// information.
    answers: Vec<Input>,
    /// The action in the middle of which the member was suspended.
    suspended: Option<(LeaseId, FencingToken)>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    /// The time on the store's clock.
    clock: Micros,
    members: Vec<Member>,
    /// The time of each session's last renewal, on the store's clock.
    sessions: BTreeMap<SessionId, Micros>,
    locks: BTreeMap<LeaseId, Lock>,
    lock_delay_until: BTreeMap<LeaseId, Micros>,
    /// The modify index of the store's last change of a lock.
    index: FencingToken,
    sessions_created: u32,
    guard: FencingGuard,
    /// The highest token under which a result was accepted, for each lease.
    highest_tokens: BTreeMap<LeaseId, FencingToken>,
    /// The members of which a result was accepted, with the lease of that result.
    holders: BTreeSet<(LeaseId, usize)>,
    /// Whether a result of an earlier holder was accepted after one of a later holder.
    fencing_violated: bool,
    /// How many more requests and answers may be lost.
    losses: u8,
    /// How many more crashes may happen.
    crashes: u8,
    /// How many more suspensions may happen.
    suspensions: u8,
}

/// A step of the model. A `usize` is the number of a member.
#[derive(Clone, Debug, PartialEq)]
enum Step {
    Tick,
    Wake(usize),
    Serve(usize),
    LoseRequest(usize),
    Receive(usize),
    LoseAnswer(usize),
    Expire(SessionId),
    ReadLocks(usize),
    Act(usize, LeaseId),
    Suspend(usize, LeaseId),
    Resume(usize),
    Crash(usize),
}

/// Returns the input of a member whose request is not answered in time.
fn input_after_failure(effect: &Effect) -> Option<Input> {
    match effect {
        Effect::CreateSession | Effect::RenewSession(_) => Some(Input::SessionRequestFailed),
        Effect::Acquire { lease, .. } => Some(Input::AcquireFinished(*lease)),
        Effect::Release { lease, .. } => Some(Input::ReleaseInDoubt(*lease)),
        Effect::DestroySession(_) | Effect::ReadLocks => None,
    }
}

impl Bounds {
    fn config(&self) -> LeaseConfig {
        let clock_drift = if self.mutant == Mutant::NoClockDrift { 0.0 } else { 1.0 / 2.0 };
        LeaseConfig {
            ttl: TTL,
            clock_drift,
            max_action_time: 0,
            retry_interval: 1,
            max_concurrent_acquires: 2,
        }
    }

    /// Returns the time on a member's own clock. The first member's clock runs at two thirds of the rate of the others'
    /// clocks, so their rate is higher than its rate by a half.
    fn local_time(&self, member: usize, clock: Micros) -> Micros {
        if member == 0 { clock * 2 / 3 } else { clock }
    }

    fn may_act(&self, world: &World, member: usize, lease: LeaseId) -> Option<FencingToken> {
        world.members[member].state.may_act(&self.config(), self.local_time(member, world.clock), lease)
    }

    /// Delivers an answer. Answers about locks are received at once, those about the session at any later time.
    fn answer(&self, world: &mut World, member: usize, answer: Option<Input>) {
        match answer {
            Some(Input::AcquireFinished(_) | Input::Released(_) | Input::ReleaseInDoubt(_)) => {
                answer.into_iter().for_each(|input| self.step(world, member, input));
            }
            answer => world.members[member].answers.extend(answer),
        }
    }

    fn step(&self, world: &mut World, member: usize, input: Input) {
        let now = self.local_time(member, world.clock);
        let input = match (self.mutant, input) {
            (Mutant::ValidFromAnswer, Input::SessionCreated { session, .. }) => {
                Input::SessionCreated { session, sent_at: now }
            }
            (Mutant::ValidFromAnswer, Input::SessionRenewed { session, .. }) => {
                Input::SessionRenewed { session, sent_at: now }
            }
            (_, input) => input,
        };
        let effects = world.members[member].state.step(&self.config(), now, input);
        for effect in effects {
            if effect != Effect::ReadLocks {
                world.members[member].requests.push((effect, now));
            }
        }
    }
}

impl World {
    fn end_session(&mut self, session: &SessionId) {
        self.sessions.remove(session);
        for (lease, lock) in self.locks.iter_mut().filter(|(_, lock)| lock.session.as_ref() == Some(session))
        {
            self.index += 1;
            *lock = Lock { session: None, modify_index: self.index };
            self.lock_delay_until.insert(*lease, self.clock + LOCK_DELAY);
        }
    }

    /// Passes the result of an action to its receiver.
    fn receive_result(&mut self, mutant: Mutant, member: usize, lease: LeaseId, token: FencingToken) {
        if self.guard.accept(lease, token) || mutant == Mutant::NoFencing {
            let highest_token = self.highest_tokens.entry(lease).or_insert(token);
            self.fencing_violated |= token < *highest_token;
            *highest_token = token.max(*highest_token);
            self.holders.insert((lease, member));
        }
    }

    /// Carries out a request in the store. Returns the answer, or `None` if the member does not wait for one.
    fn serve(&mut self, effect: Effect, sent_at: Micros) -> Option<Input> {
        Some(match effect {
            Effect::CreateSession => {
                self.sessions_created += 1;
                let id = format!("s{}", self.sessions_created);
                self.sessions.insert(id.clone(), self.clock);
                Input::SessionCreated { session: id, sent_at }
            }
            Effect::RenewSession(id) => match self.sessions.get_mut(&id) {
                Some(renewed_at) => {
                    *renewed_at = self.clock;
                    Input::SessionRenewed { session: id, sent_at }
                }
                None => Input::SessionNotFound(id),
            },
            Effect::DestroySession(id) => {
                self.end_session(&id);
                return None;
            }
            Effect::Acquire { lease, session: id } => {
                let is_unheld = self.locks.get(&lease).is_none_or(|lock| lock.session.is_none());
                let is_past_lock_delay =
                    self.lock_delay_until.get(&lease).is_none_or(|until| self.clock >= *until);
                if is_unheld && is_past_lock_delay && self.sessions.contains_key(&id) {
                    self.index += 1;
                    self.locks.insert(lease, Lock { session: Some(id), modify_index: self.index });
                }
                Input::AcquireFinished(lease)
            }
            Effect::Release { lease, session: id } => {
                let lock = self.locks.entry(lease).or_insert(Lock { session: None, modify_index: 0 });
                if lock.session == Some(id) {
                    self.index += 1;
                    *lock = Lock { session: None, modify_index: self.index };
                }
                Input::Released(lease)
            }
            Effect::ReadLocks => return None,
        })
    }
}

impl Model for Bounds {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let member = Member::default();
        let locks = (0..self.leases).map(|lease| (lease, Lock { session: None, modify_index: 0 }));
        let mut world = World {
            clock: 0,
            members: vec![member; self.members],
            sessions: BTreeMap::new(),
            locks: locks.collect(),
            lock_delay_until: BTreeMap::new(),
            index: 0,
            sessions_created: 0,
            guard: FencingGuard::default(),
            highest_tokens: BTreeMap::new(),
            holders: BTreeSet::new(),
            fencing_violated: false,
            losses: self.losses,
            crashes: self.crashes,
            suspensions: self.suspensions,
        };
        for member in 0..self.members {
            // Each member is assigned all leases, because safety must not depend on the placement.
            self.step(&mut world, member, Input::AssignmentChanged((0..self.leases).collect()));
        }
        vec![world]
    }

    fn actions(&self, world: &World, steps: &mut Vec<Step>) {
        if world.clock < self.last_time {
            steps.push(Step::Tick);
        }
        for (number, member) in world.members.iter().enumerate() {
            if member.state.next_tick_at(&self.config()) <= self.local_time(number, world.clock) {
                steps.push(Step::Wake(number));
            }
            if !member.requests.is_empty() {
                steps.push(Step::Serve(number));
            }
            if !member.answers.is_empty() {
                steps.push(Step::Receive(number));
            }
            if world.losses > 0 {
                steps.extend((!member.requests.is_empty()).then_some(Step::LoseRequest(number)));
                steps.extend((!member.answers.is_empty()).then_some(Step::LoseAnswer(number)));
            }
            if world.crashes > 0 {
                steps.push(Step::Crash(number));
            }
            if member.state.session().is_some() {
                steps.push(Step::ReadLocks(number));
            }
            if member.suspended.is_some() {
                steps.push(Step::Resume(number));
                continue;
            }
            for lease in (0..self.leases).filter(|lease| self.may_act(world, number, *lease).is_some()) {
                steps.push(Step::Act(number, lease));
                steps.extend((world.suspensions > 0).then_some(Step::Suspend(number, lease)));
            }
        }
        let expired = world.sessions.iter().filter(|(_, renewed_at)| world.clock >= *renewed_at + TTL);
        steps.extend(expired.map(|(id, _)| Step::Expire(id.clone())));
    }

    fn next_state(&self, world: &World, step: Step) -> Option<World> {
        let mut next = world.clone();
        match step {
            Step::Tick => next.clock += 1,
            Step::Wake(member) => self.step(&mut next, member, Input::Tick),
            Step::Serve(member) => {
                let (effect, sent_at) = next.members[member].requests.remove(0);
                let answer = next.serve(effect, sent_at);
                self.answer(&mut next, member, answer);
            }
            Step::LoseRequest(member) => {
                next.losses -= 1;
                let (effect, _) = next.members[member].requests.remove(0);
                self.answer(&mut next, member, input_after_failure(&effect));
            }
            Step::Receive(member) => {
                let answer = next.members[member].answers.remove(0);
                self.step(&mut next, member, answer);
            }
            Step::LoseAnswer(member) => {
                next.losses -= 1;
                next.members[member].answers.remove(0);
                self.step(&mut next, member, Input::SessionRequestFailed);
            }
            Step::Expire(id) => next.end_session(&id),
            Step::ReadLocks(member) => {
                // All reads have the same time, because the time of a read does not matter. Each read is received at
                // once, and no member requests the release of a lock, because all leases stay assigned to each member.
                let read = Input::LocksRead { locks: next.locks.clone(), sent_at: 0 };
                self.step(&mut next, member, read);
            }
            Step::Act(member, lease) => {
                let token = self.may_act(world, member, lease)?;
                next.receive_result(self.mutant, member, lease, token);
            }
            Step::Suspend(member, lease) => {
                next.suspensions -= 1;
                next.members[member].suspended = Some((lease, self.may_act(world, member, lease)?));
            }
            Step::Resume(member) => {
                let (lease, token) = next.members[member].suspended.take()?;
                next.receive_result(self.mutant, member, lease, token);
            }
            Step::Crash(member) => {
                next.crashes -= 1;
                next.members[member] = Member::default();
                self.step(&mut next, member, Input::AssignmentChanged((0..self.leases).collect()));
            }
        }
        (next != *world).then_some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::<Self>::always("one holder at a time", |model, world| {
                (0..model.leases).all(|lease| {
                    (0..model.members).filter(|member| model.may_act(world, *member, lease).is_some()).count()
                        <= 1
                })
            }),
            Property::<Self>::always(
                "no result of an earlier holder is accepted after one of a later holder",
                |_, world| !world.fencing_violated,
            ),
            Property::<Self>::sometimes("a lease passes from one member to another", |_, world| {
                let holders = |lease| world.holders.iter().filter(|(other, _)| *other == lease).count();
                world.highest_tokens.keys().any(|lease| holders(*lease) > 1)
            }),
        ]
    }
}

fn check(bounds: Bounds) -> impl Checker<Bounds> {
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    bounds.checker().threads(threads).finish_when(HasDiscoveries::AnyFailures).spawn_dfs().join()
}

/// Fails if a state within the bounds violates a property. Prints the number of states.
fn assert_holds(label: &str, bounds: Bounds) {
    let checked = check(bounds);
    println!("{label}: {} states, longest path: {} steps", checked.unique_state_count(), checked.max_depth());
    checked.assert_properties();
}

const SMALL_BOUNDS: Bounds = Bounds {
    members: 2,
    leases: 1,
    last_time: 3,
    losses: 0,
    crashes: 0,
    suspensions: 0,
    mutant: Mutant::None,
};

// Guards against two holders after an answer that arrives late.
#[test]
fn one_holder_under_any_delay() {
    assert_holds("late answers", Bounds { last_time: 4, ..SMALL_BOUNDS });
}

// Guards against two holders after a request or an answer that is lost.
#[test]
fn one_holder_when_a_request_or_answer_is_lost() {
    assert_holds("a loss", Bounds { losses: 1, ..SMALL_BOUNDS });
}

// Guards against two holders after a crash, and against a result that is accepted although its sender was suspended
// during the action while another member acted under the lease.
#[test]
fn one_holder_across_a_crash_and_a_suspension_during_an_action() {
    assert_holds("a crash", Bounds { crashes: 1, ..SMALL_BOUNDS });
    assert_holds("a suspension", Bounds { suspensions: 1, ..SMALL_BOUNDS });
}

// Guards against a change of one lease that affects another lease.
#[test]
#[ignore = "a minute on four cores: cargo test -p orchidyoke-leases --test model -- --ignored"]
fn two_leases_have_one_holder_each() {
    assert_holds("two leases", Bounds { leases: 2, ..SMALL_BOUNDS });
}

// Guards against a model or bounds in which no violation can occur. The check must find a violation when a part of the
// protocol is disabled.
#[test]
fn each_mutant_violates_its_property() {
    let cases = [
        (Mutant::NoClockDrift, "one holder at a time"),
        (Mutant::ValidFromAnswer, "one holder at a time"),
        (Mutant::NoFencing, "no result of an earlier holder is accepted after one of a later holder"),
    ];
    for (mutant, property) in cases {
        let suspensions = u8::from(mutant == Mutant::NoFencing);
        let checked = check(Bounds { mutant, suspensions, last_time: 4, ..SMALL_BOUNDS });
        let path =
            checked.discovery(property).unwrap_or_else(|| panic!("{mutant:?} does not violate: {property}"));
        println!(
            "{mutant:?}: violation found after {} states, by {} steps",
            checked.unique_state_count(),
            path.into_actions().len()
        );
    }
}
