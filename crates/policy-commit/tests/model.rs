//! Model checking of the protocol: the agent that forwarders run and the verdict that proposers go by, against a store
//! that keeps its promises and nothing more, over every order of looks, writes, losses, crashes and expiries within the
//! bounds given.

use orchidyoke_core::interface::Micros;
use orchidyoke_policy_commit::participant::{Agent, Effect, Input};
use orchidyoke_policy_commit::commit_point::{Member, MemberStatus, NumberedPolicy, Point};
use orchidyoke_policy_commit::commit_decision::{Verdict, verdict};
use stateright::{Checker, HasDiscoveries, Model, Property};

/// A step of the clock is one unit. The store gives a silent forwarder up after this long; a look counts for less.
const TTL: Micros = 3;
const SPAN: Micros = 2;
/// A policy that the second forwarder cannot use.
const BAD: &str = "bad";

const COMMITTED: &str = "only what is committed is acted on";
const ONCE: &str = "each number is committed once, in order";
const BOUND: &str = "who is in contact is behind for less than the span";
const USABLE: &str = "nothing is committed that one who is there cannot use";

/// What is taken away, so that the check must find what it was there for.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Mutant {
    None,
    /// The commit is a plain write.
    NoCheckAndSet,
    /// A proposer does not wait for votes.
    NoVotes,
    /// A forwarder acts on what is staged.
    ActsOnStaged,
    /// A forwarder counts its contact from the answer.
    FromAnswer,
}

