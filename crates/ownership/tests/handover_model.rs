//! Model checking of the handover of one message between forwarders (`docs/ownership.md`). The forwarders are the
//! holder, which accepted the message from a client, the message's owner, and a third forwarder. The check covers every
//! order of answers, losses, crashes, restarts and late views within the bounds. A suspended or disconnected forwarder
//! is modelled as one that takes no step for a while.
//!
//! The members, the views and the owners come from the crate itself.

mod common;

use common::{member, view};
use orchidyoke_ownership::{OwnershipTable, View};
use stateright::{Checker, HasDiscoveries, Model, Property};

const FORWARDERS: usize = 3;
/// The forwarder that accepted the message from a client.
const HOLDER: usize = 0;

const ONE_ANSWER: &str =
    "exactly one forwarder has the message or its final answer, until the holder stops asking";
const NO_REPEAT: &str = "a non-idempotent message is delivered at most once";
const TRUE_ANSWERS: &str = "each final answer is true";
const ONE_HANDOVER: &str = "only the holder hands the message over";
const NEVER_BACK: &str = "no forwarder goes back to an older view";

/// The part of the protocol that is disabled. The check must then find a violation of the property that the part
/// protects.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Mutant {
    None,
    /// The holder's record ends with the offer, and not with the answer 202 to the offer.
    EndsBeforeAnswer,
    /// The holder treats an offer without an answer as rejected.
    LostIsRejected,
    /// The holder treats a rejection as one of the earlier offers too.
    RejectionSettlesDoubt,
    /// A forwarder hands over a message that was handed over to it, if its own view has another owner.
    MarkIgnored,
    /// When the forwarder that may have the message has left, the holder gives a non-idempotent message to the next
    /// owner too.
    IdempotencyIgnored,
    /// Forwarders forget the ids of finished messages while these messages may still be offered again.
    ForgetsEarly,
    /// A forwarder accepts an offer however late it reads the offer.
    LateOffers,
    /// Forwarders apply views in the order in which the views arrive, even an older one after a newer one.
    OlderViews,
}

/// The final answer of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum FinalAnswer {
    Delivered,
    /// The message may have been delivered.
    Failed,
    /// The message was never sent to the endpoint, and the client may submit it again.
    Rejected,
}

/// The state of the message in one forwarder's journal, as a restart reads it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Record {
    /// The forwarder has never had the message, or has forgotten it.
    Unknown,
    /// The forwarder has accepted the message, and will deliver it or hand it over.
    Queued {
        /// Whether another forwarder handed the message over to this one.
        marked: bool,
        /// Whether the message may have been delivered by an attempt, or by an offer that is no longer repeated.
        possible_delivery: bool,
    },
    /// The message was offered to the forwarder `to`, which may have it.
    Offered {
        to: usize,
        /// Whether an offer has had no answer.
        in_doubt: bool,
        possible_delivery: bool,
    },
    /// An attempt is in flight. `delivered` is `true` once the endpoint has processed the message.
    InFlight {
        marked: bool,
        possible_delivery: bool,
        delivered: bool,
    },
    HandedOver,
    Finished(FinalAnswer),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Node {
    up: bool,
    /// The version of the forwarder's view.
    version: usize,
    /// The latest version that the forwarder has received.
    latest_received: usize,
    record: Record,
}

/// An offer in flight.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Request {
    from: usize,
    to: usize,
    /// Whether the sender still waits for the answer.
    awaited: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    nodes: Vec<Node>,
    requests: Vec<Request>,
    /// An answer in flight to the holder, which is `true` if the owner has accepted the message.
    answer: Option<bool>,
    /// The latest version of the registry.
    latest: usize,
    /// Whether the time is over in which the message may be offered again under its id.
    offers_expired: bool,
    /// How often the holder has stopped asking which forwarder has the message.
    abandoned_doubts: usize,
    /// How often the endpoint has processed the message, at most 2.
    deliveries: u8,
    /// How many forwarders have forgotten the message after they finished it.
    forgotten: usize,
    /// Whether a forwarder other than the holder has handed the message over.
    handed_over_twice: bool,
    crashes: u8,
    /// How many more offers may be sent.
    offers: u8,
}

