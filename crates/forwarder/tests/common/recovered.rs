//! A model of what a process recovers from the records of a file, written apart from the reducer's own.

use bytes::Bytes;
use orchidyoke_core::endpoint_list::EndpointList;
use orchidyoke_journal::{AcceptedMessage, FinalAnswer, HandoverOffer, ProcessStage, Record, replay};
use std::collections::{BTreeMap, BTreeSet};

/// The state that the records of a file describe, without what a snapshot may leave out: ids of messages that were
/// finished long ago, overrides that have ended and Retry-Afters that no other process needs.
#[derive(Debug, Default, PartialEq)]
pub struct Recovered {
    messages: BTreeMap<String, (AcceptedMessage, Bytes)>,
    answers: Vec<(String, FinalAnswer)>,
    list: EndpointList,
    ejected: BTreeSet<String>,
    superseded: Option<String>,
    stage: ProcessStage,
    faulty: BTreeSet<(u64, Option<String>)>,
}

impl Recovered {
    /// Returns what a process recovers from the content of a file, and the ids of finished messages in it.
    pub fn from_file(file: &[u8]) -> (Self, BTreeSet<String>) {
        let (mut state, mut finished) = (Recovered::default(), BTreeSet::new());
        let (records, complete_bytes) = replay(Bytes::copy_from_slice(file));
        assert_eq!(complete_bytes, file.len(), "the file must be complete");
        for (record, body) in records {
            state.apply(record, body, &mut finished);
        }
        (state, finished)
    }

    fn apply(&mut self, record: Record, body: Bytes, finished: &mut BTreeSet<String>) {
        match record {
            Record::Accepted(accepted) => drop(self.messages.insert(accepted.id.clone(), (accepted, body))),
            Record::AttemptStarted { messages, attempt } => {
                for id in messages {
                    self.change(&id, |message| {
                        message.possible_delivery =
                            message.possible_delivery.take().or_else(|| message.in_flight.take());
                        message.attempts += 1;
                        message.in_flight = Some(attempt.clone());
                    });
                }
            }
            Record::AttemptInDoubt { message: id } => self.change(&id, |message| {
                let ended = message.in_flight.take();
                message.possible_delivery = message.possible_delivery.take().or(ended);
            }),
            Record::AttemptNotDelivered { message: id } => {
                self.change(&id, |message| message.in_flight = None)
            }
            Record::AttemptNotSent { message: id } => self.change(&id, |message| message.attempts += 1),
            Record::AnswerDecided { message: id, answer, .. } => {
                self.messages.remove(&id);
                self.answers.push((id, answer));
            }
            Record::Finished { message: id, .. } | Record::HandedOver { message: id, .. } => {
                self.messages.remove(&id);
                self.answers.retain(|(other, _)| *other != id);
                finished.insert(id);
            }
            Record::HandoverOffered { message: id, owner, at } => self.change(&id, |message| {
                message.handover.offered.get_or_insert(HandoverOffer { owner, offered_at: at });
            }),
            Record::HandoverDeclined { message: id } => {
                self.change(&id, |message| message.handover.offered = None)
            }
            Record::HandoverInDoubt { message: id } => {
                self.change(&id, AcceptedMessage::count_offer_as_attempt)
            }
            Record::KeptLocal { message: id } => {
                self.change(&id, |message| message.handover.kept_local = true)
            }
            Record::EndpointList(event) => self.list.apply(&event),
            Record::DiscoverySuperseded { discovery } => self.superseded = Some(discovery.to_string()),
            Record::OperatorOverride { endpoint, ejected: true, .. } => {
                self.ejected.insert(endpoint);
            }
            Record::OperatorOverride { endpoint, ejected: false, .. } => {
                self.ejected.remove(&endpoint);
            }
            Record::RetryAfter { .. } => {}
            Record::ProcessStage { stage } => self.stage = stage,
            Record::FaultyRoutes { destinations, routes } => {
                self.faulty = destinations.into_iter().map(|destination| (destination, None)).collect();
                self.faulty.extend(routes.into_iter().map(|(destination, uid)| (destination, Some(uid))));
            }
        }
    }

    fn change(&mut self, id: &str, change: impl FnOnce(&mut AcceptedMessage)) {
        if let Some((message, _)) = self.messages.get_mut(id) {
            change(message);
        }
    }

    /// Asserts that a process recovers the same from a snapshot as from the file that the snapshot replaces. A snapshot
    /// `at_start` of a process says of the attempts in flight that they have ended in doubt.
    pub fn assert_snapshot_equals(snapshot: &[u8], file: &[u8], at_start: bool) {
        let (mut before, finished_before) = Recovered::from_file(file);
        for id in before.messages.keys().filter(|_| at_start).cloned().collect::<Vec<_>>() {
            before.apply(Record::AttemptInDoubt { message: id }, Bytes::new(), &mut BTreeSet::new());
        }
        let (after, finished_after) = Recovered::from_file(snapshot);
        let listed = |mut state: Recovered| {
            // An override of an endpoint that is listed no more has no effect.
            state.ejected.retain(|uid| state.list.get(uid).is_some());
            state
        };
        assert_eq!(
            listed(after),
            listed(before),
            "the snapshot must describe the state of the file that it replaces"
        );
        assert!(
            finished_after.is_subset(&finished_before),
            "the snapshot must name no message as finished that the file does not"
        );
    }
}
