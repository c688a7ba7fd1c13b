//! Model checking of the commit protocol. The real participant of forwarders and the real decision of coordinators run
//! against a store that gives only the guarantees that the protocol requires. The check covers every order of reads,
//! writes, losses, crashes and expiries within the bounds.

use orchidyoke_core::interface::Micros;
use orchidyoke_policy_commit::commit_decision::{CommitCondition, CommitDecision, decide};
use orchidyoke_policy_commit::commit_point::{CommitPoint, Committed, Member, MemberStatus, Proposal};
use orchidyoke_policy_commit::participant::{Effect, Input, Participant};
use orchidyoke_policy_commit::policy::VersionedPolicy;
use stateright::{Checker, HasDiscoveries, Model, Property};

/// The TTL of sessions, in units of the store's clock.
const TTL: Micros = 3;
/// How long a participant is in contact after it sent a read, in units of the store's clock. This time is shorter than
/// the TTL.
const CONTACT_TIME: Micros = 2;
/// The text of a policy that the second participant cannot use.
const UNUSABLE: &str = "bad";

const ACTS_ON_COMMITTED: &str = "participants act on committed policies only";
const COMMITTED_ONCE_IN_ORDER: &str = "each version is committed once, in order";
const LAG_IS_BOUNDED: &str = "a participant in contact lags by less than the contact time";
const COMMITTED_IS_USABLE: &str = "no policy is committed that a present participant cannot use";

/// The part of the protocol that is disabled. The check must then find a violation of the property that the part
/// protects.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Mutant {
    None,
    /// The commit is a plain write without conditions.
    NoCheckAndSet,
    /// A coordinator does not wait for votes.
    NoVotes,
    /// A participant acts on a staged policy.
    ActsOnStaged,
    /// A participant's contact time starts at the answer to the read, instead of when the read is sent.
    ContactFromAnswer,
}

struct Bounds {
    coordinators: usize,
    /// Whether the second participant cannot use the last coordinator's policy.
    last_is_unusable: bool,
    /// The last time of the store's clock.
    last_time: Micros,
    /// How many crashes of participants may happen.
    crashes: u8,
    /// How many proposals may be withdrawn, or deleted with their coordinator's session.
    withdrawals: u8,
    mutant: Mutant,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Node {
    state: Participant,
    /// The policy in force that is on the participant's disk.
    in_force_on_disk: Option<VersionedPolicy>,
    staged: Option<VersionedPolicy>,
    /// The answer to a read that is in flight, with the time at which the read was sent.
    read: Option<(Micros, CommitPoint)>,
    /// Whether the participant has a status to publish.
    has_unpublished_status: bool,
    /// The policy that the participant acts on.
    acts_on: Option<VersionedPolicy>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Coordinator {
    Idle,
    /// The coordinator has read the commit point.
    Read(CommitPoint),
    /// The coordinator has written its proposal. The second value is the members as it last read them.
    Proposed(VersionedPolicy, Option<Vec<Member>>),
    /// The coordinator's commit is in flight.
    Sent {
        proposed: VersionedPolicy,
        condition: CommitCondition,
    },
    Finished,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    clock: Micros,
    point: CommitPoint,
    /// The modify index of the last change of the commit point.
    index: u64,
    /// The status in each participant's key, with the time at which the key was renewed.
    keys: Vec<Option<(MemberStatus, Micros)>>,
    participants: Vec<Node>,
    coordinators: Vec<Coordinator>,
    /// All policies that were committed, each with the time of its commit.
    history: Vec<(VersionedPolicy, Micros)>,
    /// Whether a participant has crashed, or its session has expired.
    any_absent: bool,
    /// How many crashes of participants have happened.
    crashes: u8,
    /// How many proposals have been withdrawn, or deleted with their coordinator's session.
    withdrawals: u8,
}

/// A step of the model. A `usize` is the number of a participant or of a coordinator.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Step {
    Tick,
    ReadCommitPoint(usize),
    Receive(usize),
    Publish(usize),
    Expire(usize),
    Crash(usize),
    StartProposal(usize),
    Acquire(usize),
    ReadMembers(usize),
    Decide(usize),
    Commit(usize),
    /// The coordinator crashes, its session expires, or an operator withdraws its proposal.
    Withdraw(usize),
}

impl World {
    fn step(&mut self, mutant: Mutant, number: usize, input: Input) {
        let participant = &mut self.participants[number];
        let mut effects: std::collections::VecDeque<_> = participant.state.step(input).into();
        while let Some(effect) = effects.pop_front() {
            let check_usable = |policy: &VersionedPolicy| {
                if number == 1 && policy.text == UNUSABLE { Err("not here".to_owned()) } else { Ok(()) }
            };
            match effect {
                Effect::Stage(policy) => {
                    let outcome = check_usable(&policy);
                    if outcome.is_ok() {
                        participant.staged = Some(policy.clone());
                        if mutant == Mutant::ActsOnStaged {
                            participant.acts_on = Some(policy.clone());
                        }
                    }
                    effects.extend(participant.state.step(Input::Staged { id: policy.id, outcome }));
                }
                Effect::Unstage => participant.staged = None,
                Effect::Apply(policy) => {
                    let outcome = check_usable(&policy);
                    if outcome.is_ok() {
                        participant.in_force_on_disk = Some(policy.clone());
                        participant.acts_on = Some(policy.clone());
                    }
                    effects.extend(participant.state.step(Input::Applied { id: policy.id, outcome }));
                }
                Effect::Publish(_) => participant.has_unpublished_status = true,
            }
        }
    }