#[derive(Clone, Debug, PartialEq)]
enum Step {
    ViewChanges,
    ReceiveView(usize, usize),
    Dispatch(usize),
    Read(usize, bool),
    LoseRequest(usize),
    ReceiveAnswer,
    Unreached,
    TimeOut,
    OfferAgain,
    StopAsking,
    ExpireOffers,
    GiveUp,
    Deliver(usize),
    ReceivePartnerAnswer(usize),
    LosePartnerAnswer(usize),
    Forget(usize),
    Crash(usize),
    Restart(usize),
}

struct Bounds {
    /// The views of the registry, in order.
    views: Vec<View>,
    destination: u64,
    /// The destination's owner while all forwarders are members, and its owner after that one has left.
    first_owner: usize,
    next_owner: usize,
    idempotent: bool,
    crashes: u8,
    offers: u8,
    mutant: Mutant,
}

impl Record {
    fn is_held(self) -> bool {
        matches!(self, Record::Queued { .. } | Record::InFlight { .. })
    }

    fn final_answer(self) -> Option<FinalAnswer> {
        match self {
            Record::Finished(answer) => Some(answer),
            _ => None,
        }
    }
}

impl World {
    fn holder_record(&mut self) -> &mut Record {
        &mut self.nodes[HOLDER].record
    }

    /// Ends the holder's wait for an answer. The receiver may still read the holder's offer.
    fn stop_waiting(&mut self) {
        self.answer = None;
        self.requests.iter_mut().for_each(|request| request.awaited = false);
        self.requests.sort();
    }

    fn send(&mut self, from: usize, to: usize) {
        self.offers -= 1;
        self.handed_over_twice |= from != HOLDER;
        self.requests.push(Request { from, to, awaited: true });
        self.requests.sort();
    }

    /// Returns whether the holder waits for an answer.
    fn is_waiting(&self) -> bool {
        self.answer.is_some() || self.requests.iter().any(|request| request.awaited)
    }
}

impl Bounds {
    fn member(&self, world: &World, node: usize, of: usize) -> bool {
        self.views[world.nodes[node].version].member(&member(of, 1.0).name).is_some()
    }

    fn owner(&self, world: &World, node: usize) -> usize {
        let owner =
            self.views[world.nodes[node].version].owner(self.destination).expect("the view has members");
        (0..FORWARDERS)
            .find(|place| member(*place, 1.0).name == owner.name)
            .expect("the owner is one of the forwarders")
    }

    /// Starts an attempt, or offers the message to its owner.
    fn dispatch(&self, world: &mut World, node: usize) -> Option<()> {
        let Record::Queued { marked, possible_delivery } = world.nodes[node].record else { return None };
        let owner = self.owner(world, node);
        let stays = marked && self.mutant != Mutant::MarkIgnored;
        if owner == node || stays {
            world.nodes[node].record = Record::InFlight { marked, possible_delivery, delivered: false };
            return Some(());
        }
        if world.offers == 0 || world.offers_expired {
            return None;
        }
        world.nodes[node].record = match self.mutant {
            Mutant::EndsBeforeAnswer => Record::HandedOver,
            _ => Record::Offered { to: owner, in_doubt: false, possible_delivery },
        };
        world.send(node, owner);
        Some(())
    }

    /// Lets the receiver of an offer read it.
    fn read(&self, world: &mut World, place: usize, accepts: bool) -> Option<()> {
        let request = world.requests.remove(place);
        let node = world.nodes.get_mut(request.to).filter(|node| node.up)?;
        let known = node.record != Record::Unknown;
        let in_time = !world.offers_expired || self.mutant == Mutant::LateOffers;
        let accepted = known || accepts && in_time;
        if known && !accepts {
            return None;
        }
        if accepted && !known {
            node.record = Record::Queued { marked: true, possible_delivery: false };
        }
        if request.awaited {
            world.answer = Some(accepted);
        }
        Some(())
    }

    fn receive_answer(&self, world: &mut World) -> Option<()> {
        let accepted = world.answer.take()?;
        let Record::Offered { to, in_doubt, possible_delivery } = *world.holder_record() else {
            return Some(());
        };
        let settles = !in_doubt || self.mutant == Mutant::RejectionSettlesDoubt;
        *world.holder_record() = match accepted {
            true => Record::HandedOver,
            false if settles => Record::Queued { marked: false, possible_delivery },
            false => Record::Offered { to, in_doubt, possible_delivery },
        };
        Some(())
    }

    fn time_out(&self, world: &mut World) -> Option<()> {
        let Record::Offered { to, possible_delivery, .. } = *world.holder_record() else { return None };
        world.stop_waiting();
        *world.holder_record() = match self.mutant {
            Mutant::LostIsRejected => Record::Queued { marked: false, possible_delivery },
            _ => Record::Offered { to, in_doubt: true, possible_delivery },
        };
        Some(())
    }

