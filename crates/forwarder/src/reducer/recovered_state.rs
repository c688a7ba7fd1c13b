//! What a journal says of the state at the end of its process: each record applied in the order of the file.

use super::operator_overrides::{OperatorOverrides, OverrideChange};
use super::route_state::{FaultyRoutes, RouteKey};
use bytes::Bytes;
use orchidyoke_core::endpoint_list::EndpointList;
use orchidyoke_core::interface::Micros;
use orchidyoke_journal::{
    AcceptedMessage, FinalAnswer, HandoverOffer, ProcessStage, Record, RecordsWithBodies,
};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// What a journal says, as far as it was read.
#[derive(Debug, Default)]
pub(super) struct RecoveredState {
    pub accepted: BTreeMap<String, (AcceptedMessage, Bytes)>,
    pub undelivered_answers: Vec<(String, FinalAnswer, Micros)>,
    pub finished: Vec<(String, Micros)>,
    pub endpoint_list: EndpointList,
    pub faulty_routes: FaultyRoutes,
    pub superseded: Option<SocketAddr>,
    pub operator_overrides: OperatorOverrides,
    pub stage: ProcessStage,
    /// Waits that were told beside another process, which may still run.
    pub retry_after: BTreeMap<RouteKey, Micros>,
}

/// Ids that are over are kept of another process's file up to twice so many.
const MIN_FINISHED_IDS_KEPT: usize = 4096;

pub(super) fn replay(records: RecordsWithBodies) -> RecoveredState {
    let mut left = RecoveredState::default();
    for (record, body) in records {
        left.apply(record, body);
    }
    left
}

impl RecoveredState {
    /// The next record of the file.
    pub fn apply(&mut self, record: Record, body: Bytes) {
        match record {
            Record::Accepted(taken) => {
                self.accepted.insert(taken.id.clone(), (taken, body));
            }
            Record::AttemptStarted { messages: txns, attempt: trace } => {
                for txn in txns {
                    if let Some((taken, _)) = self.accepted.get_mut(&txn) {
                        // One that is still out was so when its process ended, and may have run first.
                        taken.possible_delivery = taken.possible_delivery.take().or(taken.in_flight.take());
                        (taken.attempts, taken.in_flight) = (taken.attempts + 1, Some(trace.clone()));
                    }
                }
            }
            Record::AttemptInDoubt { message: txn } => {
                if let Some((taken, _)) = self.accepted.get_mut(&txn) {
                    taken.possible_delivery = taken.possible_delivery.take().or(taken.in_flight.take());
                    taken.in_flight = None;
                }
            }
            Record::AttemptNotDelivered { message: txn } => {
                if let Some((taken, _)) = self.accepted.get_mut(&txn) {
                    taken.in_flight = None;
                }
            }
            Record::AttemptNotSent { message: txn } => {
                if let Some((taken, _)) = self.accepted.get_mut(&txn) {
                    taken.attempts += 1;
                }
            }
            Record::AnswerDecided { message: txn, at, answer: verdict } => {
                self.accepted.remove(&txn);
                self.undelivered_answers.push((txn, verdict, at));
            }
            Record::Finished { message: txn, at } => self.finish(txn, at),
            Record::HandoverOffered { message: txn, owner: to, at } => {
                if let Some((taken, _)) = self.accepted.get_mut(&txn) {
                    taken.handover.offered.get_or_insert(HandoverOffer { owner: to, offered_at: at });
                }
            }
            Record::HandoverDeclined { message: txn } => {
                if let Some((taken, _)) = self.accepted.get_mut(&txn) {
                    taken.handover.offered = None;
                }
            }
            Record::HandoverInDoubt { message: txn } => {
                if let Some((taken, _)) = self.accepted.get_mut(&txn) {
                    taken.count_offer_as_attempt();
                }
            }
            Record::KeptLocal { message: txn } => {
                if let Some((taken, _)) = self.accepted.get_mut(&txn) {
                    taken.handover.kept_local = true;
                }
            }
            Record::HandedOver { message: txn, at, .. } => self.finish(txn, at),
            Record::EndpointList(news) => self.endpoint_list.apply(&news),
            Record::DiscoverySuperseded { discovery } => self.superseded = Some(discovery),
            Record::OperatorOverride { endpoint: uid, at, ejected: out } => {
                self.operator_overrides.apply(&uid, OverrideChange { at, ejected: out });
            }
            Record::RetryAfter { destination: dest, endpoint: uid, until } => {
                self.retry_after.insert(RouteKey::new(dest, uid), until);
            }
            Record::ProcessStage { stage } => self.stage = stage,
            Record::FaultyRoutes { destinations: dests, routes } => {
                let routes = routes.into_iter().map(|(dest, uid)| RouteKey::new(dest, Some(uid)));
                self.faulty_routes =
                    dests.into_iter().map(|dest| RouteKey::new(dest, None)).chain(routes).collect();
            }
        }
    }

    /// Nothing more is owed for this message.
    fn finish(&mut self, txn: String, at: Micros) {
        self.accepted.remove(&txn);
        self.undelivered_answers.retain(|(other, _, _)| *other != txn);
        self.finished.push((txn, at));
        if self.finished.len() > 2 * MIN_FINISHED_IDS_KEPT {
            self.finished.drain(..MIN_FINISHED_IDS_KEPT);
        }
    }
}
