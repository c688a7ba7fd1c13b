//! Model checking of the rates of owners. The forwarders run the real state machine against a registry that gives only
//! the guarantees that the protocol requires. The check covers every order of renewals, reads, late or lost answers and
//! expiring sessions within the bounds. One clock is slow by the whole clock drift. The check guards against two
//! members that send to one destination at the full rate at the same time.

mod common;

use common::{member, view};
use orchidyoke_core::interface::Micros;
use orchidyoke_ownership::{DeliveryDecision, MemberState, OwnershipConfig, Rate, SlowStartReason, View};
use stateright::{Checker, HasDiscoveries, Model, Property};

const MEMBERS: usize = 2;
/// The times of the protocol, in units of the clock.
const TTL: Micros = 2;
const VIEW_LIFETIME: Micros = 2;
const WARM_UP_TIME: Micros = 2;
/// A time so long before the first step of the model that the warm-up time is over at that step.
const LONG_AGO: Micros = -1000;

const ONE_FULL: &str = "at most one member sends at the full rate";

/// The part of the protocol that is disabled. The check must then find a violation of the property that the part
/// protects.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Mutant {
    None,
    /// A new owner sends at the full rate at once.
    NoWarmUp,
    /// Reads and renewals are valid from the time of their answers.
    ValidFromAnswer,
    /// Forwarders assume that all clocks run at the same rate.
    NoClockDrift,
    /// Views never expire.
    ViewsNeverExpire,
    /// A forwarder treats a new session as a renewal of the previous one.
    NewSessionIsRenewal,
}

struct Bounds {
    /// Whether both forwarders are members at the start. If so, the first owns the destination. Otherwise the second
    /// joins, and then owns the destination.
    both_present: bool,
    /// Whether the first member's renewals may be late or lost, so that its session may expire. All other renewals take
    /// effect at once.
    renewals_late: bool,
    /// The last time of the clock.
    last_time: Micros,
    /// How many restarts of members may happen.
    restarts: u8,
    mutant: Mutant,
}

/// An answer of the registry in flight, with the time at which its request was sent. The delay of the request is not a
/// separate step, because an answer that arrives later is valid for a shorter time.
type Answer<T> = Option<(Micros, T)>;
/// The number of a session, in the order of creation.
type SessionId = u8;

/// A member's session as stored in the registry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Session {
    id: SessionId,
    renewed_at: Micros,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Node {
    state: MemberState,
    /// The answer to the member's read of the view.
    view_read: Answer<View>,
    /// The session that the member knows.
    session: Option<SessionId>,
    /// The answer to the member's renewal, which has the id of the renewed session or of a new one.
    renewal: Answer<SessionId>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    clock: Micros,
    nodes: Vec<Node>,
    sessions: Vec<Option<Session>>,
    /// The number of sessions created so far.
    sessions_created: SessionId,
    /// The version of the registry's view.
    version: u64,
    /// How many more restarts may happen.
    restarts: u8,
}

/// A step of the model. A `usize` is the number of a member.
#[derive(Clone, Debug, PartialEq)]
enum Step {
    Tick,
    ReadView(usize),
    ReceiveView(usize),
    Renew(usize),
    ReceiveRenewal(usize),
    Expire(usize),
    Restart(usize),
}

/// Returns a destination that this member owns if both are members.
fn destination(owner: usize) -> u64 {
    let both = view(1, (0..MEMBERS).map(|number| member(number, 1.0)).collect());
    let owns = |destination: &u64| {
        both.owner(*destination).map(|owner| &owner.name) == Some(&member(owner, 1.0).name)
    };
    (0..).find(owns).expect("the member owns a destination")
}

impl Bounds {
    fn config(&self) -> OwnershipConfig {
        let clock_drift = if self.mutant == Mutant::NoClockDrift { 0.0 } else { 0.5 };
        let warm_up_time = if self.mutant == Mutant::NoWarmUp { 0 } else { WARM_UP_TIME };
        let view_lifetime = if self.mutant == Mutant::ViewsNeverExpire { 1000 } else { VIEW_LIFETIME };
        OwnershipConfig { session_ttl: TTL, view_lifetime, warm_up_time, clock_drift }
    }

    fn destination(&self) -> u64 {
        destination(if self.both_present { 0 } else { 1 })
    }

    /// Returns the time on a member's own clock. The first member's clock runs at two thirds of the rate of the other
    /// member's clock, whose rate is therefore higher by a half.
    fn local_time(&self, member: usize, clock: Micros) -> Micros {
        if member == 0 { clock * 2 / 3 } else { clock }
    }

