//! Handovers in the reducer: what is offered to which forwarder, what the journal contains before an offer, and how a
//! message continues after each outcome of an offer. The clock, the owners and the endpoints are simulated.

mod common;

use bytes::Bytes;
use common::{SECOND, START};
use orchidyoke_core::endpoint_list::EndpointEntry;
use orchidyoke_core::interface::{DestinationId, Micros};
use orchidyoke_forwarder::config::Config;
use orchidyoke_forwarder::console::{Command, ConsoleReply};
use orchidyoke_forwarder::endpoint_call::EndpointReply;
use orchidyoke_forwarder::input::{Effect, Input, Submission, SubmitAnswer};
use orchidyoke_forwarder::ownership::{
    HandoverMark, OfferOutcome, OutgoingOffer, Owner, Owners, Peer, ReceivedMark,
};
use orchidyoke_forwarder::reducer::Reducer;
use orchidyoke_journal::{AttemptStart, FinalAnswer, Record, replay};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;

/// One millisecond, in microseconds.
const MILLISECOND: Micros = 1_000;

/// A view of a fleet in which this forwarder is `f0`. It gives the owner of each destination of the test
/// configurations.
#[derive(Clone, Debug)]
struct Fleet {
    version: u64,
    owners: BTreeMap<DestinationId, &'static str>,
    members: Vec<&'static str>,
    /// Offset that is added to the port of each member.
    port_offset: u16,
}

impl Fleet {
    /// Returns a view in which these forwarders own the destinations 1, 2 and 3.
    fn of(version: u64, owners: [&'static str; 3]) -> Rc<dyn Owners> {
        let mut members: Vec<_> = owners.into_iter().chain(["f0"]).collect();
        members.sort_unstable();
        members.dedup();
        Rc::new(Fleet { version, owners: (1..).zip(owners).collect(), members, port_offset: 0 })
    }
}

impl Fleet {
    fn address(&self, name: &str) -> SocketAddr {
        let address = address(name);
        SocketAddr::new(address.ip(), address.port() + self.port_offset)
    }
}

fn address(name: &str) -> SocketAddr {
    let number: u16 = name.trim_start_matches('f').parse().expect("the name ends with a number");
    SocketAddr::from(([127, 0, 0, 1], 9000 + number))
}

impl Owners for Fleet {
    fn version(&self) -> u64 {
        self.version
    }

    fn own_name(&self) -> &str {
        "f0"
    }

    fn owner_of(&self, destination: DestinationId) -> Owner {
        match self.owners.get(&destination) {
            Some(&"f0") => Owner::Local,
            Some(name) => Owner::Peer(Peer { name: (*name).to_owned(), address: self.address(name) }),
            None => Owner::Unknown,
        }
    }

    fn member_address(&self, name: &str) -> Option<SocketAddr> {
        self.members.contains(&name).then(|| self.address(name))
    }

    fn member_count(&self) -> usize {
        self.members.len()
    }

    fn owners_per_destination(&self) -> u32 {
        1
    }
}

/// Classes of the test configurations.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Class {
    Safe,
    Unsafe,
    KeyedByZone,
    KeyedEverywhere,
}

impl Class {
    fn name(self) -> &'static str {
        match self {
            Class::Safe => "status",
            Class::Unsafe => "orders",
            Class::KeyedByZone | Class::KeyedEverywhere => "bread",
        }
    }

    fn is_keyed(self) -> bool {
        matches!(self, Class::KeyedByZone | Class::KeyedEverywhere)
    }

    fn config(self) -> String {
        let (listen, discovery) = ("127.0.0.1:1", "127.0.0.1:2");
        match self {
            Class::Safe | Class::Unsafe => common::config(listen, discovery, common::endpoint_entries()),
            Class::KeyedByZone => common::second_config(listen, discovery, common::second_endpoint_entries()),
            Class::KeyedEverywhere => {
                common::second_config(listen, discovery, common::second_endpoint_entries())
                    .replace(r#""group":"zone""#, r#""group":"all""#)
            }
        }
    }
}

/// One forwarder, and the effects that it has requested so far.
struct World {
    class: Class,
    reducer: Reducer,
    now: Micros,
    file: Vec<u8>,
    answers: Vec<SubmitAnswer>,
    /// Whether connections to endpoints are established.
    endpoints_reachable: bool,
    /// Offers that are in flight.
    offers: VecDeque<OutgoingOffer>,
    /// Ids of the messages written to endpoints.
    written: Vec<String>,
    notifications: Vec<(String, FinalAnswer)>,
    metrics_text: String,
    logged: Vec<String>,
}

impl World {
    fn new(class: Class, owners: Option<Rc<dyn Owners>>) -> Self {
        World::with_journal(class, owners, &[], START)
    }

    fn with_config(config: &str, owners: Option<Rc<dyn Owners>>) -> Self {
        World::start(Class::Safe, config, owners, &[], START)
    }

