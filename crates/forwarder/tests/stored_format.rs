//! Protects the state that a forwarder restores from the journal of an earlier version: messages, ids of finished
//! messages, pending final answers, Retry-Afters, faulty routes, operators' overrides, the endpoint list, and
//! handovers.

mod common;

use bytes::{Bytes, BytesMut};
use common::{MAX_FOLDER_BYTES, SECOND, START, second_config, second_endpoint_entries};
use orchidyoke_core::endpoint_list::{EndpointEntry, EndpointState, WatchEvent};
use orchidyoke_core::interface::{DestinationId, Micros};
use orchidyoke_forwarder::config::Config;
use orchidyoke_forwarder::endpoint_call::EndpointReply;
use orchidyoke_forwarder::input::{Effect, Input, OtherProcessUpdate, Submission, SubmitAnswer, WatchSource};
use orchidyoke_forwarder::ownership::{HandoverMark, OutgoingOffer, Owner, Owners, Peer, ReceivedMark};
use orchidyoke_forwarder::reducer::Reducer;
use orchidyoke_journal::{
    AcceptedMessage, AttemptStart, FinalAnswer, Generation, HandoverOffer, HandoverState, ProcessStage,
    Record, replay,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;

/// A journal file that an earlier version wrote up to the time `START`.
const STORED: &[u8] = include_bytes!("fixtures/journal");
/// The compacted file that an earlier version wrote at a start from this journal when the folder was nearly full.
const COMPACTED: &[u8] = include_bytes!("fixtures/journal-rewritten");

/// One millisecond, in microseconds.
const MILLISECOND: Micros = 1_000;

/// The ids of the messages that are still to be delivered, in ascending order.
const PENDING: [&str; 9] =
    ["m-declined", "m-free", "m-kept", "m-missed", "m-offered", "m-out", "m-ran", "m-unresolved", "m-unseen"];
/// The ids of the messages that are finished or whose final answer is decided.
const ENDED: [&str; 5] = ["m-over", "m-told", "m-handed", "m-failed", "m-returned"];

fn string(text: &str) -> String {
    text.to_owned()
}

/// Returns a message of the class without an idempotency key.
fn accepted(message_id: &str, dest: DestinationId) -> AcceptedMessage {
    AcceptedMessage {
        id: string(message_id),
        class: string("state"),
        tenant: String::new(),
        idempotency_key: None,
        destination: dest,
        deadline: START + 7 * SECOND,
        attempts: 0,
        possible_delivery: None,
        in_flight: None,
        handover: HandoverState::default(),
    }
}

/// Returns the message with an idempotency key.
fn accepted_with_key() -> AcceptedMessage {
    AcceptedMessage {
        class: string("bread"),
        idempotency_key: Some(string("k \"1\"")),
        ..accepted("m-ran", 2)
    }
}

fn body(message_id: &str) -> Bytes {
    Bytes::from(format!("body of {message_id}"))
}

fn attempt_start(ago: Micros) -> AttemptStart {
    AttemptStart { started_at: START - ago, endpoint: string("s-c"), zone: string("a") }
}

/// Returns the endpoint list after all changes.
fn list() -> Vec<EndpointEntry> {
    let mut list = second_endpoint_entries();
    list[1].state = EndpointState::Draining;
    let last = list.pop().expect("the list has an endpoint");
    let endpoint = "127.0.0.1:14".parse().expect("the address is valid");
    list.push(EndpointEntry { uid: string("s-f"), address: endpoint, destination: 4, ..last });
    list
}

/// Returns the expected records of the journal.
fn stored_records() -> Vec<Record> {
    let (message_id, at) = (string, START - 300 * MILLISECOND);
    let attempt_started = |message_id: &str, ago: Micros| Record::AttemptStarted {
        messages: vec![string(message_id)],
        attempt: attempt_start(ago),
    };
    let offered =
        |message_id: &str| Record::HandoverOffered { message: string(message_id), owner: string("f2"), at };
    let pending_answer = |message_id: &str, final_answer: FinalAnswer| Record::AnswerDecided {
        message: string(message_id),
        at,
        answer: final_answer,
    };
    let mut before = second_endpoint_entries();
    before[1].state = EndpointState::Draining;
    let removed = EndpointEntry { state: EndpointState::Removed, ..before[4].clone() };
    let added = list()[4].clone();
    let mut records = vec![
        Record::EndpointList(WatchEvent {
            version: 7,
            is_snapshot: true,
            endpoints: before,
            origin: String::new(),
        }),
        Record::EndpointList(WatchEvent {
            version: 9,
            is_snapshot: false,
            endpoints: vec![removed, added],
            origin: String::new(),
        }),
        Record::ProcessStage { stage: ProcessStage::Started },
        Record::ProcessStage { stage: ProcessStage::Ready },
        Record::FaultyRoutes { destinations: vec![4], routes: vec![(2, string("s-d"))] },
        Record::RetryAfter { destination: 1, endpoint: None, until: START + 3 * SECOND },
        Record::RetryAfter { destination: 2, endpoint: Some(string("s-c")), until: START + SECOND },
        Record::DiscoverySuperseded { discovery: "127.0.0.1:2".parse().expect("the address is valid") },
        Record::OperatorOverride { endpoint: string("s-d"), at: START - 60 * SECOND, ejected: true },
        Record::OperatorOverride { endpoint: string("s-a"), at: START - 7 * SECOND, ejected: true },
        Record::OperatorOverride { endpoint: string("s-a"), at: START - 6 * SECOND, ejected: false },
    ];
    let dest = |message_id: &str| if matches!(message_id, "m-out" | "m-unseen" | "m-missed") { 2 } else { 1 };
    records.extend(
        PENDING
            .iter()
            .filter(|message_id| **message_id != "m-ran")
            .map(|message_id| Record::Accepted(accepted(message_id, dest(message_id)))),
    );
    records.push(Record::Accepted(accepted_with_key()));
    records.extend(ENDED.map(|message_id| Record::Accepted(accepted(message_id, 1))));
    records.extend([
        attempt_started("m-ran", 500 * MILLISECOND),
        Record::AttemptInDoubt { message: message_id("m-ran") },
        attempt_started("m-out", 200 * MILLISECOND),
        attempt_started("m-unseen", 400 * MILLISECOND),
        Record::AttemptNotDelivered { message: message_id("m-unseen") },
        Record::AttemptNotSent { message: message_id("m-missed") },
        Record::AttemptNotSent { message: message_id("m-missed") },
        pending_answer("m-failed", FinalAnswer::Failed),
        pending_answer("m-returned", FinalAnswer::Rejected { retry_after_ms: 1500 }),
        Record::Finished { message: message_id("m-over"), at },
        pending_answer("m-told", FinalAnswer::Failed),
        Record::Finished { message: message_id("m-told"), at: at + 1 },
        offered("m-offered"),
        offered("m-declined"),
        Record::HandoverDeclined { message: message_id("m-declined") },
        offered("m-unresolved"),
        Record::HandoverInDoubt { message: message_id("m-unresolved") },
        Record::KeptLocal { message: message_id("m-kept") },
        offered("m-handed"),
        Record::HandedOver { message: message_id("m-handed"), owner: message_id("f2"), at: at + 2 },
    ]);
    records
}

/// Returns the expected records after a compaction at the start.
fn compacted_records() -> Vec<Record> {
    let at = START - 300 * MILLISECOND;
    let finished = |message_id: &str, at: Micros| Record::Finished { message: string(message_id), at };
    let pending_answer = |message_id: &str, final_answer: FinalAnswer| Record::AnswerDecided {
        message: string(message_id),
        at,
        answer: final_answer,
    };
    let message = |message_id: &str| {
        let dest = if matches!(message_id, "m-out" | "m-unseen" | "m-missed") { 2 } else { 1 };
        let plain = accepted(message_id, dest);
        let unknown = AttemptStart { started_at: at, endpoint: String::new(), zone: String::new() };
        Record::Accepted(match message_id {
            "m-missed" => AcceptedMessage { attempts: 2, ..plain },
            "m-unseen" => AcceptedMessage { attempts: 1, ..plain },
            "m-out" => AcceptedMessage {
                attempts: 1,
                possible_delivery: Some(attempt_start(200 * MILLISECOND)),
                ..plain
            },
            "m-ran" => AcceptedMessage {
                attempts: 1,
                possible_delivery: Some(attempt_start(500 * MILLISECOND)),
                ..accepted_with_key()
            },
            "m-unresolved" => AcceptedMessage { possible_delivery: Some(unknown), ..plain },
            _ => plain,
        })
    };
    let mut records = vec![
        Record::EndpointList(WatchEvent {
            version: 9,
            is_snapshot: true,
            endpoints: list(),
            origin: String::new(),
        }),
        Record::ProcessStage { stage: ProcessStage::Started },
        Record::FaultyRoutes { destinations: vec![4], routes: vec![(2, string("s-d"))] },
        Record::DiscoverySuperseded { discovery: "127.0.0.1:2".parse().expect("the address is valid") },
        Record::OperatorOverride { endpoint: string("s-a"), at: START - 6 * SECOND, ejected: false },
        Record::OperatorOverride { endpoint: string("s-d"), at: START - 60 * SECOND, ejected: true },
        finished("m-over", at),
        finished("m-told", at + 1),
        finished("m-handed", at + 2),
        pending_answer("m-failed", FinalAnswer::Failed),
        pending_answer("m-returned", FinalAnswer::Rejected { retry_after_ms: 1500 }),
    ];
    for message_id in PENDING {
        records.push(message(message_id));
        match message_id {
            "m-offered" => {
                records.push(Record::HandoverOffered { message: string(message_id), owner: string("f2"), at })
            }
            "m-kept" => records.push(Record::KeptLocal { message: string(message_id) }),
            _ => {}
        }
    }
    records
}

fn written(records: &[Record]) -> BytesMut {
    let mut bytes = BytesMut::new();
    for record in records {
        let body = if let Record::Accepted(accepted) = record { body(&accepted.id) } else { Bytes::new() };
        record.encode(&body, &mut bytes);
    }
    bytes
}

/// `f2` owns destination 1, and this forwarder all others.
#[derive(Debug)]
struct TwoForwarders;

impl Owners for TwoForwarders {
    fn version(&self) -> u64 {
        1
    }

    fn own_name(&self) -> &str {
        "f1"
    }

    fn owner_of(&self, destination: DestinationId) -> Owner {
        let peer = self.member_address("f2").map(|address| Owner::Peer(Peer { name: string("f2"), address }));
        peer.filter(|_| destination == 1).unwrap_or(Owner::Local)
    }

    fn member_address(&self, name: &str) -> Option<SocketAddr> {
        let port = match name {
            "f1" => 9001,
            "f2" => 9002,
            _ => return None,
        };
        Some(SocketAddr::from(([127, 0, 0, 1], port)))
    }

    fn member_count(&self) -> usize {
        2
    }

    fn owners_per_destination(&self) -> u32 {
        1
    }
}

/// Starts a forwarder from the stored journal, with a file of `size` bytes.
fn start(owners: Option<Rc<dyn Owners>>, size: usize) -> Reducer {
    start_without(|_| false, owners, size)
}

/// Starts a forwarder from the stored journal without the records for which `left_out` returns `true`.
fn start_without(left_out: fn(&Record) -> bool, owners: Option<Rc<dyn Owners>>, size: usize) -> Reducer {
    let text = second_config("127.0.0.1:1", "127.0.0.1:3", second_endpoint_entries());
    let config = Config::read(&text, None, Some("127.0.0.1:2")).expect("the configuration is valid");
    let (mut records, complete_bytes) = replay(Bytes::from_static(STORED));
    assert_eq!(complete_bytes, STORED.len());
    records.retain(|(record, _)| !left_out(record));
    Reducer::new(Config { owners, ..config }, 0, records, size, START)
}

/// The effects that a forwarder has requested.
#[derive(Default)]
struct RequestedEffects {
    /// Messages written to endpoints: when (in microseconds after `START`), to which port, with which idempotency key
    /// and body.
    written: BTreeMap<String, (Micros, u16, Option<String>, Bytes)>,
    notifications: Vec<(String, FinalAnswer)>,
    /// Watches that were started: port of discovery, and version of the list in force.
    watches: Vec<(u16, u64)>,
    offers: Vec<OutgoingOffer>,
    /// Generations of files of other processes that were removed.
    removed_journals: Vec<Generation>,
}

/// Runs a reducer for a while. Connections are established, endpoints deliver, notifications are accepted, and offers
/// are not answered.
fn drive(reducer: &mut Reducer, duration: Micros) -> RequestedEffects {
    drive_from(reducer, Input::TimerDue, duration)
}

/// Runs a reducer as [`drive`] does, with this input first.
fn drive_from(reducer: &mut Reducer, first: Input, duration: Micros) -> RequestedEffects {
    let (mut requested, mut connection_ports, mut inputs) =
        (RequestedEffects::default(), BTreeMap::new(), VecDeque::from([first]));
    let mut size = STORED.len();
    for now in (START..START + duration).step_by(5_000) {
        inputs.push_back(Input::TimerDue);
        while let Some(input) = inputs.pop_front() {
            for effect in reducer.step(now, input) {
                match effect {
                    Effect::Append { append: append_id, bytes } => {
                        size += bytes.len();
                        inputs.push_back(Input::Appended { append: append_id, stored: true, size });
                    }
                    Effect::Connect { connection: connection_id, address, .. } => {
                        connection_ports.insert(connection_id, address.port());
                        inputs.push_back(Input::ConnectionUp { connection: connection_id });
                    }
                    Effect::SendCall { connection: connection_id, call } => {
                        let state =
                            |message_id: &str| format!(r#"{{"id":"{message_id}","state":"accepted"}}"#);
                        let states: Vec<_> = call.messages.iter().map(|part| state(&part.id)).collect();
                        for part in call.messages {
                            let sent = (
                                now - START,
                                connection_ports[&connection_id],
                                part.idempotency_key,
                                part.body,
                            );
                            assert!(
                                requested.written.insert(part.id, sent).is_none(),
                                "a message must be written once"
                            );
                        }
                        let body = format!("[{}]", states.join(",")).into();
                        let reply = EndpointReply {
                            status: 200,
                            is_bulk: call.is_bulk,
                            body,
                            ..EndpointReply::default()
                        };
                        inputs.push_back(Input::CallAnswered {
                            connection: connection_id,
                            reply,
                            reusable: false,
                        });
                    }
                    Effect::PostNotifications { notifications: final_answers, .. } => {
                        requested.notifications.extend(final_answers);
                        inputs.push_back(Input::NotificationsPosted { accepted: true });
                    }
                    Effect::StartWatch { source: WatchSource::Discovery { address, since }, .. } => {
                        requested.watches.push((address.port(), since));
                    }
                    Effect::Offer(offer) => requested.offers.push(*offer),
                    Effect::RemoveJournal { generation } => requested.removed_journals.push(generation),
                    _ => {}
                }
            }
        }
    }
    requested
}

fn submission(message_id: &str) -> Submission {
    Submission {
        id: string(message_id),
        class: string("state"),
        tenant: None,
        idempotency_key: None,
        destination: 1,
        time_left: SECOND,
        is_retry: false,
        handover_mark: ReceivedMark::Absent,
        body: Bytes::from_static(b"again"),
    }
}

/// Returns the submission of a message that the journal holds, as its client sends it again.
fn submission_of_stored(message_id: &str) -> Submission {
    let accepted = stored_records().into_iter().find_map(|record| match record {
        Record::Accepted(accepted) if accepted.id == message_id => Some(accepted),
        _ => None,
    });
    let accepted = accepted.expect("the journal holds the message");
    Submission {
        class: accepted.class,
        idempotency_key: accepted.idempotency_key,
        destination: accepted.destination,
        body: body(message_id),
        ..submission(message_id)
    }
}

#[test]
fn stored_journal_decodes_to_the_same_records() {
    let (records, complete_bytes) = replay(Bytes::from_static(STORED));
    assert_eq!(complete_bytes, STORED.len());
    let read: Vec<_> = records.into_iter().map(|(record, _)| record).collect();
    assert_eq!(read, stored_records());
    assert!(written(&stored_records()) == STORED);
}

#[test]
fn start_in_a_full_folder_compacts_to_the_same_records() {
    let mut reducer = start(Some(Rc::new(TwoForwarders)), MAX_FOLDER_BYTES - 15_000);
    let effects = reducer.step(START, Input::TimerDue);
    let compactions: Vec<_> = effects
        .into_iter()
        .filter_map(|effect| if let Effect::CompactJournal { bytes } = effect { Some(bytes) } else { None })
        .collect();
    let [bytes] = &compactions[..] else { panic!("{} compactions", compactions.len()) };
    let (records, complete_bytes) = replay(bytes.clone());
    let expected = compacted_records();
    for (index, ((read, _), expected)) in records.iter().zip(&expected).enumerate() {
        assert_eq!(read, expected, "record {index}");
    }
    assert_eq!((records.len(), complete_bytes), (expected.len(), bytes.len()));
    assert!(*bytes == COMPACTED && written(&expected) == COMPACTED);
}

#[test]
fn stored_pending_messages_are_restored_and_counted() {
    let reducer = start(None, STORED.len());
    let (metrics, gauges) = (reducer.metrics(), reducer.gauges());
    assert_eq!((metrics.accepted(), metrics.open_messages()), (9, 9));
    assert_eq!((gauges.open_messages, gauges.endpoints), (9, 5));
}

#[test]
fn stored_pending_or_finished_id_is_accepted_at_once() {
    let mut reducer = start(Some(Rc::new(TwoForwarders)), STORED.len());
    let mut answers = |message: Submission| -> Vec<SubmitAnswer> {
        let input = Input::Submitted { request: 1, message };
        let answer = |effect| if let Effect::Answer { answer, .. } = effect { Some(answer) } else { None };
        reducer.step(START, input).into_iter().filter_map(answer).collect()
    };
    for message_id in PENDING.iter().chain(&ENDED) {
        assert_eq!(answers(submission_of_stored(message_id)), [SubmitAnswer::Accepted], "{message_id}");
        let other = answers(submission(message_id));
        assert_eq!(other, [SubmitAnswer::IdInUse], "{message_id} with the content of another message");
    }
    assert_eq!(answers(submission("m-new")), [], "a new message must wait for its record");
}

#[test]
fn stored_final_answers_are_posted_in_order() {
    let requested = drive(&mut start(None, STORED.len()), 20 * MILLISECOND);
    let pending_answer =
        [("m-failed", FinalAnswer::Failed), ("m-returned", FinalAnswer::Rejected { retry_after_ms: 1500 })];
    assert_eq!(
        requested.notifications,
        pending_answer.map(|(message_id, final_answer)| (string(message_id), final_answer))
    );
}

#[test]
fn stored_list_is_watched_from_its_version_at_the_reloaded_address() {
    let requested = drive(&mut start(None, STORED.len()), 20 * MILLISECOND);
    assert_eq!(requested.watches, [(3, 9)]);
}

#[test]
fn stored_faulty_routes_and_overrides_stay_in_force() {
    let reducer = start(None, STORED.len());
    assert_eq!(reducer.faulty_destinations().collect::<Vec<_>>(), [2, 4]);
    let avoided = |left_out: fn(&Record) -> bool| {
        let mut reducer = start_without(left_out, None, STORED.len());
        drive(&mut reducer, 20 * MILLISECOND);
        reducer.gauges().avoided_endpoints
    };
    assert_eq!(
        avoided(|_| false),
        3,
        "one endpoint drains, one is ejected by an operator, one belongs to a faulty destination"
    );
    assert_eq!(avoided(|record| matches!(record, Record::FaultyRoutes { .. })), 2);
    assert_eq!(
        avoided(|record| matches!(record, Record::FaultyRoutes { .. } | Record::OperatorOverride { .. })),
        1
    );
}

#[test]
fn stored_retry_after_keys_and_attempts_stay_in_force() {
    let mut reducer = start(None, STORED.len());
    let requested = drive(&mut reducer, 8 * SECOND);
    let written: BTreeSet<_> = requested.written.keys().map(String::as_str).collect();
    assert_eq!(written, BTreeSet::from(PENDING));
    for (message_id, (at, port, key, sent)) in &requested.written {
        // One endpoint of destination 2 has a Retry-After and the other is ejected by an operator. The whole of
        // destination 1 has a Retry-After.
        let to_second = matches!(&message_id[..], "m-out" | "m-unseen" | "m-missed" | "m-ran");
        let (from, endpoint) = if to_second { (SECOND, 11) } else { (3 * SECOND, 9) };
        assert!(*at >= from && *port == endpoint, "{message_id}: at {at}, to {port}");
        assert_eq!(*sent, body(message_id));
        assert_eq!(*key, (message_id == "m-ran").then(|| string("k \"1\"")), "{message_id}");
    }
    let window_end = 1500 * MILLISECOND;
    assert!(requested.written["m-ran"].0 < window_end, "the window must start with the first attempt");
    assert_eq!((reducer.metrics().open_messages(), requested.notifications.len()), (0, 2));
}

#[test]
fn stored_offer_goes_to_the_same_owner_and_kept_message_stays() {
    let mut reducer = start(Some(Rc::new(TwoForwarders)), STORED.len());
    let requested = drive(&mut reducer, 800 * MILLISECOND);
    let offer = |message_id: &str| {
        requested.offers.iter().find(|offer| offer.message.id == message_id).expect("the message is offered")
    };
    let message_ids: BTreeSet<_> = requested.offers.iter().map(|offer| &offer.message.id[..]).collect();
    assert_eq!(message_ids, BTreeSet::from(["m-declined", "m-free", "m-offered", "m-unresolved"]));
    let (first, repeated_offer) = (START - 300 * MILLISECOND, offer("m-offered"));
    let deadline = START + 7 * SECOND;
    let mark = HandoverMark {
        from: string("f1"),
        deadline,
        valid_until: first + 20 * SECOND,
        attempts: 0,
        possible_delivery: None,
    };
    assert_eq!(
        (&repeated_offer.mark, repeated_offer.owner_address.port(), &repeated_offer.body),
        (&mark, 9002, &body("m-offered"))
    );
    let handover_state = HandoverState {
        offered: Some(HandoverOffer { owner: string("f2"), offered_at: first }),
        kept_local: false,
    };
    assert_eq!(
        repeated_offer.message,
        AcceptedMessage { handover: handover_state, ..accepted("m-offered", 1) }
    );
    let unknown = AttemptStart { started_at: first, endpoint: String::new(), zone: String::new() };
    assert_eq!(
        offer("m-unresolved").mark.possible_delivery,
        Some(unknown),
        "the unresolved offer must count as an attempt"
    );
    assert!(
        offer("m-declined").mark.valid_until > mark.valid_until,
        "the declined offer must not count as the first offer"
    );
}

// An upgrade: this process has a file of its own, and the older process ends while this one runs.
#[test]
fn journal_of_an_ended_previous_version_is_taken_over() {
    let text = second_config("127.0.0.1:1", "127.0.0.1:3", second_endpoint_entries());
    let config = Config::read(&text, None, None).expect("the configuration is valid");
    let mut reducer = Reducer::new(config, 1, Vec::new(), 0, START);
    let (records, size) = replay(Bytes::from_static(STORED));
    let process_updates =
        vec![OtherProcessUpdate { generation: 0, rewritten: true, records, size, ended: true }];
    let requested = drive_from(
        &mut reducer,
        Input::OtherProcessesUpdated { updates: process_updates, removed: Vec::new() },
        8 * SECOND,
    );
    assert_eq!((requested.removed_journals, requested.watches), (vec![0], vec![(3, 9)]));
    assert_eq!((reducer.metrics().accepted(), reducer.metrics().open_messages()), (9, 0));
    let pending_answer =
        [("m-failed", FinalAnswer::Failed), ("m-returned", FinalAnswer::Rejected { retry_after_ms: 1500 })];
    assert_eq!(
        requested.notifications[..2],
        pending_answer.map(|(message_id, final_answer)| (string(message_id), final_answer))
    );
    // Destination 1 starts as after an outage because an operator restored its endpoint, so some messages may be
    // rejected.
    let later = requested.notifications[2..].iter().map(|(message_id, _)| message_id);
    assert_eq!(
        requested.written.keys().chain(later).collect::<BTreeSet<_>>(),
        PENDING.map(string).iter().collect()
    );
    for message_id in ["m-out", "m-unseen", "m-missed", "m-ran"] {
        let (at, port, key, sent) = &requested.written[message_id];
        assert!(
            *at >= SECOND && *port == 11,
            "{message_id}: at {at}, to {port}: the Retry-After must stay in force"
        );
        assert_eq!((key, sent), (&(message_id == "m-ran").then(|| string("k \"1\"")), &body(message_id)));
    }
}
