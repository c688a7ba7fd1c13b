//! Model checking of the way of one message between forwarders (`docs/ownership.md`, "The way of a message"): the one
//! that took it from a client, its owner, and a third; every order of answers, losses, deaths, restarts and views heard
//! late, within the bounds given. A forwarder that is frozen or cut off is one that takes no step for a while.
//!
//! The members, the views and who owns the destination by them are the package's own.

mod common;

use common::{member, view};
use orchidyoke_ownership::{Partition, View};
use stateright::{Checker, HasDiscoveries, Model, Property};

const FORWARDERS: usize = 3;
/// The forwarder that took the message from a client.
const TAKER: usize = 0;

const ONE_END: &str = "one holder or one end, until the taker stops asking who may have it";
const NO_REPEAT: &str = "what must not be repeated runs once";
const TRUE_ENDS: &str = "each end that is said is true";
const ONE_HAND_OVER: &str = "only the taker hands it over";
const NEVER_BACK: &str = "nobody goes back to an older view";

/// What is taken away, so that the check must find what it was there for.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Mutant {
    None,
    /// The taker's record ends with the offer, not with its 202.
    EndsBeforeAnswer,
    /// An offer without an answer counts as refused.
    LostIsRefused,
    /// A refusal counts for the offers before it, too.
    RefusalSettlesDoubt,
    /// A forwarder that takes a marked message over hands it on to whom it thinks the owner.
    MarkIgnored,
    /// Who may have it is gone: it goes to the next owner, whatever its class.
    ClassIgnored,
    /// Ids of messages that have ended are forgotten while they may still be asked for.
    ForgetsEarly,
    /// An offer is taken on however late it is read.
    LateOffers,
    /// Views are taken in whatever order they come.
    OlderViews,
}

/// What has become of a message, as its client is told or would be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum End {
    Delivered,
    /// It may have run.
    Failed,
    /// It never ran, and may be handed in again.
    Returned,
}

/// The message in one forwarder's journal, as a restart finds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Record {
    /// Not known, or not any more.
    Unknown,
    /// Taken on, and to be placed.
    Queued {
        /// It was handed over by another.
        marked: bool,
        /// An attempt, or an offer that is not asked about any more, may have run it.
        may_have_run: bool,
    },
    /// Offered to this forwarder, which may have it.
    Offered {
        to: usize,
        /// An offer has had no answer.
        in_doubt: bool,
        may_have_run: bool,
    },
    /// A call is out; `ran`: the partner has run it.
    Out {
        marked: bool,
        may_have_run: bool,
        ran: bool,
    },
    HandedOver,
    Ended(End),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Node {
    up: bool,
    /// The version of its view.
    version: usize,
    /// The latest that it has heard of.
    heard: usize,
    record: Record,
}

/// An offer on its way.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Request {
    from: usize,
    to: usize,
    /// Its sender still waits for the answer.
    awaited: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    nodes: Vec<Node>,
    requests: Vec<Request>,
    /// An answer on its way to the taker: whether the owner has taken it.
    answer: Option<bool>,
    /// The version of the registry.
    latest: usize,
    /// The time is over in which an offer may be asked again under its id.
    late: bool,
    /// Times that the taker has stopped asking who may have it.
    splits: usize,
    /// Times that it ran.
    runs: u8,
    /// Ends that the forwarders have forgotten.
    forgotten: usize,
    /// Somebody handed it over who had it from another.
    handed_on: bool,
    deaths: u8,
    /// Offers that may still be made.
    offers: u8,
}

#[derive(Clone, Debug, PartialEq)]
enum Step {
    ViewChanges,
    Hear(usize, usize),
    Place(usize),
    Read(usize, bool),
    LoseRequest(usize),
    HearAnswer,
    Unreached,
    TimeOut,
    AskAgain,
    StopAsking,
    TimePasses,
    GiveUp,
    Run(usize),
    HearPartner(usize),
    LosePartner(usize),
    Forget(usize),
    Die(usize),
    Restart(usize),
}

struct Bounds {
    /// The views of the registry, one after the other.
    views: Vec<View>,
    destination: u64,
    /// Its owner while all are there, and while that one is away.
    first_owner: usize,
    next_owner: usize,
    repeatable: bool,
    deaths: u8,
    offers: u8,
    mutant: Mutant,
}

impl Record {
    fn is_held(self) -> bool {
        matches!(self, Record::Queued { .. } | Record::Out { .. })
    }

    fn end(self) -> Option<End> {
        match self {
            Record::Ended(end) => Some(end),
            _ => None,
        }
    }
}

impl World {
    fn taker(&mut self) -> &mut Record {
        &mut self.nodes[TAKER].record
    }

    /// The taker waits no longer for an answer; what it has sent may still be read.
    fn stop_waiting(&mut self) {
        self.answer = None;
        self.requests.iter_mut().for_each(|request| request.awaited = false);
        self.requests.sort();
    }