    fn with_journal(class: Class, owners: Option<Rc<dyn Owners>>, file: &[u8], now: Micros) -> Self {
        World::start(class, &class.config(), owners, file, now)
    }

    fn start(class: Class, config: &str, owners: Option<Rc<dyn Owners>>, file: &[u8], now: Micros) -> Self {
        let config = Config::read(config, None, None).expect("the configuration is valid");
        let (records, complete_bytes) = replay(Bytes::copy_from_slice(file));
        assert_eq!(complete_bytes, file.len());
        let reducer = Reducer::new(Config { owners, ..config }, 0, records, complete_bytes, now);
        let mut world = World {
            class,
            reducer,
            now,
            file: file.to_vec(),
            answers: Vec::new(),
            endpoints_reachable: true,
            offers: VecDeque::new(),
            written: Vec::new(),
            notifications: Vec::new(),
            metrics_text: String::new(),
            logged: Vec::new(),
        };
        world.input(Input::TimerDue);
        world.input(Input::AcceptingClients);
        world
    }

    /// Kills the process and starts it again with these owners.
    fn restarted(self, owners: Option<Rc<dyn Owners>>) -> Self {
        World::with_journal(self.class, owners, &self.file, self.now)
    }

    fn input(&mut self, input: Input) {
        let mut inputs = VecDeque::from([input]);
        while let Some(input) = inputs.pop_front() {
            for effect in self.reducer.step(self.now, input) {
                inputs.extend(self.carry_out(effect));
            }
        }
    }

    fn carry_out(&mut self, effect: Effect) -> Option<Input> {
        match effect {
            Effect::Append { append: append_id, bytes } => {
                self.file.extend_from_slice(&bytes);
                return Some(Input::Appended { append: append_id, stored: true, size: self.file.len() });
            }
            Effect::CompactJournal { bytes } => self.file = bytes.to_vec(),
            Effect::Answer { answer, .. } => self.answers.push(answer),
            Effect::Offer(offer) => {
                self.assert_journaled(&offer);
                self.offers.push_back(*offer);
            }
            Effect::Connect { connection: connection_id, .. } if self.endpoints_reachable => {
                return Some(Input::ConnectionUp { connection: connection_id });
            }
            Effect::SendCall { connection: connection_id, call } => {
                self.written.extend(call.messages.into_iter().map(|part| part.id));
                let reply = EndpointReply { status: 200, is_bulk: call.is_bulk, ..EndpointReply::default() };
                return Some(Input::CallAnswered { connection: connection_id, reply, reusable: false });
            }
            Effect::PostNotifications { notifications: final_answers, .. } => {
                self.notifications.extend(final_answers);
                return Some(Input::NotificationsPosted { accepted: true });
            }
            Effect::Reply { reply: ConsoleReply::Metrics(text), .. } => self.metrics_text = text,
            Effect::Log { line } => self.logged.push(line),
            _ => {}
        }
        None
    }

    /// Asserts that the journal names the owner of an offer before its first byte is sent.
    fn assert_journaled(&self, offer: &OutgoingOffer) {
        let owner = offer.message.handover.offered.as_ref().map(|offered| offered.owner.as_str());
        let names_owner = |record: &Record| match record {
            Record::HandoverOffered { message: message_id, owner: to, .. } => {
                *message_id == offer.message.id && Some(to.as_str()) == owner
            }
            _ => false,
        };
        assert!(
            self.records().iter().any(names_owner),
            "{} was offered before its record was written",
            offer.message.id
        );
    }

    /// Lets time pass, with every timer that is due.
    fn wait(&mut self, duration: Micros) {
        let until = self.now + duration;
        let mut timers = 0;
        while let Some(at) = self.reducer.wake_at().filter(|at| *at <= until) {
            self.now = self.now.max(at);
            self.input(Input::TimerDue);
            timers += 1;
            assert!(timers < 100_000, "the reducer must not set timers without end");
        }
        self.now = until;
    }

    fn submission(&self, message_id: &str, dest: DestinationId) -> Submission {
        Submission {
            id: message_id.to_owned(),
            class: self.class.name().to_owned(),
            tenant: (!self.class.is_keyed()).then(|| "acme".to_owned()),
            idempotency_key: self.class.is_keyed().then(|| format!("key of {message_id}")),
            destination: dest,
            time_left: 8 * SECOND,
            is_retry: false,
            handover_mark: ReceivedMark::Absent,
            body: Bytes::from_static(b"body"),
        }
    }

    fn submit(&mut self, message: Submission) -> SubmitAnswer {
        self.input(Input::Submitted { request: 1, message });
        self.wait(20 * MILLISECOND);
        self.answers.pop().expect("the submission was answered")
    }

    /// Submits a message for this destination and asserts that it is accepted.
    fn submit_accepted(&mut self, message_id: &str, dest: DestinationId) {
        let message = self.submission(message_id, dest);
        assert_eq!(self.submit(message), SubmitAnswer::Accepted, "{message_id}");
    }

