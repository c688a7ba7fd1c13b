//! Model checking of who may send at which rate: the state machine that forwarders run, against a registry that keeps
//! its promises and nothing more, over every order of renewals, looks, answers that are late or lost and sessions that end
//! within the bounds given, with one clock that is slow by the whole drift.

mod common;

use common::{member, view};
use orchidyoke_core::interface::Micros;
use orchidyoke_ownership::{ColdReason, Rate, Role, Roles, Terms, View};
use stateright::{Checker, HasDiscoveries, Model, Property};

const FORWARDERS: usize = 2;
/// A step of the clock is one unit.
const TTL: Micros = 2;
const VIEW_TIME: Micros = 2;
const COLD_TIME: Micros = 2;
/// Before anything that the model plays.
const LONG_AGO: Micros = -1000;

const ONE_FULL: &str = "one at a time sends at the whole rate";

/// What is taken away, so that the check must find what it was there for.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Mutant {
    None,
    /// A new owner sends at the whole rate at once.
    NoColdTime,
    /// Looks and renewals count from their answers.
    FromAnswer,
    /// Clocks are believed to run alike.
    NoDrift,
    /// Views count for ever.
    ViewsCountForEver,
    /// A new session is taken for a renewal of the last.
    SessionsAreAlike,
}

struct Bounds {
    /// Both are members at the start, and the first owns the destination. Else the second joins, and then owns it.
    both_there: bool,
    /// The first one's renewals are late or lost, so its session may end. All others take effect at once.
    renewals_late: bool,
    until: Micros,
    restarts: u8,
    mutant: Mutant,
}

/// An answer of the registry on its way back, with when it was asked for. That the question takes time is no step of its
/// own: what is answered later than it was asked for counts for less than it could.
type Answer<T> = Option<(Micros, T)>;
/// Sessions are numbered as they are made.
type SessionId = u8;

/// A member's session as the registry has it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Session {
    id: SessionId,
    renewed: Micros,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Node {
    roles: Roles,
    look: Answer<View>,
    /// The session that it knows of.
    session: Option<SessionId>,
    /// Of which session it hears that it was renewed, or made where it knew of another or none.
    renewal: Answer<SessionId>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    clock: Micros,
    nodes: Vec<Node>,
    sessions: Vec<Option<Session>>,
    /// Sessions made so far.
    made: SessionId,
    version: u64,
    restarts: u8,
}

#[derive(Clone, Debug, PartialEq)]
enum Step {
    Pass,
    Look(usize),
    HearLook(usize),
    Renew(usize),
    HearRenewal(usize),
    Expire(usize),
    Restart(usize),
}

/// A destination that the second owns where both are there, or the first.
fn destination(owner: usize) -> u64 {
    let both = view(1, (0..FORWARDERS).map(|number| member(number, 1.0)).collect());
    let owns = |destination: &u64| {
        both.owner(*destination).map(|owner| &owner.name) == Some(&member(owner, 1.0).name)
    };
    (0..).find(owns).expect("there is one")
}

impl Bounds {
    fn terms(&self) -> Terms {
        let drift = if self.mutant == Mutant::NoDrift { 0.0 } else { 0.5 };
        let cold_time = if self.mutant == Mutant::NoColdTime { 0 } else { COLD_TIME };
        let view_time = if self.mutant == Mutant::ViewsCountForEver { 1000 } else { VIEW_TIME };
        Terms { ttl: TTL, view_time, cold_time, drift }
    }

    fn destination(&self) -> u64 {
        destination(if self.both_there { 0 } else { 1 })
    }

    /// The first forwarder's clock is slow by a third: a half is what the other is faster than it.
    fn local(&self, node: usize, clock: Micros) -> Micros {
        if node == 0 { clock * 2 / 3 } else { clock }
    }

    fn rate(&self, world: &World, node: usize) -> Option<Rate> {
        let now = self.local(node, world.clock);
        match world.nodes[node].roles.role(&self.terms(), now, self.destination(), true) {
            Role::Deliver(rate) => Some(rate),
            Role::HandOver(_) => None,
        }
    }

