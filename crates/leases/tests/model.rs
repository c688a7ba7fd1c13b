//! Model checking of the protocol: the reducer that forwarders run, against a store that keeps its promises and nothing
//! more, over every order of answers, losses, crashes, stalls and expiries within the bounds given.

use orchidyoke_core::interface::Micros;
use orchidyoke_leases::fencing::Fence;
use orchidyoke_leases::state_machine::{Effect, Input, Leases, Lock, Session, Terms};
use orchidyoke_leases::{Duty, Token};
use stateright::{Checker, HasDiscoveries, Model, Property};
use std::collections::{BTreeMap, BTreeSet};

/// A step of the store's clock is one unit; a session's TTL is three. No lock-delay: nothing rests on it here.
const TTL: Micros = 3;
const LOCK_DELAY: Micros = 0;

/// What is taken away, so that the check must find what it was there for.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Mutant {
    None,
    /// Results are taken whatever their token.
    NoFence,
    /// An owner believes that all clocks run alike.
    NoDrift,
    /// An owner counts its lease from the answer.
    FromAnswer,
}

struct Bounds {
    forwarders: usize,
    duties: Duty,
    /// Units of time.
    until: Micros,
    /// Answers and questions that are lost.
    losses: u8,
    crashes: u8,
    /// Acts that end late: their forwarder was frozen in the middle.
    freezes: u8,
    mutant: Mutant,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Node {
    leases: Leases,
    /// Questions on their way to the store, each with the moment it was sent, by the forwarder's own clock. Looks are
    /// not among them: whatever the locks are, they may be looked at any time.
    asked: Vec<(Effect, Micros)>,
    /// Answers about the session; those about locks tell nothing that a look does not.
    answers: Vec<Input>,
    /// An act in the middle of which the forwarder was frozen.
    frozen: Option<(Duty, Token)>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    clock: Micros,
    nodes: Vec<Node>,
    sessions: BTreeMap<Session, Micros>,
    locks: BTreeMap<Duty, Lock>,
    free_from: BTreeMap<Duty, Micros>,
    index: Token,
    made: u32,
    fence: Fence,
    newest: BTreeMap<Duty, Token>,
    owners: BTreeSet<(Duty, usize)>,
    /// An older result was taken after a newer one.
    broken: bool,
    losses: u8,
    crashes: u8,
    freezes: u8,
}

#[derive(Clone, Debug, PartialEq)]
enum Step {
    Pass,
    Wake(usize),
    Serve(usize),
    LoseQuestion(usize),
    Hear(usize),
    LoseAnswer(usize),
    Expire(Session),
    Look(usize),
    Act(usize, Duty),
    Freeze(usize, Duty),
    Thaw(usize),
    Crash(usize),
}

/// What a forwarder hears where there is no answer: its time-out.
fn silence(effect: &Effect) -> Option<Input> {
    match effect {
        Effect::Create | Effect::Renew(_) => Some(Input::Unheard),
        Effect::Acquire(duty, _) => Some(Input::Asked(*duty)),
        Effect::Release(duty, _) => Some(Input::Unsure(*duty)),
        Effect::Destroy(_) | Effect::Look => None,
    }
}

impl Bounds {
    fn terms(&self) -> Terms {
        let drift = if self.mutant == Mutant::NoDrift { 0.0 } else { 1.0 / 2.0 };
        Terms { ttl: TTL, drift, act: 0, retry: 1, asks: 2 }
    }

    /// The first forwarder's clock is slow by a third: a half is what the others are faster than it.
    fn local(&self, node: usize, clock: Micros) -> Micros {
        if node == 0 { clock * 2 / 3 } else { clock }
    }

    fn may_act(&self, world: &World, node: usize, duty: Duty) -> Option<Token> {
        world.nodes[node].leases.may_act(&self.terms(), self.local(node, world.clock), duty)
    }

    /// Answers about locks are heard at once, those about the session whenever they come.
    fn answer(&self, world: &mut World, node: usize, answer: Option<Input>) {
        match answer {
            Some(Input::Asked(_) | Input::Released(_) | Input::Unsure(_)) => {
                answer.into_iter().for_each(|input| self.tell(world, node, input));
            }
            answer => world.nodes[node].answers.extend(answer),
        }
    }