    fn members(&self) -> Vec<Member> {
        let member = |(number, key): (usize, &Option<(MemberStatus, Micros)>)| {
            let (status, _) = key.clone()?;
            Some(Member { id: number.to_string(), status: Some(status) })
        };
        self.keys.iter().enumerate().filter_map(member).collect()
    }

    /// Returns whether this proposal is the open one and has not changed since `index`.
    fn is_open(&self, proposed: &VersionedPolicy, index: u64) -> bool {
        self.point
            .proposal
            .as_ref()
            .is_some_and(|proposal| proposal.policy.id == proposed.id && proposal.modify_index == index)
    }

    /// Restarts a participant with the policies on its disk.
    fn crash(&mut self, number: usize) {
        self.crashes += 1;
        self.any_absent = true;
        let participant = &mut self.participants[number];
        participant.state =
            Participant::new(participant.in_force_on_disk.clone(), participant.staged.clone());
        participant.read = None;
        participant.acts_on = participant.in_force_on_disk.clone();
        participant.has_unpublished_status = true;
    }

    fn withdraw(&mut self, proposed: &VersionedPolicy) {
        if self.point.proposal.as_ref().is_some_and(|proposal| proposal.policy.id == proposed.id) {
            self.index += 1;
            self.point.proposal = None;
        }
    }
}

impl Bounds {
    /// Lets a coordinator write its proposal, unless a proposal is open.
    fn acquire(&self, world: &mut World, number: usize) -> Option<()> {
        let Coordinator::Read(point) = &world.coordinators[number] else { return None };
        let text = if self.last_is_unusable && number + 1 == self.coordinators { UNUSABLE } else { "good" };
        let version = point.version() + 1;
        let proposed = VersionedPolicy::new(number.to_string(), version, text.to_owned(), String::new());
        if world.point.proposal.is_some() {
            world.coordinators[number] = Coordinator::Finished;
            return Some(());
        }
        world.index += 1;
        world.point.proposal = Some(Proposal {
            policy: proposed.clone(),
            modify_index: world.index,
            session: Some(number.to_string()),
        });
        world.coordinators[number] = Coordinator::Proposed(proposed, None);
        Some(())
    }

    /// Lets a coordinator decide on the members that it has read.
    fn decide(&self, world: &mut World, number: usize) -> Option<()> {
        let Coordinator::Proposed(proposed, Some(members)) = world.coordinators[number].clone() else {
            return None;
        };
        let members = if self.mutant == Mutant::NoVotes { &[][..] } else { &members };
        world.coordinators[number] = match decide(&proposed, &world.point, members) {
            CommitDecision::Wait(_) => Coordinator::Proposed(proposed, None),
            CommitDecision::Commit(condition) => Coordinator::Sent { proposed, condition },
            CommitDecision::Rejected(_) | CommitDecision::Superseded => {
                world.withdraw(&proposed);
                Coordinator::Finished
            }
        };
        Some(())
    }