    fn offer(&mut self) -> OutgoingOffer {
        self.offers.pop_front().expect("an offer is in flight")
    }

    fn end_offer(&mut self, offer: &OutgoingOffer, result: OfferOutcome) {
        self.input(Input::OfferEnded { id: offer.id, outcome: result });
    }

    /// Lets time pass and ends each offer with this outcome. Returns how many offers ended.
    fn wait_ending_offers(&mut self, duration: Micros, result: &OfferOutcome) -> usize {
        let (until, mut ended) = (self.now + duration, 0);
        while self.now < until {
            while let Some(offer) = self.offers.pop_front() {
                self.end_offer(&offer, result.clone());
                ended += 1;
            }
            self.wait(10 * MILLISECOND);
        }
        ended
    }

    fn records(&self) -> Vec<Record> {
        replay(Bytes::copy_from_slice(&self.file)).0.into_iter().map(|(record, _)| record).collect()
    }

    fn metric(&mut self, name: &str) -> u64 {
        self.input(Input::Operator { request: 2, call: Command::ShowStat });
        let line = self.metrics_text.lines().find_map(|line| line.strip_prefix(&format!("app_{name} ")));
        line.and_then(|value| value.parse().ok()).unwrap_or_else(|| panic!("{name}: {}", self.metrics_text))
    }
}

fn in_doubt() -> OfferOutcome {
    OfferOutcome::InDoubt("no answer in time".to_owned())
}

fn not_sent() -> OfferOutcome {
    OfferOutcome::NotSent("refused".to_owned())
}

fn valid_mark(from: &str, now: Micros) -> ReceivedMark {
    let (deadline, valid_until) = (now + 8 * SECOND, now + 20 * SECOND);
    ReceivedMark::Valid(HandoverMark {
        from: from.to_owned(),
        deadline,
        valid_until,
        attempts: 0,
        possible_delivery: None,
    })
}

// Guards against a message that is delivered by a forwarder that does not own its destination, and against an offer
// that lacks a part of its message.
#[test]
fn offer_carries_the_whole_message_to_its_owner() {
    let mut world = World::new(Class::KeyedByZone, Some(Fleet::of(1, ["f1", "f0", "f2"])));
    world.submit_accepted("a", 1);
    world.submit_accepted("own", 2);
    let offer = world.offer();
    assert_eq!(offer.owner_address, address("f1"));
    assert_eq!(
        (offer.message.id.as_str(), offer.message.class.as_str(), offer.message.destination),
        ("a", "bread", 1)
    );
    assert_eq!(offer.message.idempotency_key.as_deref(), Some("key of a"));
    assert_eq!(offer.body, Bytes::from_static(b"body"));
    let (deadline, valid_until) = (START + 8 * SECOND, offer.mark.valid_until);
    let mark =
        HandoverMark { from: "f0".to_owned(), deadline, valid_until, attempts: 0, possible_delivery: None };
    assert_eq!(offer.mark, mark);
    assert!(
        (START + 20 * SECOND..=START + 21 * SECOND).contains(&valid_until),
        "the mark must be valid until 20 s after the first offer"
    );
    assert!(world.offers.is_empty(), "a message for an own destination must not be offered");
    assert_eq!(world.written, ["own"]);
    world.end_offer(&offer, OfferOutcome::Accepted);
    world.wait(10 * SECOND);
    assert_eq!(world.written, ["own"]);
    assert!(world.notifications.is_empty() && world.offers.is_empty());
    let handed_over = |record: &Record| {
        matches!(record, Record::HandedOver { message, owner, .. }
        if message == "a" && owner == "f1")
    };
    assert!(world.records().iter().any(handed_over));
    assert_eq!(world.metric("handed_over"), 1);
    assert_eq!(world.metric("owned"), 1);
}

// Guards against a client's repeat that becomes a second message, at the forwarder that handed the message over and
// after its restart.
#[test]
fn resubmission_of_a_handed_over_message_is_accepted() {
    let fleet = || Some(Fleet::of(1, ["f1", "f0", "f2"]));
    let mut world = World::new(Class::Unsafe, fleet());
    world.submit_accepted("a", 1);
    world.submit_accepted("a", 1);
    let offer = world.offer();
    assert!(world.offers.is_empty());
    world.end_offer(&offer, OfferOutcome::Accepted);
    world.submit_accepted("a", 1);
    assert!(world.offers.is_empty());
    let mut world = world.restarted(fleet());
    world.submit_accepted("a", 1);
    assert!(world.offers.is_empty());
}