    fn tell(&self, world: &mut World, node: usize, input: Input) {
        let now = self.local(node, world.clock);
        let input = match (self.mutant, input) {
            (Mutant::FromAnswer, Input::Created(id, _)) => Input::Created(id, now),
            (Mutant::FromAnswer, Input::Renewed(id, _)) => Input::Renewed(id, now),
            (_, input) => input,
        };
        let effects = world.nodes[node].leases.step(&self.terms(), now, input);
        for effect in effects {
            if effect != Effect::Look {
                world.nodes[node].asked.push((effect, now));
            }
        }
    }
}

impl World {
    fn end(&mut self, session: &Session) {
        self.sessions.remove(session);
        for (duty, lock) in self.locks.iter_mut().filter(|(_, lock)| lock.session.as_ref() == Some(session)) {
            self.index += 1;
            *lock = Lock { session: None, index: self.index };
            self.free_from.insert(*duty, self.clock + LOCK_DELAY);
        }
    }

    /// What an act has brought comes to whoever uses it.
    fn result(&mut self, mutant: Mutant, node: usize, duty: Duty, token: Token) {
        if self.fence.accept(duty, token) || mutant == Mutant::NoFence {
            let newest = self.newest.entry(duty).or_insert(token);
            self.broken |= token < *newest;
            *newest = token.max(*newest);
            self.owners.insert((duty, node));
        }
    }

    fn serve(&mut self, effect: Effect, asked: Micros) -> Option<Input> {
        Some(match effect {
            Effect::Create => {
                self.made += 1;
                let id = format!("s{}", self.made);
                self.sessions.insert(id.clone(), self.clock);
                Input::Created(id, asked)
            }
            Effect::Renew(id) => match self.sessions.get_mut(&id) {
                Some(renewed) => {
                    *renewed = self.clock;
                    Input::Renewed(id, asked)
                }
                None => Input::Gone(id),
            },
            Effect::Destroy(id) => {
                self.end(&id);
                return None;
            }
            Effect::Acquire(duty, id) => {
                let open = self.locks.get(&duty).is_none_or(|lock| lock.session.is_none());
                let free = self.free_from.get(&duty).is_none_or(|from| self.clock >= *from);
                if open && free && self.sessions.contains_key(&id) {
                    self.index += 1;
                    self.locks.insert(duty, Lock { session: Some(id), index: self.index });
                }
                Input::Asked(duty)
            }
            Effect::Release(duty, id) => {
                let lock = self.locks.entry(duty).or_insert(Lock { session: None, index: 0 });
                if lock.session == Some(id) {
                    self.index += 1;
                    *lock = Lock { session: None, index: self.index };
                }
                Input::Released(duty)
            }
            Effect::Look => return None,
        })
    }
}

impl Model for Bounds {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let node = Node { leases: Leases::default(), asked: Vec::new(), answers: Vec::new(), frozen: None };
        let locks = (0..self.duties).map(|duty| (duty, Lock { session: None, index: 0 }));
        let mut world = World {
            clock: 0,
            nodes: vec![node; self.forwarders],
            sessions: BTreeMap::new(),
            locks: locks.collect(),
            free_from: BTreeMap::new(),
            index: 0,
            made: 0,
            fence: Fence::default(),
            newest: BTreeMap::new(),
            owners: BTreeSet::new(),
            broken: false,
            losses: self.losses,
            crashes: self.crashes,
            freezes: self.freezes,
        };
        for node in 0..self.forwarders {
            // Each wants all: placement is no help to safety, whatever it says.
            self.tell(&mut world, node, Input::Placed((0..self.duties).collect()));
        }
        vec![world]
    }

    fn actions(&self, world: &World, steps: &mut Vec<Step>) {
        if world.clock < self.until {
            steps.push(Step::Pass);
        }
        for (number, node) in world.nodes.iter().enumerate() {
            if node.leases.wake_at(&self.terms()) <= self.local(number, world.clock) {
                steps.push(Step::Wake(number));
            }
            if !node.asked.is_empty() {
                steps.push(Step::Serve(number));
            }
            if !node.answers.is_empty() {
                steps.push(Step::Hear(number));
            }
            if world.losses > 0 {
                steps.extend((!node.asked.is_empty()).then_some(Step::LoseQuestion(number)));
                steps.extend((!node.answers.is_empty()).then_some(Step::LoseAnswer(number)));
            }
            if world.crashes > 0 {
                steps.push(Step::Crash(number));
            }
            if node.leases.session().is_some() {
                steps.push(Step::Look(number));
            }
            if node.frozen.is_some() {
                steps.push(Step::Thaw(number));
                continue;
            }
            for duty in (0..self.duties).filter(|duty| self.may_act(world, number, *duty).is_some()) {
                steps.push(Step::Act(number, duty));
                steps.extend((world.freezes > 0).then_some(Step::Freeze(number, duty)));
            }
        }
        let over = world.sessions.iter().filter(|(_, renewed)| world.clock >= *renewed + TTL);
        steps.extend(over.map(|(id, _)| Step::Expire(id.clone())));
    }

