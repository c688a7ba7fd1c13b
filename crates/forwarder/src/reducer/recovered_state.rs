//! The state that a journal describes, which results from applying its records in the order of the file.
//!
//! The state is built at the start from this process's own file, and from the file of another process while that
//! process shares the folder.

use super::final_answers::{DecidedAnswer, FinishedId};
use super::message_content::ContentDigest;
use super::operator_overrides::{OperatorOverrides, OverrideChange};
use super::route_state::{FaultyRoutes, RouteKey};
use bytes::Bytes;
use orchidyoke_core::endpoint_list::EndpointList;
use orchidyoke_core::interface::Micros;
use orchidyoke_journal::{
    AcceptedMessage, AttemptStart, HandoverOffer, ProcessStage, Record, RecordsWithBodies,
};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Minimum number of the newest ids of finished messages that are kept from a file. At most twice this number is kept.
const MIN_FINISHED_IDS_KEPT: usize = 4096;

/// The state described by the records of a journal that were read so far.
#[derive(Debug, Default)]
pub(super) struct RecoveredState {
    /// Messages that are not finished, by id, with their bodies.
    pub accepted: BTreeMap<String, (AcceptedMessage, Bytes)>,
    /// Final answers for which the platform has not yet accepted a notification.
    pub pending_answers: Vec<DecidedAnswer>,
    /// Ids of finished messages.
    pub finished: Vec<FinishedId>,
    /// The endpoint list.
    pub endpoint_list: EndpointList,
    /// Faulty routes.
    pub faulty_routes: FaultyRoutes,
    /// The address of discovery given on the command line that a reload has superseded.
    pub superseded_discovery: Option<SocketAddr>,
    /// Operators' overrides of endpoints.
    pub operator_overrides: OperatorOverrides,
    /// The stage of the process.
    pub stage: ProcessStage,
    /// The end of the Retry-After of each route, if it was recorded for another process.
    pub retry_after: BTreeMap<RouteKey, Micros>,
}

/// Returns the state that results from all records of a file.
pub(super) fn replay(records: RecordsWithBodies) -> RecoveredState {
    let mut state = RecoveredState::default();
    for (record, body) in records {
        state.apply(record, body);
    }
    state
}

impl RecoveredState {
    /// Applies the next record of the file.
    pub fn apply(&mut self, record: Record, body: Bytes) {
        match record {
            Record::Accepted(accepted) => {
                self.accepted.insert(accepted.id.clone(), (accepted, body));
            }
            Record::AttemptStarted { messages, attempt } => self.start_attempt(&messages, &attempt),
            Record::AttemptInDoubt { message } => self.change(&message, end_in_doubt),
            Record::AttemptNotDelivered { message } => {
                self.change(&message, |accepted| accepted.in_flight = None);
            }
            Record::AttemptNotSent { message } => self.change(&message, |accepted| accepted.attempts += 1),
            Record::AnswerDecided { message, at, answer } => {
                let content = self.remove_accepted(&message);
                self.pending_answers.push(DecidedAnswer { id: message, answer, decided_at: at, content });
            }
            Record::Finished { message, at } | Record::HandedOver { message, at, .. } => {
                self.finish(message, at);
            }
            Record::HandoverOffered { message, owner, at } => self.change(&message, |accepted| {
                accepted.handover.offered.get_or_insert(HandoverOffer { owner, offered_at: at });
            }),
            Record::HandoverDeclined { message } => {
                self.change(&message, |accepted| accepted.handover.offered = None);
            }
            Record::HandoverInDoubt { message } => {
                self.change(&message, AcceptedMessage::count_offer_as_attempt);
            }
            Record::KeptLocal { message } => {
                self.change(&message, |accepted| accepted.handover.kept_local = true);
            }
            other => self.apply_process_record(other),
        }
    }

    /// Applies a record that does not concern a message.
    fn apply_process_record(&mut self, record: Record) {
        match record {
            Record::EndpointList(event) => self.endpoint_list.apply(&event),
            Record::DiscoverySuperseded { discovery } => self.superseded_discovery = Some(discovery),
            Record::OperatorOverride { endpoint, at, ejected } => {
                self.operator_overrides.apply(&endpoint, OverrideChange { at, ejected });
            }
            Record::RetryAfter { destination, endpoint, until } => {
                self.retry_after.insert(RouteKey::new(destination, endpoint), until);
            }
            Record::ProcessStage { stage } => self.stage = stage,
            Record::FaultyRoutes { destinations, routes } => {
                let whole = destinations.into_iter().map(|destination| RouteKey::new(destination, None));
                let separate = routes.into_iter();
                let separate = separate.map(|(destination, uid)| RouteKey::new(destination, Some(uid)));
                self.faulty_routes = whole.chain(separate).collect();
            }
            _ => debug_assert!(false, "records of messages are handled by the caller"),
        }
    }

    /// Changes a message if it is not finished.
    fn change(&mut self, id: &str, change: impl FnOnce(&mut AcceptedMessage)) {
        if let Some((accepted, _)) = self.accepted.get_mut(id) {
            change(accepted);
        }
    }

    fn start_attempt(&mut self, messages: &[String], start: &AttemptStart) {
        for id in messages {
            self.change(id, |accepted| {
                // An attempt that is still in flight was in flight when its process ended, and may have delivered the
                // message.
                end_in_doubt(accepted);
                accepted.attempts += 1;
                accepted.in_flight = Some(start.clone());
            });
        }
    }

    /// Removes a message that has its final answer. Returns what it was to deliver, if the file still has it.
    fn remove_accepted(&mut self, id: &str) -> Option<ContentDigest> {
        let (accepted, body) = self.accepted.remove(id)?;
        Some(ContentDigest::of_accepted(&accepted, &body))
    }

    /// Marks a message as finished, so that it needs no notification.
    fn finish(&mut self, id: String, at: Micros) {
        let mut content = self.remove_accepted(&id);
        self.pending_answers.retain(|other| {
            content = content.or(other.content.filter(|_| other.id == id));
            other.id != id
        });
        self.finished.push(FinishedId { id, at, content });
        if self.finished.len() > 2 * MIN_FINISHED_IDS_KEPT {
            self.finished.drain(..MIN_FINISHED_IDS_KEPT);
        }
    }
}

/// Ends the attempt in flight, if any, as possibly delivered. If an earlier attempt may have delivered the message,
/// that one is kept.
fn end_in_doubt(accepted: &mut AcceptedMessage) {
    let in_flight = accepted.in_flight.take();
    accepted.possible_delivery = accepted.possible_delivery.take().or(in_flight);
}