// Guards against a message that is handed over without end between two forwarders that each take the other for the
// owner.
#[test]
fn handed_over_message_is_delivered_here_also_after_a_restart() {
    let fleet = || Some(Fleet::of(1, ["f1", "f1", "f1"]));
    let mut world = World::new(Class::Unsafe, fleet());
    let message = Submission { handover_mark: valid_mark("f2", world.now), ..world.submission("a", 1) };
    // The process is killed before the message is sent.
    world.endpoints_reachable = false;
    assert_eq!(world.submit(message), SubmitAnswer::Accepted);
    let mut world = world.restarted(fleet());
    world.wait(SECOND);
    assert_eq!((world.written, world.offers.len()), (vec!["a".to_owned()], 0));
}

// Guards against a duplicate at the owner when the offering forwarder repeats its offer, both while the message is open
// and after it is finished.
#[test]
fn owner_accepts_a_repeated_offer_while_open_and_when_finished() {
    let mut world = World::new(Class::Unsafe, Some(Fleet::of(1, ["f0", "f0", "f0"])));
    for _ in 0..3 {
        let message = Submission { handover_mark: valid_mark("f1", world.now), ..world.submission("a", 1) };
        assert_eq!(world.submit(message), SubmitAnswer::Accepted);
        world.wait(2 * SECOND);
    }
    assert_eq!(world.written, ["a"]);
    assert_eq!(world.metric("taken_over"), 1);
}

// Guards against an owner that repeats an earlier attempt although the class forbids it. The mark carries the possible
// delivery.
#[test]
fn possible_delivery_in_the_mark_restricts_the_owner() {
    for (class, is_sent) in [(Class::Unsafe, false), (Class::Safe, true)] {
        let mut world = World::new(class, Some(Fleet::of(1, ["f0", "f0", "f0"])));
        let prior_attempt = Some(AttemptStart {
            started_at: START - SECOND,
            endpoint: "s-a".to_owned(),
            zone: "a".to_owned(),
        });
        let deadline = world.now + 4 * SECOND;
        let valid_until = world.now + 20 * SECOND;
        let mark = HandoverMark {
            from: "f1".to_owned(),
            deadline,
            valid_until,
            attempts: 1,
            possible_delivery: prior_attempt,
        };
        let message = Submission { handover_mark: ReceivedMark::Valid(mark), ..world.submission("a", 1) };
        let answer = world.submit(message);
        assert_eq!(!world.written.is_empty(), is_sent, "{class:?}: {answer:?}");
    }
}

// Guards against an owner that delivers a message after the offering forwarder has finished it. A stall must not extend
// the message's deadline.
#[test]
fn owner_keeps_the_deadline_of_the_mark() {
    let mut world = World::new(Class::Unsafe, Some(Fleet::of(1, ["f0", "f0", "f0"])));
    let deadline = world.now - SECOND;
    let valid_until = world.now + 20 * SECOND;
    let mark =
        HandoverMark { from: "f1".to_owned(), deadline, valid_until, attempts: 0, possible_delivery: None };
    let message = Submission { handover_mark: ReceivedMark::Valid(mark), ..world.submission("a", 1) };
    let answer = world.submit(message);
    assert!(answer != SubmitAnswer::Accepted && world.written.is_empty(), "{answer:?}");
}

// Guards against a second delivery through an offer that a broken network delivers late. The id of a finished message,
// which is remembered for 30 s, may be forgotten by then.
#[test]
fn expired_offer_is_rejected() {
    let mut world = World::new(Class::Unsafe, Some(Fleet::of(1, ["f0", "f0", "f0"])));
    let (deadline, valid_until) = (world.now + 8 * SECOND, world.now - 1);
    let mark =
        HandoverMark { from: "f1".to_owned(), deadline, valid_until, attempts: 0, possible_delivery: None };
    let message = Submission { handover_mark: ReceivedMark::Valid(mark), ..world.submission("a", 1) };
    let answer = world.submit(message);
    assert!(matches!(answer, SubmitAnswer::Rejected(_)), "{answer:?}");
    world.wait(SECOND);
    assert!(world.written.is_empty());
    let message = Submission { handover_mark: valid_mark("f1", world.now), ..world.submission("b", 1) };
    assert_eq!(world.submit(message), SubmitAnswer::Accepted);
}

// Guards against a malformed mark that is partly applied, and against a mark that has any effect if destinations have
// no owners.
#[test]
fn malformed_mark_is_rejected_and_ignored_without_owners() {
    for (owners, expected) in [
        (Some(Fleet::of(1, ["f0", "f0", "f0"])), SubmitAnswer::Incomplete("X-Handover: malformed\n")),
        (None, SubmitAnswer::Accepted),
    ] {
        let mut world = World::new(Class::Safe, owners);
        let message = Submission { handover_mark: ReceivedMark::Malformed, ..world.submission("a", 1) };
        assert_eq!(world.submit(message), expected);
    }
    let mut world = World::new(Class::Safe, None);
    world.submit_accepted("b", 1);
    world.input(Input::Operator { request: 2, call: Command::ShowStat });
    assert!(world.offers.is_empty() && !world.metrics_text.contains("owners"));
}

