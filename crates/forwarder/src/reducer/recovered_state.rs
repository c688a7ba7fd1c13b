//! The state that a journal describes, which results from applying its records in the order of the file.
//!
//! The state is built at the start from this process's own file, and from the file of another process while that
//! process shares the folder.

use super::final_answers::{DecidedAnswer, FinishedId};
use super::journaled_messages::JournaledMessages;
use super::message_content::ContentDigest;
use super::operator_overrides::{OperatorOverrides, OverrideChange};
use super::route_state::{FaultyRoutes, RouteKey};
use bytes::Bytes;
use orchidyoke_core::endpoint_list::EndpointList;
use orchidyoke_core::interface::Micros;
use orchidyoke_journal::{ProcessStage, Record, RecordsWithBodies};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

/// Minimum number of the newest ids of finished messages that are kept from a file. At most twice this number is kept.
const MIN_FINISHED_IDS_KEPT: usize = 4096;

/// The state described by the records of a journal that were read so far.
#[derive(Debug, Default)]
pub(super) struct RecoveredState {
    /// Messages that are not finished, with their bodies.
    pub accepted: JournaledMessages,
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
        let ended = self.accepted.apply(&record, &body);
        let content = ended.map(|(accepted, body)| ContentDigest::of_accepted(&accepted, &body));
        match record {
            Record::AnswerDecided { message, at, answer } => {
                self.pending_answers.push(DecidedAnswer { id: message, answer, decided_at: at, content });
            }
            Record::Finished { message, at } | Record::HandedOver { message, at, .. } => {
                self.finish(message, at, content);
            }
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
                self.faulty_routes = route_keys(destinations, routes).collect();
            }
            Record::Accepted(_)
            | Record::AttemptStarted { .. }
            | Record::AttemptInDoubt { .. }
            | Record::AttemptNotDelivered { .. }
            | Record::AttemptNotSent { .. }
            | Record::HandoverOffered { .. }
            | Record::HandoverDeclined { .. }
            | Record::HandoverInDoubt { .. }
            | Record::KeptLocal { .. } => {}
        }
    }

    /// Adds the contents of messages that have ended and whose content a compacted file lacks. `before` is the state that
    /// the file described before its compaction.
    pub fn restore_contents(&mut self, before: &RecoveredState) {
        let mut contents: HashMap<&str, ContentDigest> = HashMap::new();
        let answers = before.pending_answers.iter().map(|answer| (&answer.id, answer.content));
        let finished = before.finished.iter().map(|finished| (&finished.id, finished.content));
        let ended = answers.chain(finished);
        contents.extend(ended.filter_map(|(id, content)| Some((id.as_str(), content?))));
        for (accepted, body) in before.accepted.iter() {
            contents.insert(&accepted.id, ContentDigest::of_accepted(accepted, body));
        }
        for answer in &mut self.pending_answers {
            answer.content = answer.content.or_else(|| contents.get(answer.id.as_str()).copied());
        }
        for finished in &mut self.finished {
            finished.content = finished.content.or_else(|| contents.get(finished.id.as_str()).copied());
        }
    }

    /// Marks a message as finished, so that it needs no notification. `content` is what it delivered, if the file still
    /// had the message.
    fn finish(&mut self, id: String, at: Micros, mut content: Option<ContentDigest>) {
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

/// Returns the routes that a record of faulty routes names.
fn route_keys(destinations: Vec<u64>, routes: Vec<(u64, String)>) -> impl Iterator<Item = RouteKey> {
    let whole = destinations.into_iter().map(|destination| RouteKey::new(destination, None));
    let separate = routes.into_iter();
    whole.chain(separate.map(|(destination, uid)| RouteKey::new(destination, Some(uid))))
}