struct Bounds {
    proposers: usize,
    /// The last proposer's policy is one that the second forwarder cannot use.
    bad: bool,
    until: Micros,
    /// Forwarders that crash; proposals that are withdrawn, or go with their proposer.
    crashes: u8,
    losses: u8,
    mutant: Mutant,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Node {
    agent: Agent,
    /// What its disk holds.
    held: Option<NumberedPolicy>,
    staged: Option<NumberedPolicy>,
    /// A look on its way back, with when it was sent.
    looked: Option<(Micros, Point)>,
    /// It has something to say to the store.
    tells: bool,
    /// What it acts by.
    acts_by: Option<NumberedPolicy>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Proposer {
    Idle,
    /// Has read the commit point.
    Read(Point),
    /// Holds the proposal; what it has seen of the members.
    Proposed(NumberedPolicy, Option<Vec<Member>>),
    /// Its commit is on its way.
    Sent {
        mine: NumberedPolicy,
        proposal: u64,
        committed: u64,
    },
    Over,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    clock: Micros,
    point: Point,
    index: u64,
    /// The forwarders' keys, with when each was renewed.
    keys: Vec<Option<(MemberStatus, Micros)>>,
    nodes: Vec<Node>,
    proposers: Vec<Proposer>,
    /// All that was ever committed, and when.
    history: Vec<(NumberedPolicy, Micros)>,
    /// Forwarders that were given up by the store or have crashed.
    away: bool,
    crashes: u8,
    losses: u8,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Step {
    Pass,
    Look(usize),
    Hear(usize),
    Tell(usize),
    Expire(usize),
    Crash(usize),
    Read(usize),
    Acquire(usize),
    Members(usize),
    Decide(usize),
    Commit(usize),
    /// The proposer dies, or its session is given up, or an operator withdraws what it has proposed.
    Withdrawn(usize),
}

impl World {
    fn tell(&mut self, mutant: Mutant, place: usize, input: Input) {
        let node = &mut self.nodes[place];
        let mut effects: std::collections::VecDeque<_> = node.agent.step(input).into();
        while let Some(effect) = effects.pop_front() {
            let usable = |numbered: &NumberedPolicy| {
                if place == 1 && numbered.policy == BAD { Err("not here".to_owned()) } else { Ok(()) }
            };
            match effect {
                Effect::Stage(numbered) => {
                    let outcome = usable(&numbered);
                    if outcome.is_ok() {
                        node.staged = Some(numbered.clone());
                        if mutant == Mutant::ActsOnStaged {
                            node.acts_by = Some(numbered.clone());
                        }
                    }
                    effects.extend(node.agent.step(Input::Staged(numbered.id, outcome)));
                }
                Effect::Unstage => node.staged = None,
                Effect::Apply(numbered) => {
                    let outcome = usable(&numbered);
                    if outcome.is_ok() {
                        (node.held, node.acts_by) = (Some(numbered.clone()), Some(numbered.clone()));
                    }
                    effects.extend(node.agent.step(Input::Applied(numbered.id, outcome)));
                }
                Effect::Tell(_) => node.tells = true,
            }
        }
    }

    fn members(&self) -> Vec<Member> {
        let member = |(place, key): (usize, &Option<(MemberStatus, Micros)>)| {
            let (status, _) = key.clone()?;
            Some(Member { id: place.to_string(), status: Some(status) })
        };
        self.keys.iter().enumerate().filter_map(member).collect()
    }

    fn holds(&self, mine: &NumberedPolicy, index: u64) -> bool {
        self.point.proposal.as_ref().is_some_and(|(there, at, _)| there.id == mine.id && *at == index)
    }

    fn withdraw(&mut self, mine: &NumberedPolicy) {
        if self.point.proposal.as_ref().is_some_and(|(there, ..)| there.id == mine.id) {
            self.index += 1;
            self.point.proposal = None;
        }
    }
}

impl Model for Bounds {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let node = Node {
            agent: Agent::default(),
            held: None,
            staged: None,
            looked: None,
            tells: true,
            acts_by: None,
        };
        vec![World {
            clock: 0,
            point: Point::default(),
            index: 0,
            keys: vec![Some((MemberStatus::default(), 0)); 2],
            nodes: vec![node; 2],
            proposers: vec![Proposer::Idle; self.proposers],
            history: Vec::new(),
            away: false,
            crashes: 0,
            losses: 0,
        }]
    }

    fn actions(&self, world: &World, steps: &mut Vec<Step>) {
        if world.clock < self.until {
            steps.push(Step::Pass);
        }
        for (place, node) in world.nodes.iter().enumerate() {
            // A look that is sent again takes the place of one whose answer is lost.
            let fresh =
                node.looked.as_ref().is_none_or(|(sent, seen)| (*sent, seen) != (world.clock, &world.point));
            if fresh {
                steps.push(Step::Look(place));
            }
            if node.looked.is_some() {
                steps.push(Step::Hear(place));
            }
            if node.tells || world.keys[place].as_ref().is_none_or(|(_, at)| *at < world.clock) {
                steps.push(Step::Tell(place));
            }
            if world.keys[place].as_ref().is_some_and(|(_, at)| world.clock >= at + TTL) {
                steps.push(Step::Expire(place));
            }
            if world.crashes < self.crashes {
                steps.push(Step::Crash(place));
            }
        }
        for (place, proposer) in world.proposers.iter().enumerate() {
            match proposer {
                Proposer::Idle => steps.push(Step::Read(place)),
                Proposer::Read(_) => steps.push(Step::Acquire(place)),
                Proposer::Proposed(_, None) => steps.push(Step::Members(place)),
                Proposer::Proposed(_, Some(_)) => steps.push(Step::Decide(place)),
                Proposer::Sent { .. } => steps.push(Step::Commit(place)),
                Proposer::Over => {}
            }
            let proposed = matches!(proposer, Proposer::Proposed(..) | Proposer::Sent { .. });
            if proposed && world.losses < self.losses {
                steps.push(Step::Withdrawn(place));
            }
        }
    }

    fn next_state(&self, last: &World, step: Step) -> Option<World> {
        let mut world = last.clone();
        match step {
            Step::Pass => world.clock += 1,
            Step::Look(place) => world.nodes[place].looked = Some((world.clock, world.point.clone())),
            Step::Hear(place) => {
                let (sent, point) = world.nodes[place].looked.take()?;
                let sent = if self.mutant == Mutant::FromAnswer { world.clock } else { sent };
                world.tell(self.mutant, place, Input::Looked(sent, Box::new(point)));
            }
            Step::Tell(place) => {
                world.nodes[place].tells = false;
                world.keys[place] = Some((world.nodes[place].agent.member_status(), world.clock));
            }
            Step::Expire(place) => {
                world.away = true;
                world.keys[place] = None;
            }
            Step::Crash(place) => {
                (world.crashes, world.away) = (world.crashes + 1, true);
                let node = &mut world.nodes[place];
                node.agent = Agent::new(node.held.clone(), node.staged.clone());
                (node.looked, node.acts_by, node.tells) = (None, node.held.clone(), true);
            }
            Step::Read(place) => world.proposers[place] = Proposer::Read(world.point.clone()),
            Step::Acquire(place) => {
                let Proposer::Read(point) = &last.proposers[place] else { return None };
                let policy = if self.bad && place + 1 == self.proposers { BAD } else { "good" };
                let mine = NumberedPolicy::new(
                    place.to_string(),
                    point.epoch() + 1,
                    policy.to_owned(),
                    String::new(),
                );
                world.proposers[place] = if world.point.proposal.is_some() {
                    Proposer::Over
                } else {
                    world.index += 1;
                    world.point.proposal = Some((mine.clone(), world.index, Some(place.to_string())));
                    Proposer::Proposed(mine, None)
                };
            }
            Step::Members(place) => {
                let members = world.members();
                if let Proposer::Proposed(_, seen) = &mut world.proposers[place] {
                    *seen = Some(members);
                }
            }
            Step::Decide(place) => {
                let Proposer::Proposed(mine, Some(members)) = &last.proposers[place] else { return None };
                let members = if self.mutant == Mutant::NoVotes { &[][..] } else { members };
                world.proposers[place] = match verdict(mine, &last.point, members) {
                    Verdict::Wait(_) => Proposer::Proposed(mine.clone(), None),
                    Verdict::Commit { proposal, committed } => {
                        Proposer::Sent { mine: mine.clone(), proposal, committed }
                    }
                    Verdict::Refused(_) | Verdict::Lost => {
                        world.withdraw(mine);
                        Proposer::Over
                    }
                };
            }
            Step::Commit(place) => {
                let Proposer::Sent { mine, proposal, committed } = &last.proposers[place] else {
                    return None;
                };
                let there = last.point.committed.as_ref().map_or(0, |(_, index)| *index);
                let checked = last.holds(mine, *proposal) && there == *committed;
                if checked || self.mutant == Mutant::NoCheckAndSet {
                    world.withdraw(mine);
                    world.index += 1;
                    world.point.committed = Some((mine.clone(), world.index));
                    world.history.push((mine.clone(), world.clock));
                }
                world.proposers[place] = Proposer::Over;
            }
            Step::Withdrawn(place) => {
                world.losses += 1;
                if let Proposer::Proposed(mine, _) | Proposer::Sent { mine, .. } = &last.proposers[place] {
                    world.withdraw(mine);
                }
            }
        }
        Some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(COMMITTED, |_, world: &World| {
                let committed =
                    |numbered: &NumberedPolicy| world.history.iter().any(|(there, _)| there == numbered);
                world.nodes.iter().all(|node| node.acts_by.as_ref().is_none_or(committed))
            }),
            Property::always(ONCE, |_, world: &World| {
                world.history.iter().enumerate().all(|(place, (there, _))| there.epoch == place as u64 + 1)
            }),
            Property::always(BOUND, |_, world: &World| {
                world.nodes.iter().all(|node| {
                    let behind = |(numbered, at): &(NumberedPolicy, Micros)| {
                        numbered.epoch > node.agent.epoch() && world.clock >= at + SPAN
                    };
                    node.agent.unready_reason(world.clock, SPAN).is_some()
                        || !world.history.iter().any(behind)
                })
            }),
            Property::always(USABLE, |_, world: &World| {
                world.away || world.history.iter().all(|(numbered, _)| numbered.policy != BAD)
            }),
            Property::sometimes("a policy is in force everywhere", |_, world: &World| {
                world.nodes.iter().all(|node| node.acts_by.as_ref().is_some_and(|by| by.policy == "good"))
            }),
            Property::sometimes("two policies, one after the other", |_, world: &World| {
                world.history.len() == 2
            }),
        ]
    }
}

fn check(bounds: Bounds) -> impl Checker<Bounds> {
    bounds.checker().threads(2).finish_when(HasDiscoveries::AnyFailures).spawn_bfs().join()
}

// Two proposers, a withdrawal or a death among them, a crash: without the clock.
#[test]
fn every_order_keeps_everywhere_or_nowhere() {
    let checker =
        check(Bounds { proposers: 2, bad: false, until: 0, crashes: 1, losses: 1, mutant: Mutant::None });
    println!("{} states", checker.unique_state_count());
    checker.assert_properties();
    let checker =
        check(Bounds { proposers: 2, bad: true, until: 0, crashes: 1, losses: 1, mutant: Mutant::None });
    println!("{} states", checker.unique_state_count());
    safe(&checker);
}

// One proposer and the clock: sessions end, looks are late.
#[test]
fn every_order_keeps_the_bound() {
    let checker =
        check(Bounds { proposers: 1, bad: false, until: 3, crashes: 0, losses: 0, mutant: Mutant::None });
    println!("{} states", checker.unique_state_count());
    safe(&checker);
    checker.assert_any_discovery("a policy is in force everywhere");
}

fn safe(checker: &impl Checker<Bounds>) {
    for property in [COMMITTED, ONCE, BOUND, USABLE] {
        checker.assert_no_discovery(property);
    }
}

/// Each part that is taken away is missed, by the property that it is there for.
#[test]
fn each_part_that_is_taken_away_is_missed() {
    for (mutant, property, proposers, bad, until, losses) in [
        (Mutant::NoCheckAndSet, ONCE, 2, false, 0, 1),
        (Mutant::NoVotes, USABLE, 2, true, 0, 0),
        (Mutant::ActsOnStaged, COMMITTED, 1, false, 0, 0),
        (Mutant::FromAnswer, BOUND, 1, false, 3, 0),
    ] {
        let checker = check(Bounds { proposers, bad, until, crashes: 0, losses, mutant });
        assert!(checker.discovery(property).is_some(), "{mutant:?} is not found");
    }
}