    /// Lets the store carry out a commit if the commit's condition holds.
    fn commit(&self, world: &mut World, number: usize) -> Option<()> {
        let Coordinator::Sent { proposed, condition } = world.coordinators[number].clone() else {
            return None;
        };
        let is_unchanged = world.point.committed_index() == condition.committed_index;
        let condition_holds = world.is_open(&proposed, condition.proposal_index) && is_unchanged;
        if condition_holds || self.mutant == Mutant::NoCheckAndSet {
            world.withdraw(&proposed);
            world.index += 1;
            world.point.committed = Some(Committed { policy: proposed.clone(), modify_index: world.index });
            world.history.push((proposed, world.clock));
        }
        world.coordinators[number] = Coordinator::Finished;
        Some(())
    }
}

impl Model for Bounds {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let participant = Node {
            state: Participant::default(),
            in_force_on_disk: None,
            staged: None,
            read: None,
            has_unpublished_status: true,
            acts_on: None,
        };
        vec![World {
            clock: 0,
            point: CommitPoint::default(),
            index: 0,
            keys: vec![Some((MemberStatus::default(), 0)); 2],
            participants: vec![participant; 2],
            coordinators: vec![Coordinator::Idle; self.coordinators],
            history: Vec::new(),
            any_absent: false,
            crashes: 0,
            withdrawals: 0,
        }]
    }

    fn actions(&self, world: &World, steps: &mut Vec<Step>) {
        if world.clock < self.last_time {
            steps.push(Step::Tick);
        }
        for (number, participant) in world.participants.iter().enumerate() {
            // A read that is sent again replaces one whose answer is lost.
            let differs_from_pending_read = participant
                .read
                .as_ref()
                .is_none_or(|(sent_at, point)| (*sent_at, point) != (world.clock, &world.point));
            if differs_from_pending_read {
                steps.push(Step::ReadCommitPoint(number));
            }
            if participant.read.is_some() {
                steps.push(Step::Receive(number));
            }
            if participant.has_unpublished_status
                || world.keys[number].as_ref().is_none_or(|(_, renewed_at)| *renewed_at < world.clock)
            {
                steps.push(Step::Publish(number));
            }
            if world.keys[number].as_ref().is_some_and(|(_, renewed_at)| world.clock >= renewed_at + TTL) {
                steps.push(Step::Expire(number));
            }
            if world.crashes < self.crashes {
                steps.push(Step::Crash(number));
            }
        }
        for (number, coordinator) in world.coordinators.iter().enumerate() {
            match coordinator {
                Coordinator::Idle => steps.push(Step::StartProposal(number)),
                Coordinator::Read(_) => steps.push(Step::Acquire(number)),
                Coordinator::Proposed(_, None) => steps.push(Step::ReadMembers(number)),
                Coordinator::Proposed(_, Some(_)) => steps.push(Step::Decide(number)),
                Coordinator::Sent { .. } => steps.push(Step::Commit(number)),
                Coordinator::Finished => {}
            }
            let proposed = matches!(coordinator, Coordinator::Proposed(..) | Coordinator::Sent { .. });
            if proposed && world.withdrawals < self.withdrawals {
                steps.push(Step::Withdraw(number));
            }
        }
    }