// Guards against a message that is lost, or handed on without end, because the forwarder that offers it is not a
// member.
#[test]
fn handover_from_a_non_member_is_delivered_here_and_counted() {
    let mut world = World::new(Class::Unsafe, Some(Fleet::of(1, ["f1", "f1", "f1"])));
    for message_id in ["a", "b"] {
        let message =
            Submission { handover_mark: valid_mark("f77", world.now), ..world.submission(message_id, 1) };
        assert_eq!(world.submit(message), SubmitAnswer::Accepted);
    }
    assert_eq!((world.written.len(), world.offers.len()), (2, 0));
    assert_eq!(world.metric("taken_over_from_strangers"), 2);
    assert_eq!(world.logged.iter().filter(|line| line.contains("f77")).count(), 1, "{:?}", world.logged);
}

// Guards against a rejected offer that counts as in doubt, and against an owner that gets more offers before its
// Retry-After has ended or is bypassed.
#[test]
fn rejected_offer_is_repeated_after_retry_after_and_not_delivered_here() {
    let mut world = World::new(Class::Unsafe, Some(Fleet::of(1, ["f1", "f0", "f2"])));
    world.submit_accepted("a", 1);
    let offer = world.offer();
    world.end_offer(&offer, OfferOutcome::Rejected(3 * SECOND));
    world.wait(2_900 * MILLISECOND);
    assert!(world.offers.is_empty(), "no offer may be sent before the Retry-After has ended");
    world.wait(400 * MILLISECOND);
    let offers = world.wait_ending_offers(7 * SECOND, &OfferOutcome::Rejected(0));
    assert!((2..40).contains(&offers), "{offers} offers");
    assert!(world.written.is_empty());
    // The owner never accepted it, so the client may submit it again.
    assert_eq!(world.notifications, [("a".to_owned(), FinalAnswer::Rejected { retry_after_ms: 0 })]);
}

// Guards against a lost answer that finishes a message, or after which the message goes elsewhere although the owner
// may have it.
#[test]
fn unanswered_offer_is_repeated_to_the_same_owner_under_the_same_id() {
    let mut world = World::new(Class::Unsafe, Some(Fleet::of(1, ["f1", "f0", "f2"])));
    world.submit_accepted("a", 1);
    let offer = world.offer();
    world.end_offer(&offer, in_doubt());
    // Another forwarder owns the destination now, and the previous owner is still a member.
    world.input(Input::OwnersChanged(Rc::new(Fleet {
        version: 2,
        owners: BTreeMap::from([(1, "f2")]),
        members: vec!["f0", "f1", "f2"],
        port_offset: 0,
    })));
    world.wait(3 * SECOND);
    let again = world.offer();
    assert_eq!((again.owner_address, again.message.id.as_str()), (address("f1"), "a"));
    assert!(world.written.is_empty() && world.offers.is_empty());
    world.end_offer(&again, OfferOutcome::Accepted);
    world.wait(10 * SECOND);
    assert!(world.written.is_empty() && world.notifications.is_empty());
}

// Guards against a message in doubt that no longer counts as in doubt after a later offer is rejected, or does not
// reach the owner.
#[test]
fn message_stays_in_doubt_after_later_offer_outcomes() {
    for later in [OfferOutcome::Rejected(0), not_sent()] {
        let mut world = World::new(Class::Unsafe, Some(Fleet::of(1, ["f1", "f0", "f2"])));
        world.submit_accepted("a", 1);
        let offer = world.offer();
        world.end_offer(&offer, in_doubt());
        world.wait_ending_offers(9 * SECOND, &later);
        assert!(world.written.is_empty(), "{later:?}");
        assert_eq!(world.notifications, [("a".to_owned(), FinalAnswer::Failed)], "{later:?}");
    }
}

// Guards against a forbidden repeat after the owner has left the fleet, and against a message that is not delivered
// although it may be repeated.
#[test]
fn message_in_doubt_at_a_removed_owner_follows_its_idempotency() {
    let without_f1 = |version| Fleet::of(version, ["f0", "f0", "f2"]);
    for (class, is_sent) in [
        (Class::Safe, true),
        (Class::Unsafe, false),
        (Class::KeyedByZone, false),
        (Class::KeyedEverywhere, true),
    ] {
        let mut world = World::new(class, Some(Fleet::of(1, ["f1", "f0", "f2"])));
        world.submit_accepted("a", 1);
        let offer = world.offer();
        world.end_offer(&offer, in_doubt());
        world.input(Input::OwnersChanged(without_f1(2)));
        world.wait(SECOND);
        assert_eq!(world.written == ["a"], is_sent, "{class:?}");
        let failed = world.notifications == [("a".to_owned(), FinalAnswer::Failed)];
        assert_eq!(failed, !is_sent, "{class:?}: {:?}", world.notifications);
    }
    // After the end of its deduplication window, the message may not be repeated.
    let mut world = World::new(Class::KeyedEverywhere, Some(Fleet::of(1, ["f1", "f0", "f2"])));
    world.submit_accepted("a", 1);
    let offer = world.offer();
    world.end_offer(&offer, in_doubt());
    world.wait_ending_offers(2_100 * MILLISECOND, &in_doubt());
    world.written.clear();
    let was_delivered_here = world.metric("delivered_for_lack_of_owner") == 1;
    world.input(Input::OwnersChanged(without_f1(2)));
    world.wait(SECOND);
    assert!(!was_delivered_here && world.written.is_empty(), "{:?}", world.written);
}