    fn send(&mut self, from: usize, to: usize) {
        self.offers -= 1;
        self.handed_on |= from != TAKER;
        self.requests.push(Request { from, to, awaited: true });
        self.requests.sort();
    }

    /// Whether the taker is out for an answer.
    fn is_waiting(&self) -> bool {
        self.answer.is_some() || self.requests.iter().any(|request| request.awaited)
    }
}

impl Bounds {
    fn member(&self, world: &World, node: usize, of: usize) -> bool {
        self.views[world.nodes[node].version].member(&member(of, 1.0).name).is_some()
    }

    fn owner(&self, world: &World, node: usize) -> usize {
        let owner = self.views[world.nodes[node].version].owner(self.destination).expect("there are members");
        (0..FORWARDERS).find(|place| member(*place, 1.0).name == owner.name).expect("it is one of them")
    }

    /// The messages of this node go to their owner: a call, or an offer.
    fn place(&self, world: &mut World, node: usize) -> Option<()> {
        let Record::Queued { marked, may_have_run } = world.nodes[node].record else { return None };
        let owner = self.owner(world, node);
        let bound = marked && self.mutant != Mutant::MarkIgnored;
        if owner == node || bound {
            world.nodes[node].record = Record::Out { marked, may_have_run, ran: false };
            return Some(());
        }
        if world.offers == 0 || world.late {
            return None;
        }
        world.nodes[node].record = match self.mutant {
            Mutant::EndsBeforeAnswer => Record::HandedOver,
            _ => Record::Offered { to: owner, in_doubt: false, may_have_run },
        };
        world.send(node, owner);
        Some(())
    }

    /// An offer is read by who it was sent to.
    fn read(&self, world: &mut World, place: usize, takes: bool) -> Option<()> {
        let request = world.requests.remove(place);
        let node = world.nodes.get_mut(request.to).filter(|node| node.up)?;
        let known = node.record != Record::Unknown;
        let in_time = !world.late || self.mutant == Mutant::LateOffers;
        let taken = known || takes && in_time;
        if known && !takes {
            return None;
        }
        if taken && !known {
            node.record = Record::Queued { marked: true, may_have_run: false };
        }
        if request.awaited {
            world.answer = Some(taken);
        }
        Some(())
    }

    fn hear_answer(&self, world: &mut World) -> Option<()> {
        let taken = world.answer.take()?;
        let Record::Offered { to, in_doubt, may_have_run } = *world.taker() else { return Some(()) };
        let settles = !in_doubt || self.mutant == Mutant::RefusalSettlesDoubt;
        *world.taker() = match taken {
            true => Record::HandedOver,
            false if settles => Record::Queued { marked: false, may_have_run },
            false => Record::Offered { to, in_doubt, may_have_run },
        };
        Some(())
    }

    fn time_out(&self, world: &mut World) -> Option<()> {
        let Record::Offered { to, may_have_run, .. } = *world.taker() else { return None };
        world.stop_waiting();
        *world.taker() = match self.mutant {
            Mutant::LostIsRefused => Record::Queued { marked: false, may_have_run },
            _ => Record::Offered { to, in_doubt: true, may_have_run },
        };
        Some(())
    }

    /// The owner was not reached: it has seen nothing of this offer.
    fn unreached(&self, world: &mut World) -> Option<()> {
        let Record::Offered { to, in_doubt, may_have_run } = *world.taker() else { return None };
        if world.nodes[to].up {
            return None;
        }
        let awaited = world.requests.iter().position(|request| request.awaited)?;
        world.requests.remove(awaited);
        if !in_doubt {
            *world.taker() = Record::Queued { marked: false, may_have_run };
        }
        Some(())
    }

    /// Who may have it is no member any more, or the time to ask is over.
    fn stop_asking(&self, world: &mut World) -> Option<()> {
        let Record::Offered { to, in_doubt: true, .. } = *world.taker() else { return None };
        let gone = !self.member(world, TAKER, to);
        if !gone && !world.late {
            return None;
        }
        world.splits += 1;
        let again = self.repeatable || self.mutant == Mutant::ClassIgnored;
        *world.taker() = if again && !world.late {
            Record::Queued { marked: false, may_have_run: true }
        } else {
            Record::Ended(End::Failed)
        };
        Some(())
    }

    /// The partner's answer to a call, or that there was none.
    fn hear_partner(&self, world: &mut World, node: usize, answered: bool) -> Option<()> {
        let Record::Out { marked, ran: true, .. } = world.nodes[node].record else { return None };
        world.nodes[node].record = match answered {
            true => Record::Ended(End::Delivered),
            false => self.after_unknown(marked),
        };
        Some(())
    }