    /// Handles an owner that was not reached, and therefore has not seen this offer.
    fn unreached(&self, world: &mut World) -> Option<()> {
        let Record::Offered { to, in_doubt, possible_delivery } = *world.holder_record() else { return None };
        if world.nodes[to].up {
            return None;
        }
        let awaited = world.requests.iter().position(|request| request.awaited)?;
        world.requests.remove(awaited);
        if !in_doubt {
            *world.holder_record() = Record::Queued { marked: false, possible_delivery };
        }
        Some(())
    }

    /// Ends the holder's doubt if the forwarder that may have the message has left, or if the time to offer it again is
    /// over.
    fn stop_asking(&self, world: &mut World) -> Option<()> {
        let Record::Offered { to, in_doubt: true, .. } = *world.holder_record() else { return None };
        let gone = !self.member(world, HOLDER, to);
        if !gone && !world.offers_expired {
            return None;
        }
        world.abandoned_doubts += 1;
        let again = self.idempotent || self.mutant == Mutant::IdempotencyIgnored;
        *world.holder_record() = if again && !world.offers_expired {
            Record::Queued { marked: false, possible_delivery: true }
        } else {
            Record::Finished(FinalAnswer::Failed)
        };
        Some(())
    }

    /// Handles the endpoint's answer to an attempt, or the loss of that answer.
    fn receive_partner_answer(&self, world: &mut World, node: usize, answered: bool) -> Option<()> {
        let Record::InFlight { marked, delivered: true, .. } = world.nodes[node].record else { return None };
        world.nodes[node].record = match answered {
            true => Record::Finished(FinalAnswer::Delivered),
            false => self.after_possible_delivery(marked),
        };
        Some(())
    }

    /// Returns the record after an attempt that may have delivered the message.
    fn after_possible_delivery(&self, marked: bool) -> Record {
        if self.idempotent {
            Record::Queued { marked, possible_delivery: true }
        } else {
            Record::Finished(FinalAnswer::Failed)
        }
    }

    fn restart(&self, world: &mut World, node: usize) -> Option<()> {
        world.nodes[node].up = true;
        world.nodes[node].record = match world.nodes[node].record {
            Record::InFlight { marked, .. } => self.after_possible_delivery(marked),
            Record::Offered { to, possible_delivery, .. } => {
                Record::Offered { to, in_doubt: true, possible_delivery }
            }
            record => record,
        };
        Some(())
    }

    fn may_forget(&self, world: &World, node: usize) -> bool {
        let ended = matches!(world.nodes[node].record, Record::Finished(_));
        let may_be_offered = !world.offers_expired;
        node != HOLDER && ended && (!may_be_offered || self.mutant == Mutant::ForgetsEarly)
    }

    fn receive_view(&self, world: &mut World, node: usize, version: usize) -> Option<()> {
        let mut table = OwnershipTable::new(self.views[world.nodes[node].version].clone(), []);
        let refused = table.replace_view(self.views[version].clone()).is_err();
        if refused && self.mutant != Mutant::OlderViews {
            return None;
        }
        let node = &mut world.nodes[node];
        node.version = version;
        node.latest_received = node.latest_received.max(version);
        Some(())
    }

    fn apply(&self, world: &mut World, step: &Step) -> Option<()> {
        match *step {
            Step::ViewChanges => world.latest += 1,
            Step::ReceiveView(node, version) => self.receive_view(world, node, version)?,
            Step::Dispatch(node) => self.dispatch(world, node)?,
            Step::Read(request, accepts) => self.read(world, request, accepts)?,
            Step::LoseRequest(request) => drop(world.requests.remove(request)),
            Step::ReceiveAnswer => self.receive_answer(world)?,
            Step::Unreached => self.unreached(world)?,
            Step::TimeOut => self.time_out(world)?,
            Step::OfferAgain => {
                let Record::Offered { to, in_doubt: true, .. } = *world.holder_record() else { return None };
                world.send(HOLDER, to);
            }
            Step::StopAsking => self.stop_asking(world)?,
            Step::ExpireOffers => world.offers_expired = true,
            Step::GiveUp => {
                let Record::Queued { possible_delivery: false, .. } = *world.holder_record() else {
                    return None;
                };
                *world.holder_record() = Record::Finished(FinalAnswer::Rejected);
            }
            Step::Deliver(node) => {
                let Record::InFlight { marked, possible_delivery, delivered: false } =
                    world.nodes[node].record
                else {
                    return None;
                };
                world.nodes[node].record = Record::InFlight { marked, possible_delivery, delivered: true };
                world.deliveries = (world.deliveries + 1).min(2);
            }
            Step::ReceivePartnerAnswer(node) => self.receive_partner_answer(world, node, true)?,
            Step::LosePartnerAnswer(node) => self.receive_partner_answer(world, node, false)?,
            Step::Forget(node) => {
                world.nodes[node].record = Record::Unknown;
                world.forgotten += 1;
            }
            Step::Crash(node) => {
                world.crashes -= 1;
                world.nodes[node].up = false;
                if node == HOLDER || world.answer.is_some() {
                    world.stop_waiting();
                }
            }
            Step::Restart(node) => self.restart(world, node)?,
        }
        Some(())
    }