    fn rate(&self, world: &World, member: usize) -> Option<Rate> {
        let now = self.local_time(member, world.clock);
        match world.nodes[member].state.decide(&self.config(), now, self.destination(), true) {
            DeliveryDecision::Deliver(rate) => Some(rate),
            DeliveryDecision::HandOver(_) => None,
        }
    }

    /// Returns how many members send at the full rate.
    fn count_at_full_rate(&self, world: &World) -> usize {
        (0..MEMBERS).filter(|member| self.rate(world, *member) == Some(Rate::Full)).count()
    }

    fn registry_view(&self, world: &World) -> View {
        let present = (0..MEMBERS).filter(|member| world.sessions[*member].is_some());
        view(world.version, present.map(|member| common::member(member, 1.0)).collect())
    }

    fn valid_from(&self, sent_at: Micros, now: Micros) -> Micros {
        if self.mutant == Mutant::ValidFromAnswer { now } else { sent_at }
    }

    fn new_state(&self, member: usize) -> MemberState {
        let mut state = MemberState::new(common::member(member, 1.0).name);
        state.set_destinations(LONG_AGO, [self.destination()]);
        state
    }

    fn has_late_renewals(&self, member: usize) -> bool {
        self.renewals_late && member == 0
    }

    fn renew_others(&self, world: &mut World) {
        for member in (0..MEMBERS).filter(|member| !self.has_late_renewals(*member)) {
            let known_session = world.nodes[member].session;
            if let Some(session) = &mut world.sessions[member]
                && known_session == Some(session.id)
            {
                session.renewed_at = world.clock;
                world.nodes[member].state.on_renewed(self.local_time(member, world.clock));
            }
        }
    }

    /// Renews the session that a member knows, or creates a new session.
    fn renew(&self, world: &mut World, member: usize) -> SessionId {
        let known_session = world.nodes[member].session;
        let present = world.sessions[member].filter(|session| Some(session.id) == known_session);
        let id = present.map_or(world.sessions_created, |session| session.id);
        if present.is_none() {
            world.sessions_created += 1;
            world.version += 1;
        }
        world.sessions[member] = Some(Session { id, renewed_at: world.clock });
        id
    }

    /// Applies a step. Returns `None` if the step is not possible.
    fn apply(&self, world: &mut World, step: &Step) -> Option<()> {
        match *step {
            Step::Tick => {
                world.clock += 1;
                self.renew_others(world);
            }
            Step::ReadView(member) => {
                let view = self.registry_view(world);
                world.nodes[member].view_read = Some((self.local_time(member, world.clock), view));
            }
            Step::ReceiveView(member) => {
                let now = self.local_time(member, world.clock);
                let (sent_at, view) = world.nodes[member].view_read.take()?;
                let sent_at = self.valid_from(sent_at, now);
                // An older view is rejected.
                let _ = world.nodes[member].state.on_view(&self.config(), now, sent_at, view);
            }
            Step::Renew(member) => {
                let id = self.renew(world, member);
                world.nodes[member].renewal = Some((self.local_time(member, world.clock), id));
            }
            Step::ReceiveRenewal(member) => {
                let now = self.local_time(member, world.clock);
                let receiver = &mut world.nodes[member];
                let (sent_at, id) = receiver.renewal.take()?;
                let sent_at = self.valid_from(sent_at, now);
                if receiver.session == Some(id) || self.mutant == Mutant::NewSessionIsRenewal {
                    receiver.state.on_renewed(sent_at);
                } else {
                    receiver.session = Some(id);
                    receiver.state.on_registered(now, sent_at);
                }
            }
            Step::Expire(member) => {
                world.sessions[member] = None;
                world.version += 1;
            }
            Step::Restart(member) => {
                world.restarts -= 1;
                let state = self.new_state(member);
                world.nodes[member] = Node { state, view_read: None, session: None, renewal: None };
            }
        }
        Some(())
    }
}