    /// After a call that may have run.
    fn after_unknown(&self, marked: bool) -> Record {
        if self.repeatable {
            Record::Queued { marked, may_have_run: true }
        } else {
            Record::Ended(End::Failed)
        }
    }

    fn restart(&self, world: &mut World, node: usize) -> Option<()> {
        world.nodes[node].up = true;
        world.nodes[node].record = match world.nodes[node].record {
            Record::Out { marked, .. } => self.after_unknown(marked),
            Record::Offered { to, may_have_run, .. } => Record::Offered { to, in_doubt: true, may_have_run },
            record => record,
        };
        Some(())
    }

    fn may_forget(&self, world: &World, node: usize) -> bool {
        let ended = matches!(world.nodes[node].record, Record::Ended(_));
        let may_be_asked = !world.late;
        node != TAKER && ended && (!may_be_asked || self.mutant == Mutant::ForgetsEarly)
    }

    fn take(&self, world: &mut World, step: &Step) -> Option<()> {
        match *step {
            Step::ViewChanges => world.latest += 1,
            Step::Hear(node, version) => {
                let mut partition = Partition::new(self.views[world.nodes[node].version].clone(), []);
                let refused = partition.replace(self.views[version].clone()).is_err();
                if refused && self.mutant != Mutant::OlderViews {
                    return None;
                }
                let node = &mut world.nodes[node];
                (node.version, node.heard) = (version, node.heard.max(version));
            }
            Step::Place(node) => self.place(world, node)?,
            Step::Read(request, takes) => self.read(world, request, takes)?,
            Step::LoseRequest(request) => drop(world.requests.remove(request)),
            Step::HearAnswer => self.hear_answer(world)?,
            Step::Unreached => self.unreached(world)?,
            Step::TimeOut => self.time_out(world)?,
            Step::AskAgain => {
                let Record::Offered { to, in_doubt: true, .. } = *world.taker() else { return None };
                world.send(TAKER, to);
            }
            Step::StopAsking => self.stop_asking(world)?,
            Step::TimePasses => world.late = true,
            Step::GiveUp => {
                let Record::Queued { may_have_run: false, .. } = *world.taker() else { return None };
                *world.taker() = Record::Ended(End::Returned);
            }
            Step::Run(node) => {
                let Record::Out { marked, may_have_run, ran: false } = world.nodes[node].record else {
                    return None;
                };
                world.nodes[node].record = Record::Out { marked, may_have_run, ran: true };
                world.runs = (world.runs + 1).min(2);
            }
            Step::HearPartner(node) => self.hear_partner(world, node, true)?,
            Step::LosePartner(node) => self.hear_partner(world, node, false)?,
            Step::Forget(node) => {
                world.nodes[node].record = Record::Unknown;
                world.forgotten += 1;
            }
            Step::Die(node) => {
                world.deaths -= 1;
                world.nodes[node].up = false;
                if node == TAKER || world.answer.is_some() {
                    world.stop_waiting();
                }
            }
            Step::Restart(node) => self.restart(world, node)?,
        }
        Some(())
    }