    /// Adds the steps of the holder while it waits for an answer, and while it does not.
    fn holder_steps(&self, world: &World, steps: &mut Vec<Step>) {
        let may_offer = world.offers > 0 && !world.offers_expired;
        match world.nodes[HOLDER].record {
            Record::Offered { to, in_doubt, .. } => {
                if world.answer.is_some() {
                    steps.push(Step::ReceiveAnswer);
                }
                if world.is_waiting() || !in_doubt {
                    steps.extend([Step::TimeOut, Step::Unreached]);
                    return;
                }
                if may_offer && self.member(world, HOLDER, to) {
                    steps.push(Step::OfferAgain);
                }
                steps.push(Step::StopAsking);
            }
            Record::Queued { .. } => steps.push(Step::GiveUp),
            _ => {}
        }
    }

    fn node_steps(&self, world: &World, place: usize, steps: &mut Vec<Step>) {
        let node = &world.nodes[place];
        if !node.up {
            return steps.push(Step::Restart(place));
        }
        let versions = (0..=world.latest).filter(|version| *version != node.version);
        steps.extend(versions.map(|version| Step::ReceiveView(place, version)));
        if world.crashes > 0 {
            steps.push(Step::Crash(place));
        }
        match node.record {
            Record::Queued { .. } => steps.push(Step::Dispatch(place)),
            Record::InFlight { delivered: false, .. } => steps.push(Step::Deliver(place)),
            Record::InFlight { delivered: true, .. } => {
                steps.extend([Step::ReceivePartnerAnswer(place), Step::LosePartnerAnswer(place)]);
            }
            _ if self.may_forget(world, place) => steps.push(Step::Forget(place)),
            _ => {}
        }
    }
}

impl Model for Bounds {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let node = Node { up: true, version: 0, latest_received: 0, record: Record::Unknown };
        let mut nodes = vec![node; FORWARDERS];
        nodes[HOLDER].record = Record::Queued { marked: false, possible_delivery: false };
        vec![World {
            nodes,
            requests: Vec::new(),
            answer: None,
            latest: 0,
            offers_expired: false,
            abandoned_doubts: 0,
            deliveries: 0,
            forgotten: 0,
            handed_over_twice: false,
            crashes: self.crashes,
            offers: self.offers,
        }]
    }

    fn actions(&self, world: &World, steps: &mut Vec<Step>) {
        if world.latest + 1 < self.views.len() {
            steps.push(Step::ViewChanges);
        }
        if !world.offers_expired {
            steps.push(Step::ExpireOffers);
        }
        if world.nodes[HOLDER].up {
            self.holder_steps(world, steps);
        }
        for node in 0..FORWARDERS {
            self.node_steps(world, node, steps);
        }
        for (place, request) in world.requests.iter().enumerate() {
            steps.push(Step::LoseRequest(place));
            if world.nodes[request.to].up {
                steps.extend([Step::Read(place, true), Step::Read(place, false)]);
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
            Property::always(ONE_ANSWER, |_, world: &World| {
                let records = || world.nodes.iter().map(|node| node.record);
                let present =
                    records().filter(|record| record.is_held() || record.final_answer().is_some()).count();
                let count = present + world.forgotten;
                let offered = records().any(|record| matches!(record, Record::Offered { .. }));
                (1..=1 + world.abandoned_doubts).contains(&count) || count == 0 && offered
            }),
            Property::always(NO_REPEAT, |bounds: &Bounds, world: &World| {
                bounds.idempotent || world.deliveries < 2
            }),
            Property::always(TRUE_ANSWERS, |_, world: &World| {
                world.nodes.iter().all(|node| match node.record.final_answer() {
                    Some(FinalAnswer::Delivered) => world.deliveries > 0,
                    Some(FinalAnswer::Rejected) => {
                        world.deliveries == 0 && !world.nodes[1..].iter().any(|node| node.record.is_held())
                    }
                    Some(FinalAnswer::Failed) | None => true,
                })
            }),
            Property::always(ONE_HANDOVER, |_, world: &World| !world.handed_over_twice),
            Property::always(NEVER_BACK, |_, world: &World| {
                world.nodes.iter().all(|node| node.version >= node.latest_received)
            }),
            Property::sometimes("the first owner delivers the message", |bounds: &Bounds, world: &World| {
                world.nodes[bounds.first_owner].record == Record::Finished(FinalAnswer::Delivered)
            }),
            Property::sometimes("the next owner delivers the message", |bounds: &Bounds, world: &World| {
                world.nodes[bounds.next_owner].record == Record::Finished(FinalAnswer::Delivered)
            }),
        ]
    }
}

