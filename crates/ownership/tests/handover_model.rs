//! Model checking of the handover of one message between forwarders (`docs/ownership.md`). The forwarders are the
//! holder, which accepted the message from a client, the message's owner, and a third forwarder. The check covers every
//! order of answers, losses, crashes, restarts and late views within the bounds. A suspended or disconnected forwarder
//! is modelled as one that takes no step for a while. The check guards against a lost message, a non-idempotent message
//! that is delivered twice, a wrong final answer, a second handover and a return to an older view.
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
const DELIVERED_AT_MOST_ONCE: &str = "a non-idempotent message is delivered at most once";
const ANSWERS_ARE_TRUE: &str = "each final answer is true";
const ONE_HANDOVER: &str = "only the holder hands the message over";
const NO_OLDER_VIEW: &str = "no forwarder goes back to an older view";

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
    RejectionEndsDoubt,
    /// A forwarder hands over a message that was handed over to it, if its own view has another owner.
    HandsOverAgain,
    /// When the forwarder that may have the message has left, the holder gives a non-idempotent message to the next
    /// owner too.
    IdempotencyIgnored,
    /// Forwarders forget the ids of finished messages while these messages may still be offered again.
    ForgetsEarly,
    /// A forwarder accepts an offer however late it reads the offer.
    AcceptsLateOffers,
    /// Forwarders apply views in the order in which the views arrive, even an older one after a newer one.
    AppliesOlderViews,
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
        handed_over: bool,
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
        handed_over: bool,
        possible_delivery: bool,
        delivered: bool,
    },
    HandedOver,
    Finished(FinalAnswer),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Node {
    is_up: bool,
    /// The index of the forwarder's view in the registry's views.
    view_index: usize,
    /// The index of the latest view that the forwarder has received.
    latest_view_received: usize,
    record: Record,
}

/// An offer in flight.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Offer {
    from: usize,
    to: usize,
    /// Whether the sender still waits for the answer.
    awaited: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    nodes: Vec<Node>,
    offers_in_flight: Vec<Offer>,
    /// An answer in flight to the holder, which is `true` if the owner has accepted the message.
    answer: Option<bool>,
    /// The index of the registry's latest view.
    latest_view: usize,
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
    /// How many more crashes may happen.
    crashes: u8,
    /// How many more offers may be sent.
    offers: u8,
}

/// A step of the model. A `usize` is the number of a forwarder, except that the second one of `ReceiveView` is the
/// index of the view and that those of `ReadOffer` and `LoseOffer` are indexes of `offers_in_flight`. The `bool` of
/// `ReadOffer` says whether the receiver accepts the offer.
#[derive(Clone, Debug, PartialEq)]
enum Step {
    ViewChanges,
    ReceiveView(usize, usize),
    Dispatch(usize),
    ReadOffer(usize, bool),
    LoseOffer(usize),
    ReceiveAnswer,
    ReceiverNotReached,
    TimeOut,
    OfferAgain,
    StopAsking,
    ExpireOffers,
    Reject,
    Deliver(usize),
    ReceiveEndpointAnswer(usize),
    LoseEndpointAnswer(usize),
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
    /// How many crashes may happen.
    crashes: u8,
    /// How many offers may be sent.
    offers: u8,
    mutant: Mutant,
}

impl Record {
    /// Returns whether the forwarder has the message and has no final answer of it yet.
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
        self.offers_in_flight.iter_mut().for_each(|offer| offer.awaited = false);
        self.offers_in_flight.sort();
    }

    fn send(&mut self, from: usize, to: usize) {
        self.offers -= 1;
        self.handed_over_twice |= from != HOLDER;
        self.offers_in_flight.push(Offer { from, to, awaited: true });
        self.offers_in_flight.sort();
    }

    /// Returns whether the holder waits for an answer.
    fn is_waiting(&self) -> bool {
        self.answer.is_some() || self.offers_in_flight.iter().any(|offer| offer.awaited)
    }
}

impl Bounds {
    fn member(&self, world: &World, node: usize, other: usize) -> bool {
        self.views[world.nodes[node].view_index].member(&member(other, 1.0).name).is_some()
    }

    fn owner(&self, world: &World, node: usize) -> usize {
        let owner =
            self.views[world.nodes[node].view_index].owner(self.destination).expect("the view has members");
        (0..FORWARDERS)
            .find(|index| member(*index, 1.0).name == owner.name)
            .expect("the owner is one of the forwarders")
    }

