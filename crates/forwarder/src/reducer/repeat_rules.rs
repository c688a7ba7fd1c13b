//! Repeat rules: whether a message that may have been delivered may be sent again, by the idempotency of its class.
//!
//! - `Idempotent`: always.
//! - `NonIdempotent`: never.
//! - `IdempotencyKey`: within the window since the first attempt, and only to endpoints that share their memory of keys
//!   with the endpoint of that attempt: all endpoints, those of the same zone, or only that endpoint.
//!
//! In each case the message's deadline must not have passed. The times are checked when a call gets its connection, and
//! once more immediately before its first byte is written, because the forwarder may be paused in between.

use super::Reducer;
use super::message_table::Message;
use orchidyoke_core::interface::{
    DeduplicationScope, EndpointId, Idempotency, Micros, PriorAttempt, UNKNOWN_ZONE,
};
use orchidyoke_journal::{AcceptedMessage, AttemptStart};

impl Reducer {
    /// Returns the idempotency of a message's class, or the default if the settings no longer have the class.
    pub(super) fn idempotency_of(&self, accepted: &AcceptedMessage) -> Idempotency {
        let class = self.names.classes.iter().position(|class| *class == accepted.class);
        let class = class.and_then(|class| self.settings.classes.get(class));
        class.map(|class| class.idempotency).unwrap_or_default()
    }

    /// Returns until when a message may be written to this endpoint: until its deadline, and if it may have been
    /// delivered, only to an endpoint that drops the repeat. Returns `None` if it must not be sent there.
    pub(super) fn sendable_until(&self, now: Micros, message: &Message, to: &AttemptStart) -> Option<Micros> {
        let accepted = &message.accepted;
        let Some(first) = &accepted.possible_delivery else { return Some(accepted.deadline) };
        let idempotency = self.idempotency_of(accepted);
        let is_in_scope = match idempotency {
            Idempotency::IdempotencyKey { scope, .. } => self.is_in_scope(now, scope, first, to),
            Idempotency::Idempotent | Idempotency::NonIdempotent => true,
        };
        is_in_scope.then(|| idempotency.repeat_until(first.started_at).min(accepted.deadline))
    }

    /// Returns whether `to` recognizes a repeat of the message that the first attempt may have delivered.
    fn is_in_scope(
        &self,
        now: Micros,
        scope: DeduplicationScope,
        first: &AttemptStart,
        to: &AttemptStart,
    ) -> bool {
        let prior = self.prior_attempt(now, first);
        let same_endpoint = self.endpoints.id_of(&to.endpoint) == Some(prior.endpoint);
        match scope {
            DeduplicationScope::All => true,
            DeduplicationScope::Zone => {
                let same_zone = prior.zone == self.zone_number(&to.zone);
                same_zone && (prior.zone != UNKNOWN_ZONE || same_endpoint)
            }
            DeduplicationScope::Endpoint => same_endpoint,
        }
    }

    /// Returns whether a message may be delivered here although an attempt, or another forwarder, may already have
    /// delivered it. After an attempt, the controller decides which endpoints may be tried. After an offer, it is
    /// unknown to which endpoint the other forwarder sent the message.
    pub(super) fn may_repeat(&self, now: Micros, accepted: &AcceptedMessage) -> bool {
        let offered_at = accepted.handover.offered.as_ref().map(|offered| offered.offered_at);
        let started_at = accepted.possible_delivery.as_ref().map(|start| start.started_at);
        let Some(first) = started_at.into_iter().chain(offered_at).min() else { return true };
        let idempotency = self.idempotency_of(accepted);
        let is_in_scope = match idempotency {
            Idempotency::IdempotencyKey { scope, .. } => {
                offered_at.is_none() || scope == DeduplicationScope::All
            }
            Idempotency::Idempotent | Idempotency::NonIdempotent => true,
        };
        is_in_scope && now < idempotency.repeat_until(first)
    }

    /// Returns whether a message that waited for its owner and is not delivered may be rejected, which allows its
    /// client to submit it again. Otherwise it fails. To messages that were passed to the controller, the controller
    /// applies a different rule, which considers attempts in flight and no offers.
    pub(super) fn may_be_rejected_after_offer(&self, accepted: &AcceptedMessage) -> bool {
        if accepted.handover.offered.is_none() && accepted.possible_delivery.is_none() {
            return true;
        }
        matches!(
            self.idempotency_of(accepted),
            Idempotency::Idempotent | Idempotency::IdempotencyKey { scope: DeduplicationScope::All, .. }
        )
    }

    /// Returns when and where an attempt was made. The zone is stored with the attempt, because the endpoint may since
    /// be unlisted or listed in another zone. The zone is empty only in records of an earlier version and for an offer
    /// that counts as an attempt.
    pub(super) fn prior_attempt(&self, now: Micros, start: &AttemptStart) -> PriorAttempt {
        let listed = || self.endpoints.listed(&start.endpoint).map_or("", |listed| &*listed.zone);
        let zone = if start.zone.is_empty() { listed() } else { &start.zone };
        PriorAttempt {
            sent_ago: (now - start.started_at).max(0),
            endpoint: self.endpoints.id_of(&start.endpoint).unwrap_or(EndpointId::MAX),
            zone: self.zone_number(zone),
        }
    }
}