// Guards against a message that waits for an owner that has left the fleet, and against an offer that counts as a
// possible delivery although it was not sent.
#[test]
fn unaccepted_message_goes_to_the_new_owner() {
    let mut world = World::new(Class::Unsafe, Some(Fleet::of(1, ["f1", "f0", "f2"])));
    for message_id in ["a", "b"] {
        world.submit_accepted(message_id, 1);
    }
    for _ in 0..2 {
        let offer = world.offer();
        world.end_offer(&offer, not_sent());
    }
    world.input(Input::OwnersChanged(Fleet::of(2, ["f2", "f0", "f2"])));
    let offers = [world.offer(), world.offer()];
    assert!(
        offers
            .iter()
            .all(|offer| offer.owner_address == address("f2") && offer.mark.possible_delivery.is_none())
    );
    world.end_offer(&offers[0], not_sent());
    world.input(Input::OwnersChanged(Fleet::of(3, ["f0", "f0", "f2"])));
    world.wait(SECOND);
    assert_eq!(
        world.written.len(),
        1,
        "one message must be delivered here, and the offer of the other is still in flight"
    );
}

// Guards against a message that is reassigned while its offer is in flight because its owner has left the fleet.
#[test]
fn offer_in_flight_ends_before_its_message_is_reassigned() {
    let mut world = World::new(Class::Safe, Some(Fleet::of(1, ["f1", "f0", "f2"])));
    world.submit_accepted("a", 1);
    let offer = world.offer();
    world.input(Input::OwnersChanged(Fleet::of(2, ["f0", "f0", "f2"])));
    world.wait(900 * MILLISECOND);
    assert!(world.written.is_empty());
    world.end_offer(&offer, OfferOutcome::Accepted);
    world.wait(SECOND);
    assert!(world.written.is_empty() && world.notifications.is_empty());
}

// Guards against an offer that is sent to an old address of the owner after the view has changed.
#[test]
fn offer_goes_to_the_owners_newest_address() {
    let mut world = World::new(Class::Unsafe, Some(Fleet::of(1, ["f1", "f0", "f2"])));
    world.submit_accepted("a", 1);
    let offer = world.offer();
    world.end_offer(&offer, in_doubt());
    let (owners, members) = (BTreeMap::from([(1, "f1")]), vec!["f0", "f1"]);
    world.input(Input::OwnersChanged(Rc::new(Fleet { version: 2, owners, members, port_offset: 500 })));
    world.wait(SECOND);
    assert_eq!(world.offer().owner_address.port(), address("f1").port() + 500);
}

// Guards against a new owner that sends at the full rate while the previous owner may still send.
#[test]
fn new_owner_slow_starts_its_destination() {
    let is_cold = |owners: [Rc<dyn Owners>; 2], wait: Micros, valid_mark: ReceivedMark| {
        let [before, after] = owners;
        let mut world = World::new(Class::Safe, Some(before));
        world.input(Input::OwnersChanged(after));
        world.wait(wait);
        world.endpoints_reachable = false;
        let message = Submission { handover_mark: valid_mark, ..world.submission("a", 3) };
        assert_eq!(world.submit(message), SubmitAnswer::Accepted);
        world.reducer.faulty_destinations().any(|destination| destination == 3)
    };
    let own = || Fleet::of(2, ["f0", "f0", "f0"]);
    let others = |version| Fleet::of(version, ["f0", "f0", "f1"]);
    assert!(
        is_cold([others(1), own()], 0, ReceivedMark::Absent),
        "another forwarder owned the destination before"
    );
    assert!(!is_cold([own(), own()], 0, ReceivedMark::Absent), "this forwarder owned the destination before");
    assert!(
        !is_cold([others(1), own()], 10 * SECOND, ReceivedMark::Absent),
        "this forwarder has owned the destination for long"
    );
    let handed_over = valid_mark("f2", START + 10 * SECOND);
    assert!(
        is_cold([others(1), others(2)], 10 * SECOND, handed_over),
        "only the offering forwarder takes this one for the owner"
    );
}