    /// How many send at the whole rate.
    fn at_whole_rate(&self, world: &World) -> usize {
        (0..FORWARDERS).filter(|node| self.rate(world, *node) == Some(Rate::Full)).count()
    }

    fn registry(&self, world: &World) -> View {
        let there = (0..FORWARDERS).filter(|node| world.sessions[*node].is_some());
        view(world.version, there.map(|node| member(node, 1.0)).collect())
    }

    fn heard_at(&self, sent: Micros, now: Micros) -> Micros {
        if self.mutant == Mutant::FromAnswer { now } else { sent }
    }

    fn new_roles(&self, node: usize) -> Roles {
        let mut roles = Roles::new(member(node, 1.0).name);
        roles.list(LONG_AGO, [self.destination()]);
        roles
    }

    fn is_late(&self, node: usize) -> bool {
        self.renewals_late && node == 0
    }

    fn renew_others(&self, world: &mut World) {
        for node in (0..FORWARDERS).filter(|node| !self.is_late(*node)) {
            let known = world.nodes[node].session;
            if let Some(session) = &mut world.sessions[node]
                && known == Some(session.id)
            {
                session.renewed = world.clock;
                world.nodes[node].roles.renewed(self.local(node, world.clock));
            }
        }
    }

    /// Renews the session that a forwarder knows of, or makes it a new one.
    fn renew(&self, world: &mut World, node: usize) -> SessionId {
        let known = world.nodes[node].session;
        let there = world.sessions[node].filter(|session| Some(session.id) == known);
        let id = there.map_or(world.made, |session| session.id);
        if there.is_none() {
            world.made += 1;
            world.version += 1;
        }
        world.sessions[node] = Some(Session { id, renewed: world.clock });
        id
    }

    fn take(&self, world: &mut World, step: &Step) -> Option<()> {
        match *step {
            Step::Pass => {
                world.clock += 1;
                self.renew_others(world);
            }
            Step::Look(node) => {
                let view = self.registry(world);
                world.nodes[node].look = Some((self.local(node, world.clock), view));
            }
            Step::HearLook(node) => {
                let now = self.local(node, world.clock);
                let (sent, view) = world.nodes[node].look.take()?;
                let sent = self.heard_at(sent, now);
                // Refused where it is older.
                let _ = world.nodes[node].roles.looked(&self.terms(), now, sent, view);
            }
            Step::Renew(node) => {
                let id = self.renew(world, node);
                world.nodes[node].renewal = Some((self.local(node, world.clock), id));
            }
            Step::HearRenewal(node) => {
                let now = self.local(node, world.clock);
                let heard = &mut world.nodes[node];
                let (sent, id) = heard.renewal.take()?;
                let sent = self.heard_at(sent, now);
                if heard.session == Some(id) || self.mutant == Mutant::SessionsAreAlike {
                    heard.roles.renewed(sent);
                } else {
                    heard.session = Some(id);
                    heard.roles.registered(now, sent);
                }
            }
            Step::Expire(node) => {
                world.sessions[node] = None;
                world.version += 1;
            }
            Step::Restart(node) => {
                world.restarts -= 1;
                let roles = self.new_roles(node);
                world.nodes[node] = Node { roles, look: None, session: None, renewal: None };
            }
        }
        Some(())
    }
}