    fn next_state(&self, previous: &World, step: Step) -> Option<World> {
        let mut world = previous.clone();
        match step {
            Step::Tick => world.clock += 1,
            Step::ReadCommitPoint(number) => {
                world.participants[number].read = Some((world.clock, world.point.clone()))
            }
            Step::Receive(number) => {
                let (sent_at, point) = world.participants[number].read.take()?;
                let sent_at = if self.mutant == Mutant::ContactFromAnswer { world.clock } else { sent_at };
                world.step(self.mutant, number, Input::CommitPointRead { sent_at, point: Box::new(point) });
            }
            Step::Publish(number) => {
                world.participants[number].has_unpublished_status = false;
                world.keys[number] = Some((world.participants[number].state.member_status(), world.clock));
            }
            Step::Expire(number) => {
                world.any_absent = true;
                world.keys[number] = None;
            }
            Step::Crash(number) => world.crash(number),
            Step::StartProposal(number) => {
                world.coordinators[number] = Coordinator::Read(world.point.clone())
            }
            Step::Acquire(number) => self.acquire(&mut world, number)?,
            Step::ReadMembers(number) => {
                let members = world.members();
                if let Coordinator::Proposed(_, members_read) = &mut world.coordinators[number] {
                    *members_read = Some(members);
                }
            }
            Step::Decide(number) => self.decide(&mut world, number)?,
            Step::Commit(number) => self.commit(&mut world, number)?,
            Step::Withdraw(number) => {
                world.withdrawals += 1;
                if let Coordinator::Proposed(proposed, _) | Coordinator::Sent { proposed, .. } =
                    &previous.coordinators[number]
                {
                    world.withdraw(proposed);
                }
            }
        }
        Some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(ACTS_ON_COMMITTED, |_, world: &World| {
                let committed =
                    |policy: &VersionedPolicy| world.history.iter().any(|(other, _)| other == policy);
                world
                    .participants
                    .iter()
                    .all(|participant| participant.acts_on.as_ref().is_none_or(committed))
            }),
            Property::always(COMMITTED_ONCE_IN_ORDER, |_, world: &World| {
                world
                    .history
                    .iter()
                    .enumerate()
                    .all(|(number, (other, _))| other.version == number as u64 + 1)
            }),
            Property::always(LAG_IS_BOUNDED, |_, world: &World| {
                world.participants.iter().all(|participant| {
                    let is_missed = |(policy, committed_at): &(VersionedPolicy, Micros)| {
                        policy.version > participant.state.version()
                            && world.clock >= committed_at + CONTACT_TIME
                    };
                    participant.state.unready_reason(world.clock, CONTACT_TIME).is_some()
                        || !world.history.iter().any(is_missed)
                })
            }),
            Property::always(COMMITTED_IS_USABLE, |_, world: &World| {
                world.any_absent || world.history.iter().all(|(policy, _)| policy.text != UNUSABLE)
            }),
            Property::sometimes("a policy is in force on all participants", |_, world: &World| {
                world.participants.iter().all(|participant| {
                    participant.acts_on.as_ref().is_some_and(|policy| policy.text == "good")
                })
            }),
            Property::sometimes("two policies are committed one after the other", |_, world: &World| {
                world.history.len() == 2
            }),
        ]
    }
}

fn check(bounds: Bounds) -> impl Checker<Bounds> {
    bounds.checker().threads(2).finish_when(HasDiscoveries::AnyFailures).spawn_bfs().join()
}

// Guards against a policy that only some participants use. There are two coordinators, a withdrawal or a coordinator's
// crash, and a participant's crash. The clock does not advance.
#[test]
fn policy_is_in_force_everywhere_or_nowhere_in_every_order() {
    let checker = check(Bounds {
        coordinators: 2,
        last_is_unusable: false,
        last_time: 0,
        crashes: 1,
        withdrawals: 1,
        mutant: Mutant::None,
    });
    println!("{} states", checker.unique_state_count());
    checker.assert_properties();
    let checker = check(Bounds {
        coordinators: 2,
        last_is_unusable: true,
        last_time: 0,
        crashes: 1,
        withdrawals: 1,
        mutant: Mutant::None,
    });
    println!("{} states", checker.unique_state_count());
    assert_safe(&checker);
}

// Guards against a participant that reports itself ready on an outdated policy. There is one coordinator, and the clock
// advances, so sessions expire and reads are late.
#[test]
fn participant_in_contact_lags_less_than_the_contact_time_in_every_order() {
    let checker = check(Bounds {
        coordinators: 1,
        last_is_unusable: false,
        last_time: 3,
        crashes: 0,
        withdrawals: 0,
        mutant: Mutant::None,
    });
    println!("{} states", checker.unique_state_count());
    assert_safe(&checker);
    checker.assert_any_discovery("a policy is in force on all participants");
}

fn assert_safe(checker: &impl Checker<Bounds>) {
    for property in [ACTS_ON_COMMITTED, COMMITTED_ONCE_IN_ORDER, LAG_IS_BOUNDED, COMMITTED_IS_USABLE] {
        checker.assert_no_discovery(property);
    }
}

// Guards against a model or bounds in which no violation can occur. The check must find a violation when a part of the
// protocol is disabled.
#[test]
fn each_mutant_violates_its_property() {
    for (mutant, property, coordinators, last_is_unusable, last_time, withdrawals) in [
        (Mutant::NoCheckAndSet, COMMITTED_ONCE_IN_ORDER, 2, false, 0, 1),
        (Mutant::NoVotes, COMMITTED_IS_USABLE, 2, true, 0, 0),
        (Mutant::ActsOnStaged, ACTS_ON_COMMITTED, 1, false, 0, 0),
        (Mutant::ContactFromAnswer, LAG_IS_BOUNDED, 1, false, 3, 0),
    ] {
        let checker =
            check(Bounds { coordinators, last_is_unusable, last_time, crashes: 0, withdrawals, mutant });
        assert!(checker.discovery(property).is_some(), "{mutant:?} does not violate: {property}");
    }
}