// Guards against a view that is replaced by an older one.
#[test]
fn older_view_is_ignored() {
    let mut world = World::new(Class::Safe, Some(Fleet::of(5, ["f1", "f1", "f1"])));
    world.input(Input::OwnersChanged(Fleet::of(4, ["f2", "f2", "f2"])));
    world.submit_accepted("a", 1);
    assert_eq!(world.offer().owner_address, address("f1"));
    assert!(
        world.logged.iter().any(|line| line.contains("older than the one in force version=4 in_force=5"))
    );
    assert_eq!(world.metric("owners_view"), 5);
}

// Guards against a restart that forgets an offer. The offer must be repeated, and it counts as a possible delivery if
// the owner is no longer a member.
#[test]
fn restart_repeats_an_offer_under_its_id() {
    let fleet = || Some(Fleet::of(1, ["f1", "f0", "f2"]));
    let mut world = World::new(Class::Unsafe, fleet());
    world.submit_accepted("a", 1);
    let first = world.offer();
    let mut world = world.restarted(fleet());
    let again = world.offer();
    assert_eq!((again.owner_address, &again.message.id), (first.owner_address, &first.message.id));
    world.end_offer(&again, not_sent());
    // The message has been in doubt since before the restart. The message stays in doubt although
    // the owner cannot be reached now.
    let mut world = world.restarted(Some(Fleet::of(1, ["f2", "f0", "f2"])));
    world.wait(SECOND);
    assert!(world.written.is_empty() && world.offers.is_empty());
    assert_eq!(world.notifications, [("a".to_owned(), FinalAnswer::Failed)]);
}

// Guards against a restart after which a message counts as in doubt although the owner never accepted it.
#[test]
fn restart_reassigns_a_declined_message() {
    let mut world = World::new(Class::Unsafe, Some(Fleet::of(1, ["f1", "f0", "f2"])));
    world.submit_accepted("a", 1);
    let offer = world.offer();
    world.end_offer(&offer, not_sent());
    let mut world = world.restarted(Some(Fleet::of(2, ["f2", "f0", "f2"])));
    let offer = world.offer();
    assert_eq!((offer.owner_address, offer.mark.possible_delivery), (address("f2"), None));
}

// Guards against a compaction of the journal that loses the handover state of a message.
#[test]
fn compaction_keeps_the_handover_state() {
    let fleet = || Some(Fleet::of(1, ["f1", "f0", "f2"]));
    let mut world = World::new(Class::Unsafe, fleet());
    world.submit_accepted("a", 1);
    let offer = world.offer();
    world.end_offer(&offer, in_doubt());
    // Fills the journal until it is compacted.
    let mut number = 0;
    while world.records().iter().any(|record| matches!(record, Record::HandoverDeclined { .. }))
        || number < 100
    {
        number += 1;
        let size = world.file.len();
        let message =
            Submission { body: Bytes::from(vec![0; 6_000]), ..world.submission(&format!("own {number}"), 2) };
        assert_eq!(world.submit(message), SubmitAnswer::Accepted);
        if world.file.len() < size {
            break;
        }
    }
    let mut world = world.restarted(None);
    world.wait(SECOND);
    assert!(
        world.notifications.contains(&("a".to_owned(), FinalAnswer::Failed)),
        "{:?}",
        world.notifications
    );
    assert!(!world.written.contains(&"a".to_owned()));
}

// Guards against too many deliveries to endpoints by this forwarder while an owner is down. They are limited in total
// and to one message per destination at a time, and depend on the class.
#[test]
fn failing_owner_gets_a_bounded_part_delivered_here() {
    let mut world = World::new(Class::Safe, Some(Fleet::of(1, ["f1", "f0", "f1"])));
    world.submit_accepted("a1", 1);
    world.submit_accepted("a2", 1);
    world.submit_accepted("c1", 3);
    // The endpoints are slow, so deliveries stay in progress for a while.
    world.wait_ending_offers(1_900 * MILLISECOND, &not_sent());
    assert!(world.written.is_empty(), "the first failure must not cause local deliveries");
    world.wait_ending_offers(SECOND, &not_sent());
    world.written.sort();
    assert_eq!(world.written, ["a1", "a2", "c1"], "the messages must be delivered one after the other");
    assert_eq!(world.metric("delivered_for_lack_of_owner"), 3);
    // An owner that rejects offers is running, so it must not be bypassed.
    let mut world = World::new(Class::Safe, Some(Fleet::of(1, ["f1", "f0", "f1"])));
    world.submit_accepted("a1", 1);
    world.wait_ending_offers(5 * SECOND, &OfferOutcome::Rejected(0));
    assert!(world.written.is_empty());
}