    /// Starts an attempt, or offers the message to its owner.
    fn dispatch(&self, world: &mut World, node: usize) -> Option<()> {
        let Record::Queued { handed_over, possible_delivery } = world.nodes[node].record else {
            return None;
        };
        let owner = self.owner(world, node);
        let stays_here = handed_over && self.mutant != Mutant::HandsOverAgain;
        if owner == node || stays_here {
            world.nodes[node].record = Record::InFlight { handed_over, possible_delivery, delivered: false };
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
    fn read_offer(&self, world: &mut World, index: usize, accepts: bool) -> Option<()> {
        let offer = world.offers_in_flight.remove(index);
        let node = world.nodes.get_mut(offer.to).filter(|node| node.is_up)?;
        let known = node.record != Record::Unknown;
        let in_time = !world.offers_expired || self.mutant == Mutant::AcceptsLateOffers;
        let accepted = known || accepts && in_time;
        if known && !accepts {
            return None;
        }
        if accepted && !known {
            node.record = Record::Queued { handed_over: true, possible_delivery: false };
        }
        if offer.awaited {
            world.answer = Some(accepted);
        }
        Some(())
    }

    fn receive_answer(&self, world: &mut World) -> Option<()> {
        let accepted = world.answer.take()?;
        let Record::Offered { to, in_doubt, possible_delivery } = *world.holder_record() else {
            return Some(());
        };
        let ends_doubt = !in_doubt || self.mutant == Mutant::RejectionEndsDoubt;
        *world.holder_record() = match accepted {
            true => Record::HandedOver,
            false if ends_doubt => Record::Queued { handed_over: false, possible_delivery },
            false => Record::Offered { to, in_doubt, possible_delivery },
        };
        Some(())
    }

    fn time_out(&self, world: &mut World) -> Option<()> {
        let Record::Offered { to, possible_delivery, .. } = *world.holder_record() else { return None };
        world.stop_waiting();
        *world.holder_record() = match self.mutant {
            Mutant::LostIsRejected => Record::Queued { handed_over: false, possible_delivery },
            _ => Record::Offered { to, in_doubt: true, possible_delivery },
        };
        Some(())
    }

    /// Handles an owner that was not reached, and therefore has not seen this offer.
    fn receiver_not_reached(&self, world: &mut World) -> Option<()> {
        let Record::Offered { to, in_doubt, possible_delivery } = *world.holder_record() else { return None };
        if world.nodes[to].is_up {
            return None;
        }
        let awaited = world.offers_in_flight.iter().position(|offer| offer.awaited)?;
        world.offers_in_flight.remove(awaited);
        if !in_doubt {
            *world.holder_record() = Record::Queued { handed_over: false, possible_delivery };
        }
        Some(())
    }

    /// Ends the holder's doubt if the forwarder that may have the message has left, or if the time to offer it again is
    /// over.
    fn stop_asking(&self, world: &mut World) -> Option<()> {
        let Record::Offered { to, in_doubt: true, .. } = *world.holder_record() else { return None };
        let has_left = !self.member(world, HOLDER, to);
        if !has_left && !world.offers_expired {
            return None;
        }
        world.abandoned_doubts += 1;
        let may_repeat = self.idempotent || self.mutant == Mutant::IdempotencyIgnored;
        *world.holder_record() = if may_repeat && !world.offers_expired {
            Record::Queued { handed_over: false, possible_delivery: true }
        } else {
            Record::Finished(FinalAnswer::Failed)
        };
        Some(())
    }

    /// Handles the endpoint's answer to an attempt, or the loss of that answer.
    fn receive_endpoint_answer(&self, world: &mut World, node: usize, answered: bool) -> Option<()> {
        let Record::InFlight { handed_over, delivered: true, .. } = world.nodes[node].record else {
            return None;
        };
        world.nodes[node].record = match answered {
            true => Record::Finished(FinalAnswer::Delivered),
            false => self.after_possible_delivery(handed_over),
        };
        Some(())
    }

    /// Returns the record after an attempt that may have delivered the message.
    fn after_possible_delivery(&self, handed_over: bool) -> Record {
        if self.idempotent {
            Record::Queued { handed_over, possible_delivery: true }
        } else {
            Record::Finished(FinalAnswer::Failed)
        }
    }

    fn restart(&self, world: &mut World, node: usize) -> Option<()> {
        world.nodes[node].is_up = true;
        world.nodes[node].record = match world.nodes[node].record {
            Record::InFlight { handed_over, .. } => self.after_possible_delivery(handed_over),
            Record::Offered { to, possible_delivery, .. } => {
                Record::Offered { to, in_doubt: true, possible_delivery }
            }
            record => record,
        };
        Some(())
    }

    fn may_forget(&self, world: &World, node: usize) -> bool {
        let is_finished = matches!(world.nodes[node].record, Record::Finished(_));
        let may_be_offered = !world.offers_expired;
        node != HOLDER && is_finished && (!may_be_offered || self.mutant == Mutant::ForgetsEarly)
    }

    fn receive_view(&self, world: &mut World, node: usize, view_index: usize) -> Option<()> {
        let mut table = OwnershipTable::new(self.views[world.nodes[node].view_index].clone(), []);
        let is_rejected = table.replace_view(self.views[view_index].clone()).is_err();
        if is_rejected && self.mutant != Mutant::AppliesOlderViews {
            return None;
        }
        let node = &mut world.nodes[node];
        node.view_index = view_index;
        node.latest_view_received = node.latest_view_received.max(view_index);
        Some(())
    }

    /// Applies a step. Returns `None` if the step is not possible.
    fn apply(&self, world: &mut World, step: &Step) -> Option<()> {
        match *step {
            Step::ViewChanges => world.latest_view += 1,
            Step::ReceiveView(node, view_index) => self.receive_view(world, node, view_index)?,
            Step::Dispatch(node) => self.dispatch(world, node)?,
            Step::ReadOffer(offer, accepts) => self.read_offer(world, offer, accepts)?,
            Step::LoseOffer(offer) => drop(world.offers_in_flight.remove(offer)),
            Step::ReceiveAnswer => self.receive_answer(world)?,
            Step::ReceiverNotReached => self.receiver_not_reached(world)?,
            Step::TimeOut => self.time_out(world)?,
            Step::OfferAgain => {
                let Record::Offered { to, in_doubt: true, .. } = *world.holder_record() else { return None };
                world.send(HOLDER, to);
            }
            Step::StopAsking => self.stop_asking(world)?,
            Step::ExpireOffers => world.offers_expired = true,
            Step::Reject => {
                let Record::Queued { possible_delivery: false, .. } = *world.holder_record() else {
                    return None;
                };
                *world.holder_record() = Record::Finished(FinalAnswer::Rejected);
            }
            Step::Deliver(node) => {
                let Record::InFlight { handed_over, possible_delivery, delivered: false } =
                    world.nodes[node].record
                else {
                    return None;
                };
                world.nodes[node].record =
                    Record::InFlight { handed_over, possible_delivery, delivered: true };
                world.deliveries = (world.deliveries + 1).min(2);
            }
            Step::ReceiveEndpointAnswer(node) => self.receive_endpoint_answer(world, node, true)?,
            Step::LoseEndpointAnswer(node) => self.receive_endpoint_answer(world, node, false)?,
            Step::Forget(node) => {
                world.nodes[node].record = Record::Unknown;
                world.forgotten += 1;
            }
            Step::Crash(node) => {
                world.crashes -= 1;
                world.nodes[node].is_up = false;
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
                    steps.extend([Step::TimeOut, Step::ReceiverNotReached]);
                    return;
                }
                if may_offer && self.member(world, HOLDER, to) {
                    steps.push(Step::OfferAgain);
                }
                steps.push(Step::StopAsking);
            }
            Record::Queued { .. } => steps.push(Step::Reject),
            _ => {}
        }
    }

    fn node_steps(&self, world: &World, index: usize, steps: &mut Vec<Step>) {
        let node = &world.nodes[index];
        if !node.is_up {
            return steps.push(Step::Restart(index));
        }
        let view_indexes = (0..=world.latest_view).filter(|view_index| *view_index != node.view_index);
        steps.extend(view_indexes.map(|view_index| Step::ReceiveView(index, view_index)));
        if world.crashes > 0 {
            steps.push(Step::Crash(index));
        }
        match node.record {
            Record::Queued { .. } => steps.push(Step::Dispatch(index)),
            Record::InFlight { delivered: false, .. } => steps.push(Step::Deliver(index)),
            Record::InFlight { delivered: true, .. } => {
                steps.extend([Step::ReceiveEndpointAnswer(index), Step::LoseEndpointAnswer(index)]);
            }
            _ if self.may_forget(world, index) => steps.push(Step::Forget(index)),
            _ => {}
        }
    }
}

impl Model for Bounds {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let node = Node { is_up: true, view_index: 0, latest_view_received: 0, record: Record::Unknown };
        let mut nodes = vec![node; FORWARDERS];
        nodes[HOLDER].record = Record::Queued { handed_over: false, possible_delivery: false };
        vec![World {
            nodes,
            offers_in_flight: Vec::new(),
            answer: None,
            latest_view: 0,
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
        if world.latest_view + 1 < self.views.len() {
            steps.push(Step::ViewChanges);
        }
        if !world.offers_expired {
            steps.push(Step::ExpireOffers);
        }
        if world.nodes[HOLDER].is_up {
            self.holder_steps(world, steps);
        }
        for node in 0..FORWARDERS {
            self.node_steps(world, node, steps);
        }
        for (index, offer) in world.offers_in_flight.iter().enumerate() {
            steps.push(Step::LoseOffer(index));
            if world.nodes[offer.to].is_up {
                steps.extend([Step::ReadOffer(index, true), Step::ReadOffer(index, false)]);
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
            Property::always(DELIVERED_AT_MOST_ONCE, |bounds: &Bounds, world: &World| {
                bounds.idempotent || world.deliveries < 2
            }),
            Property::always(ANSWERS_ARE_TRUE, |_, world: &World| {
                world.nodes.iter().all(|node| match node.record.final_answer() {
                    Some(FinalAnswer::Delivered) => world.deliveries > 0,
                    Some(FinalAnswer::Rejected) => {
                        world.deliveries == 0 && !world.nodes[1..].iter().any(|node| node.record.is_held())
                    }
                    Some(FinalAnswer::Failed) | None => true,
                })
            }),
            Property::always(ONE_HANDOVER, |_, world: &World| !world.handed_over_twice),
            Property::always(NO_OLDER_VIEW, |_, world: &World| {
                world.nodes.iter().all(|node| node.view_index >= node.latest_view_received)
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
fn new_bounds(next_owner: usize) -> Bounds {
    let first_owner = 1;
    let all = || (0..FORWARDERS).map(|number| member(number, 1.0)).collect::<Vec<_>>();
    let name = |number| member(number, 1.0).name;
    let first = view(1, all());
    let has_this_ranking = |destination: &u64| {
        let ranked = first.ranking(*destination);
        ranked[0].name == name(first_owner) && ranked[1].name == name(next_owner)
    };
    let destination = (0..).find(has_this_ranking).expect("some destination is ranked in this order");
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

fn assert_holds(label: &str, bounds: Bounds) {
    let checker = check(bounds);
    println!("{label}: {} states, longest path: {} steps", checker.unique_state_count(), checker.max_depth());
    checker.assert_properties();
}

// Guards against a non-idempotent message that is lost or delivered twice because its owner leaves during the handover
// and the third forwarder becomes the owner.
#[test]
fn non_idempotent_message_has_one_final_answer_when_a_third_forwarder_takes_over() {
    assert_holds("not idempotent, a third forwarder takes over", new_bounds(2));
}

// Guards against the same failure if the holder itself becomes the owner.
#[test]
fn non_idempotent_message_has_one_final_answer_when_the_holder_takes_over() {
    assert_holds("not idempotent, the holder takes over", new_bounds(HOLDER));
}

// Guards against an idempotent message that no forwarder has any more after its owner left during the handover.
#[test]
fn idempotent_message_is_never_lost() {
    assert_holds("idempotent, a third forwarder takes over", Bounds { idempotent: true, ..new_bounds(2) });
    assert_holds("idempotent, the holder takes over", Bounds { idempotent: true, ..new_bounds(HOLDER) });
}

// Guards against a model or bounds in which no violation can occur. The check must find a violation when a part of the
// protocol is disabled.
#[test]
fn each_mutant_violates_its_property() {
    for (mutant, property, next_owner) in [
        (Mutant::EndsBeforeAnswer, ONE_ANSWER, 2),
        (Mutant::LostIsRejected, DELIVERED_AT_MOST_ONCE, 2),
        (Mutant::RejectionEndsDoubt, DELIVERED_AT_MOST_ONCE, HOLDER),
        (Mutant::HandsOverAgain, ONE_HANDOVER, 2),
        (Mutant::IdempotencyIgnored, DELIVERED_AT_MOST_ONCE, 2),
        (Mutant::ForgetsEarly, DELIVERED_AT_MOST_ONCE, 2),
        (Mutant::AcceptsLateOffers, DELIVERED_AT_MOST_ONCE, 2),
        (Mutant::AppliesOlderViews, NO_OLDER_VIEW, 2),
    ] {
        let model = Bounds { mutant, ..new_bounds(next_owner) }.checker().threads(4);
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