impl Model for Bounds {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let is_present = |member: &usize| *member == 0 || self.both_present;
        let session = |member: usize| Session { id: member as SessionId, renewed_at: 0 };
        let sessions: Vec<Option<Session>> =
            (0..MEMBERS).map(|member| is_present(&member).then(|| session(member))).collect();
        let member = |member: usize| Node {
            state: self.new_state(member),
            view_read: None,
            session: sessions[member].map(|session| session.id),
            renewal: None,
        };
        let nodes = (0..MEMBERS).map(member).collect();
        let mut world = World {
            clock: 0,
            nodes,
            sessions,
            sessions_created: MEMBERS as SessionId,
            version: 1,
            restarts: self.restarts,
        };
        let view = self.registry_view(&world);
        for member in (0..MEMBERS).filter(is_present) {
            let state = &mut world.nodes[member].state;
            state.on_registered(LONG_AGO, LONG_AGO);
            for read_at in [LONG_AGO, 0] {
                state.on_view(&self.config(), read_at, read_at, view.clone()).expect("the view is not older");
            }
            state.on_renewed(0);
        }
        vec![world]
    }

    fn actions(&self, world: &World, steps: &mut Vec<Step>) {
        if world.clock < self.last_time {
            steps.push(Step::Tick);
        }
        for (index, member) in world.nodes.iter().enumerate() {
            let now = self.local_time(index, world.clock);
            // A request whose answer is lost is sent again.
            if member.view_read.as_ref().is_none_or(|(sent_at, _)| *sent_at < now) {
                steps.push(Step::ReadView(index));
            }
            let is_registered =
                world.sessions[index].is_some_and(|session| Some(session.id) == member.session);
            if (self.has_late_renewals(index) || !is_registered)
                && member.renewal.is_none_or(|(sent_at, _)| sent_at < now)
            {
                steps.push(Step::Renew(index));
            }
            if member.view_read.is_some() {
                steps.push(Step::ReceiveView(index));
            }
            if member.renewal.is_some() {
                steps.push(Step::ReceiveRenewal(index));
            }
            let may_expire =
                |session: Session| self.has_late_renewals(index) && world.clock >= session.renewed_at + TTL;
            if world.sessions[index].is_some_and(may_expire) {
                steps.push(Step::Expire(index));
            }
            if world.restarts > 0 {
                steps.push(Step::Restart(index));
            }
        }
    }

    fn next_state(&self, world: &World, step: Step) -> Option<World> {
        let mut next = world.clone();
        self.apply(&mut next, &step)?;
        (next != *world).then_some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(ONE_FULL, |bounds: &Bounds, world: &World| {
                bounds.count_at_full_rate(world) <= 1
            }),
            Property::sometimes(
                "the second member sends at the full rate",
                |bounds: &Bounds, world: &World| bounds.rate(world, 1) == Some(Rate::Full),
            ),
            Property::sometimes("an owner is not confirmed", |bounds: &Bounds, world: &World| {
                bounds.rate(world, 0) == Some(Rate::SlowStart(SlowStartReason::Unconfirmed))
            }),
        ]
    }
}

/// Checks all states within the bounds, until a property is violated.
fn check(bounds: Bounds) -> impl Checker<Bounds> {
    bounds.checker().threads(4).finish_when(HasDiscoveries::AnyFailures).spawn_bfs().join()
}

fn assert_holds(label: &str, bounds: Bounds) {
    let checker = check(bounds);
    println!("{label}: {} states, longest path: {} steps", checker.unique_state_count(), checker.max_depth());
    checker.assert_properties();
}

const MEMBER_JOINS: Bounds =
    Bounds { both_present: false, renewals_late: false, last_time: 5, restarts: 0, mutant: Mutant::None };
const SESSION_EXPIRES: Bounds =
    Bounds { both_present: true, renewals_late: true, last_time: 5, restarts: 0, mutant: Mutant::None };

// Guards against a new owner that sends at the full rate before the previous owner has read the new view.
#[test]
fn at_most_one_sends_at_full_rate_while_a_member_joins() {
    assert_holds("a member joins", MEMBER_JOINS);
}

// Guards against an owner that continues at the full rate after its session has expired, or directly after it has
// created a new session.
#[test]
fn at_most_one_sends_at_full_rate_while_a_session_expires() {
    assert_holds("a session expires", SESSION_EXPIRES);
}

// Guards against a model or bounds in which no violation can occur. The check must find a violation when a part of the
// protocol is disabled.
#[test]
fn each_mutant_violates_its_property() {
    for (mutant, bounds) in [
        (Mutant::NoWarmUp, MEMBER_JOINS),
        (Mutant::ValidFromAnswer, MEMBER_JOINS),
        (Mutant::NoClockDrift, MEMBER_JOINS),
        (Mutant::ViewsNeverExpire, MEMBER_JOINS),
        (Mutant::NewSessionIsRenewal, SESSION_EXPIRES),
    ] {
        let checker = check(Bounds { mutant, ..bounds });
        let path =
            checker.discovery(ONE_FULL).unwrap_or_else(|| panic!("{mutant:?} does not violate: {ONE_FULL}"));
        println!(
            "{mutant:?}: violation found after {} states, by {} steps",
            checker.unique_state_count(),
            path.into_actions().len()
        );
    }
}