    fn next_state(&self, world: &World, step: Step) -> Option<World> {
        let mut next = world.clone();
        match step {
            Step::Pass => next.clock += 1,
            Step::Wake(node) => self.tell(&mut next, node, Input::Tick),
            Step::Serve(node) => {
                let (effect, asked) = next.nodes[node].asked.remove(0);
                let answer = next.serve(effect, asked);
                self.answer(&mut next, node, answer);
            }
            Step::LoseQuestion(node) => {
                next.losses -= 1;
                let (effect, _) = next.nodes[node].asked.remove(0);
                self.answer(&mut next, node, silence(&effect));
            }
            Step::Hear(node) => {
                let answer = next.nodes[node].answers.remove(0);
                self.tell(&mut next, node, answer);
            }
            Step::LoseAnswer(node) => {
                next.losses -= 1;
                next.nodes[node].answers.remove(0);
                self.tell(&mut next, node, Input::Unheard);
            }
            Step::Expire(id) => next.end(&id),
            Step::Look(node) => {
                // Nothing is given back here, so how old a look is says nothing, and all may bear the same time.
                let seen = Input::Seen(next.locks.clone(), 0);
                self.tell(&mut next, node, seen);
            }
            Step::Act(node, duty) => {
                let token = self.may_act(world, node, duty)?;
                next.result(self.mutant, node, duty, token);
            }
            Step::Freeze(node, duty) => {
                next.freezes -= 1;
                next.nodes[node].frozen = Some((duty, self.may_act(world, node, duty)?));
            }
            Step::Thaw(node) => {
                let (duty, token) = next.nodes[node].frozen.take()?;
                next.result(self.mutant, node, duty, token);
            }
            Step::Crash(node) => {
                next.crashes -= 1;
                let fresh =
                    Node { leases: Leases::default(), asked: Vec::new(), answers: Vec::new(), frozen: None };
                next.nodes[node] = fresh;
                self.tell(&mut next, node, Input::Placed((0..self.duties).collect()));
            }
        }
        (next != *world).then_some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::<Self>::always("one owner at a time", |model, world| {
                (0..model.duties).all(|duty| {
                    (0..model.forwarders).filter(|node| model.may_act(world, *node, duty).is_some()).count()
                        <= 1
                })
            }),
            Property::<Self>::always("no older result counts after a newer one", |_, world| !world.broken),
            Property::<Self>::sometimes("a duty passes from one to another", |_, world| {
                let owners = |duty| world.owners.iter().filter(|(other, _)| *other == duty).count();
                world.newest.keys().any(|duty| owners(*duty) > 1)
            }),
        ]
    }
}

fn check(bounds: Bounds) -> impl Checker<Bounds> {
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    bounds.checker().threads(threads).finish_when(HasDiscoveries::AnyFailures).spawn_dfs().join()
}

/// Everything within the bounds keeps all properties; gives how many states that were.
fn holds(what: &str, bounds: Bounds) {
    let checked = check(bounds);
    println!(
        "{what}: {} states, the longest path {} steps",
        checked.unique_state_count(),
        checked.max_depth()
    );
    checked.assert_properties();
}

const SMALL: Bounds =
    Bounds { forwarders: 2, duties: 1, until: 3, losses: 0, crashes: 0, freezes: 0, mutant: Mutant::None };

#[test]
fn one_owner_whatever_is_late() {
    holds("late", Bounds { until: 4, ..SMALL });
}

#[test]
fn one_owner_whatever_is_lost() {
    holds("a loss", Bounds { losses: 1, ..SMALL });
}

#[test]
fn one_owner_over_a_crash_and_over_a_freeze_in_the_middle_of_an_act() {
    holds("a crash", Bounds { crashes: 1, ..SMALL });
    holds("a freeze", Bounds { freezes: 1, ..SMALL });
}

#[test]
#[ignore = "a minute on four cores: cargo test -p orchidyoke-leases --test model -- --ignored"]
fn two_duties_have_an_owner_each() {
    holds("two duties", Bounds { duties: 2, ..SMALL });
}

// What has to be found when a part of the protocol is taken away.
#[test]
fn each_mutant_is_found() {
    let cases = [
        (Mutant::NoDrift, "one owner at a time"),
        (Mutant::FromAnswer, "one owner at a time"),
        (Mutant::NoFence, "no older result counts after a newer one"),
    ];
    for (mutant, property) in cases {
        let freezes = u8::from(mutant == Mutant::NoFence);
        let checked = check(Bounds { mutant, freezes, until: 4, ..SMALL });
        let path = checked.discovery(property).unwrap_or_else(|| panic!("{mutant:?}: {property}"));
        println!(
            "{mutant:?}: found after {} states, by {} steps",
            checked.unique_state_count(),
            path.into_actions().len()
        );
    }
}