/// Returns bounds in which the destination's owner, the second forwarder, leaves and returns. `next_owner` owns the
/// destination meanwhile.
fn bounds(next_owner: usize) -> Bounds {
    let first_owner = 1;
    let all = || (0..FORWARDERS).map(|number| member(number, 1.0)).collect::<Vec<_>>();
    let name = |number| member(number, 1.0).name;
    let first = view(1, all());
    let fits = |destination: &u64| {
        let ranked = first.ranking(*destination);
        ranked[0].name == name(first_owner) && ranked[1].name == name(next_owner)
    };
    let destination = (0..).find(fits).expect("some destination is ranked in this order");
    let rest = all().into_iter().filter(|member| member.name != name(first_owner)).collect();
    let views = vec![first, view(2, rest), view(3, all())];
    Bounds {
        views,
        destination,
        first_owner,
        next_owner,
        idempotent: false,
        crashes: 1,
        offers: 2,
        mutant: Mutant::None,
    }
}

fn check(bounds: Bounds) -> impl Checker<Bounds> {
    bounds.checker().threads(4).finish_when(HasDiscoveries::AnyFailures).spawn_bfs().join()
}

fn assert_holds(what: &str, bounds: Bounds) {
    let checker = check(bounds);
    println!("{what}: {} states, longest path: {} steps", checker.unique_state_count(), checker.max_depth());
    checker.assert_properties();
}

#[test]
fn non_idempotent_message_has_one_final_answer_when_a_third_forwarder_takes_over() {
    assert_holds("not idempotent, a third forwarder takes over", bounds(2));
}

#[test]
fn non_idempotent_message_has_one_final_answer_when_the_holder_takes_over() {
    assert_holds("not idempotent, the holder takes over", bounds(HOLDER));
}

#[test]
fn idempotent_message_is_never_lost() {
    assert_holds("idempotent, a third forwarder takes over", Bounds { idempotent: true, ..bounds(2) });
    assert_holds("idempotent, the holder takes over", Bounds { idempotent: true, ..bounds(HOLDER) });
}

// The check must find a violation when a part of the protocol is disabled.
#[test]
fn each_mutant_violates_its_property() {
    for (mutant, property, next_owner) in [
        (Mutant::EndsBeforeAnswer, ONE_ANSWER, 2),
        (Mutant::LostIsRejected, NO_REPEAT, 2),
        (Mutant::RejectionSettlesDoubt, NO_REPEAT, HOLDER),
        (Mutant::MarkIgnored, ONE_HANDOVER, 2),
        (Mutant::IdempotencyIgnored, NO_REPEAT, 2),
        (Mutant::ForgetsEarly, NO_REPEAT, 2),
        (Mutant::LateOffers, NO_REPEAT, 2),
        (Mutant::OlderViews, NEVER_BACK, 2),
    ] {
        let model = Bounds { mutant, ..bounds(next_owner) }.checker().threads(4);
        let found = HasDiscoveries::AnyOf([property].into_iter().collect());
        let checker = model.finish_when(found).spawn_bfs().join();
        let path =
            checker.discovery(property).unwrap_or_else(|| panic!("{mutant:?} does not violate: {property}"));
        let steps = path.into_actions();
        println!(
            "{mutant:?}: violation found after {} states, by {} steps: {steps:?}",
            checker.unique_state_count(),
            steps.len()
        );
    }
}