// Guards against an owner that gets all offers at once when it comes back, or offers without pause while it is down.
#[test]
fn failing_owner_gets_one_offer_at_a_time_with_backoff() {
    let mut world = World::new(Class::Unsafe, Some(Fleet::of(1, ["f1", "f0", "f2"])));
    world.endpoints_reachable = false;
    for number in 0..30 {
        world.submit_accepted(&format!("m{number}"), 1);
    }
    assert_eq!(world.offers.len(), 16, "the maximum number of offers to one owner must be in flight");
    while let Some(offer) = world.offers.pop_front() {
        world.end_offer(&offer, in_doubt());
    }
    let mut offers = 0;
    for _ in 0..300 {
        world.wait(10 * MILLISECOND);
        assert!(world.offers.len() <= 1);
        if let Some(offer) = world.offers.pop_front() {
            world.end_offer(&offer, in_doubt());
            offers += 1;
        }
    }
    assert!((2..20).contains(&offers), "{offers} offers in 3 s");
    world.wait(2 * SECOND);
    let offer = world.offer();
    world.end_offer(&offer, OfferOutcome::Accepted);
    assert_eq!(world.offers.len(), 16, "an owner that answers must get the maximum number of offers again");
}

// Guards against a possible delivery that is forgotten when the message is offered to another owner. The mark must
// carry the possible delivery.
#[test]
fn possible_delivery_is_passed_to_the_next_owner() {
    let mut world = World::new(Class::Safe, Some(Fleet::of(1, ["f1", "f0", "f2"])));
    world.submit_accepted("a", 1);
    let offer = world.offer();
    let offered_at = world.now;
    world.end_offer(&offer, in_doubt());
    world.input(Input::OwnersChanged(Fleet::of(2, ["f2", "f0", "f2"])));
    world.wait(MILLISECOND);
    let next = world.offer();
    let prior_attempt = next.mark.possible_delivery.expect("the mark has the possible delivery");
    assert_eq!((next.owner_address, prior_attempt.endpoint.as_str()), (address("f2"), ""));
    assert!(
        prior_attempt.started_at <= offered_at,
        "the possible delivery must not start later than the offer"
    );
}

// Guards against a restart that offers a message again after its delivery in doubt has begun here.
#[test]
fn local_delivery_in_doubt_stays_local_after_a_restart() {
    let fleet = || Some(Fleet::of(1, ["f1", "f0", "f2"]));
    let mut world = World::new(Class::Safe, fleet());
    world.endpoints_reachable = false;
    world.submit_accepted("a", 1);
    world.wait_ending_offers(3 * SECOND, &in_doubt());
    assert_eq!(world.metric("delivering_for_lack_of_owner"), 1);
    let mut world = world.restarted(fleet());
    world.wait(SECOND);
    assert_eq!((world.written, world.offers.len()), (vec!["a".to_owned()], 0));
}

/// Returns a configuration with room for many messages, and with this many destinations of one endpoint each.
fn wide_config(destinations: u64) -> String {
    let first = common::endpoint_entries().remove(2);
    let entry =
        |number: u64| EndpointEntry { uid: format!("s{number}"), destination: number, ..first.clone() };
    common::config("127.0.0.1:1", "127.0.0.1:2", (1..=destinations).map(entry).collect())
        .replace(r#""max_open":40"#, r#""max_open":4000"#)
        .replace(r#""disk_mb":0.2"#, r#""disk_mb":16"#)
}

/// Returns a view in which one other forwarder owns this many destinations.
fn one_owner(destinations: u64) -> Rc<dyn Owners> {
    let owners = (1..=destinations).map(|number| (number, "f1")).collect();
    Rc::new(Fleet { version: 1, owners, members: vec!["f0", "f1"], port_offset: 0 })
}

// Guards against too many deliveries to endpoints by this forwarder while an owner is down. They are limited to one
// message per destination, and in total.
#[test]
fn local_deliveries_are_bounded_by_destination_and_in_total() {
    for (destinations, expected) in [(1, 1), (5, 5), (50, 32)] {
        let mut world = World::with_config(&wide_config(destinations), Some(one_owner(destinations)));
        world.endpoints_reachable = false;
        for number in 0..2 * destinations {
            world.submit_accepted(&format!("m{number}"), 1 + number % destinations);
        }
        world.wait_ending_offers(3 * SECOND, &not_sent());
        assert_eq!(world.metric("delivering_for_lack_of_owner"), expected);
        assert_eq!(world.metric("handover_waiting"), 2 * destinations - expected);
    }
}

// Guards against an unbounded queue for an owner that accepts nothing. Further messages must be rejected.
#[test]
fn full_owner_queue_rejects_new_messages() {
    let mut world = World::with_config(&wide_config(2), Some(one_owner(1)));
    let messages: Vec<_> = (0..1_020).map(|number| world.submission(&format!("m{number}"), 1)).collect();
    for message in messages {
        world.input(Input::Submitted { request: 1, message });
        world.wait(5 * MILLISECOND);
    }
    world.wait(20 * MILLISECOND);
    let rejected = world.answers.iter().filter(|answer| matches!(answer, SubmitAnswer::Rejected(_))).count();
    assert_eq!(rejected, 20);
    world.submit_accepted("another destination", 2);
}