impl Model for Bounds {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let is_there = |node: &usize| *node == 0 || self.both_there;
        let session = |node: usize| Session { id: node as SessionId, renewed: 0 };
        let sessions: Vec<Option<Session>> =
            (0..FORWARDERS).map(|node| is_there(&node).then(|| session(node))).collect();
        let node = |node: usize| Node {
            roles: self.new_roles(node),
            look: None,
            session: sessions[node].map(|session| session.id),
            renewal: None,
        };
        let nodes = (0..FORWARDERS).map(node).collect();
        let mut world = World {
            clock: 0,
            nodes,
            sessions,
            made: FORWARDERS as SessionId,
            version: 1,
            restarts: self.restarts,
        };
        let view = self.registry(&world);
        for node in (0..FORWARDERS).filter(is_there) {
            let roles = &mut world.nodes[node].roles;
            roles.registered(LONG_AGO, LONG_AGO);
            for at in [LONG_AGO, 0] {
                roles.looked(&self.terms(), at, at, view.clone()).expect("it is not older");
            }
            roles.renewed(0);
        }
        vec![world]
    }

    fn actions(&self, world: &World, steps: &mut Vec<Step>) {
        if world.clock < self.until {
            steps.push(Step::Pass);
        }
        for (place, node) in world.nodes.iter().enumerate() {
            let now = self.local(place, world.clock);
            // One whose answer is lost is asked for anew.
            if node.look.as_ref().is_none_or(|(sent, _)| *sent < now) {
                steps.push(Step::Look(place));
            }
            let is_registered = world.sessions[place].is_some_and(|session| Some(session.id) == node.session);
            if (self.is_late(place) || !is_registered) && node.renewal.is_none_or(|(sent, _)| sent < now) {
                steps.push(Step::Renew(place));
            }
            if node.look.is_some() {
                steps.push(Step::HearLook(place));
            }
            if node.renewal.is_some() {
                steps.push(Step::HearRenewal(place));
            }
            let may_end = |session: Session| self.is_late(place) && world.clock >= session.renewed + TTL;
            if world.sessions[place].is_some_and(may_end) {
                steps.push(Step::Expire(place));
            }
            if world.restarts > 0 {
                steps.push(Step::Restart(place));
            }
        }
    }

    fn next_state(&self, world: &World, step: Step) -> Option<World> {
        let mut next = world.clone();
        self.take(&mut next, &step)?;
        (next != *world).then_some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(ONE_FULL, |bounds: &Bounds, world: &World| bounds.at_whole_rate(world) <= 1),
            Property::sometimes("the second sends at the whole rate", |bounds: &Bounds, world: &World| {
                bounds.rate(world, 1) == Some(Rate::Full)
            }),
            Property::sometimes("an owner is not confirmed", |bounds: &Bounds, world: &World| {
                bounds.rate(world, 0) == Some(Rate::Cold(ColdReason::Unconfirmed))
            }),
        ]
    }
}

/// All within the bounds, or until something is found.
fn check(bounds: Bounds) -> impl Checker<Bounds> {
    bounds.checker().threads(4).finish_when(HasDiscoveries::AnyFailures).spawn_bfs().join()
}

fn holds(what: &str, bounds: Bounds) {
    let checker = check(bounds);
    println!("{what}: {} states, the longest path {}", checker.unique_state_count(), checker.max_depth());
    checker.assert_properties();
}

const JOIN: Bounds =
    Bounds { both_there: false, renewals_late: false, until: 5, restarts: 0, mutant: Mutant::None };
const SESSION_ENDS: Bounds =
    Bounds { both_there: true, renewals_late: true, until: 5, restarts: 0, mutant: Mutant::None };

#[test]
fn one_sends_at_the_whole_rate_while_another_joins() {
    holds("a join", JOIN);
}

#[test]
fn one_sends_at_the_whole_rate_while_a_session_ends() {
    holds("a session's end", SESSION_ENDS);
}

#[test]
fn each_part_that_is_taken_away_is_missed() {
    for (mutant, bounds) in [
        (Mutant::NoColdTime, JOIN),
        (Mutant::FromAnswer, JOIN),
        (Mutant::NoDrift, JOIN),
        (Mutant::ViewsCountForEver, JOIN),
        (Mutant::SessionsAreAlike, SESSION_ENDS),
    ] {
        let checker = check(Bounds { mutant, ..bounds });
        let path = checker.discovery(ONE_FULL).unwrap_or_else(|| panic!("{mutant:?} is not found"));
        println!(
            "{mutant:?}: found after {} states, by {} steps",
            checker.unique_state_count(),
            path.into_actions().len()
        );
    }
}