    /// What the taker may do while it waits for an answer, and when none is out.
    fn taker_steps(&self, world: &World, steps: &mut Vec<Step>) {
        let may_ask = world.offers > 0 && !world.late;
        match world.nodes[TAKER].record {
            Record::Offered { to, in_doubt, .. } => {
                if world.answer.is_some() {
                    steps.push(Step::HearAnswer);
                }
                if world.is_waiting() || !in_doubt {
                    steps.extend([Step::TimeOut, Step::Unreached]);
                    return;
                }
                if may_ask && self.member(world, TAKER, to) {
                    steps.push(Step::AskAgain);
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
        steps.extend(versions.map(|version| Step::Hear(place, version)));
        if world.deaths > 0 {
            steps.push(Step::Die(place));
        }
        match node.record {
            Record::Queued { .. } => steps.push(Step::Place(place)),
            Record::Out { ran: false, .. } => steps.push(Step::Run(place)),
            Record::Out { ran: true, .. } => {
                steps.extend([Step::HearPartner(place), Step::LosePartner(place)]);
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
        let node = Node { up: true, version: 0, heard: 0, record: Record::Unknown };
        let mut nodes = vec![node; FORWARDERS];
        nodes[TAKER].record = Record::Queued { marked: false, may_have_run: false };
        vec![World {
            nodes,
            requests: Vec::new(),
            answer: None,
            latest: 0,
            late: false,
            splits: 0,
            runs: 0,
            forgotten: 0,
            handed_on: false,
            deaths: self.deaths,
            offers: self.offers,
        }]
    }

    fn actions(&self, world: &World, steps: &mut Vec<Step>) {
        if world.latest + 1 < self.views.len() {
            steps.push(Step::ViewChanges);
        }
        if !world.late {
            steps.push(Step::TimePasses);
        }
        if world.nodes[TAKER].up {
            self.taker_steps(world, steps);
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
        self.take(&mut next, &step)?;
        (next != *world).then_some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(ONE_END, |_, world: &World| {
                let records = || world.nodes.iter().map(|node| node.record);
                let there = records().filter(|record| record.is_held() || record.end().is_some()).count();
                let count = there + world.forgotten;
                let offered = records().any(|record| matches!(record, Record::Offered { .. }));
                (1..=1 + world.splits).contains(&count) || count == 0 && offered
            }),
            Property::always(NO_REPEAT, |bounds: &Bounds, world: &World| bounds.repeatable || world.runs < 2),
            Property::always(TRUE_ENDS, |_, world: &World| {
                world.nodes.iter().all(|node| match node.record.end() {
                    Some(End::Delivered) => world.runs > 0,
                    Some(End::Returned) => {
                        world.runs == 0 && !world.nodes[1..].iter().any(|node| node.record.is_held())
                    }
                    Some(End::Failed) | None => true,
                })
            }),
            Property::always(ONE_HAND_OVER, |_, world: &World| !world.handed_on),
            Property::always(NEVER_BACK, |_, world: &World| {
                world.nodes.iter().all(|node| node.version >= node.heard)
            }),
            Property::sometimes("the first owner delivers it", |bounds: &Bounds, world: &World| {
                world.nodes[bounds.first_owner].record == Record::Ended(End::Delivered)
            }),
            Property::sometimes("the next owner delivers it", |bounds: &Bounds, world: &World| {
                world.nodes[bounds.next_owner].record == Record::Ended(End::Delivered)
            }),
        ]
    }
}

/// A region in which the owner of a destination, the second forwarder, leaves and comes back. Meanwhile the given one owns it.
fn bounds(next_owner: usize) -> Bounds {
    let first_owner = 1;
    let all = || (0..FORWARDERS).map(|number| member(number, 1.0)).collect::<Vec<_>>();
    let name = |number| member(number, 1.0).name;
    let first = view(1, all());
    let fits = |destination: &u64| {
        let ranked = first.ranking(*destination);
        ranked[0].name == name(first_owner) && ranked[1].name == name(next_owner)
    };
    let destination = (0..).find(fits).expect("there is one");
    let rest = all().into_iter().filter(|member| member.name != name(first_owner)).collect();
    let views = vec![first, view(2, rest), view(3, all())];
    Bounds {
        views,
        destination,
        first_owner,
        next_owner,
        repeatable: false,
        deaths: 1,
        offers: 2,
        mutant: Mutant::None,
    }
}

fn check(bounds: Bounds) -> impl Checker<Bounds> {
    bounds.checker().threads(4).finish_when(HasDiscoveries::AnyFailures).spawn_bfs().join()
}

fn holds(what: &str, bounds: Bounds) {
    let checker = check(bounds);
    println!("{what}: {} states, the longest path {}", checker.unique_state_count(), checker.max_depth());
    checker.assert_properties();
}

#[test]
fn what_must_not_be_repeated_has_one_end_when_a_third_takes_over() {
    holds("not repeatable, a third is next", bounds(2));
}

#[test]
fn what_must_not_be_repeated_has_one_end_when_the_taker_takes_over() {
    holds("not repeatable, the taker is next", bounds(TAKER));
}

#[test]
fn what_may_be_repeated_is_never_lost() {
    holds("repeatable, a third is next", Bounds { repeatable: true, ..bounds(2) });
    holds("repeatable, the taker is next", Bounds { repeatable: true, ..bounds(TAKER) });
}

// What has to be found when a part of the protocol is taken away.
#[test]
fn each_part_that_is_taken_away_is_missed() {
    for (mutant, property, next_owner) in [
        (Mutant::EndsBeforeAnswer, ONE_END, 2),
        (Mutant::LostIsRefused, NO_REPEAT, 2),
        (Mutant::RefusalSettlesDoubt, NO_REPEAT, TAKER),
        (Mutant::MarkIgnored, ONE_HAND_OVER, 2),
        (Mutant::ClassIgnored, NO_REPEAT, 2),
        (Mutant::ForgetsEarly, NO_REPEAT, 2),
        (Mutant::LateOffers, NO_REPEAT, 2),
        (Mutant::OlderViews, NEVER_BACK, 2),
    ] {
        let model = Bounds { mutant, ..bounds(next_owner) }.checker().threads(4);
        let found = HasDiscoveries::AnyOf([property].into_iter().collect());
        let checker = model.finish_when(found).spawn_bfs().join();
        let path = checker.discovery(property).unwrap_or_else(|| panic!("{mutant:?} is not found"));
        let steps = path.into_actions();
        println!(
            "{mutant:?}: found after {} states, by {} steps: {steps:?}",
            checker.unique_state_count(),
            steps.len()
        );
    }
}
