//! Repeat rules: whether a message that may have been delivered may be sent again, by the idempotency of its class.
//!
//! - `Idempotent`: always.
//! - `NonIdempotent`: never.
//! - `IdempotencyKey`: within the window since the first attempt, and only to endpoints that share what they remember of
//!   keys with the endpoint of that attempt: all, those of its zone, or itself.
//!
//! In each case its deadline has to be ahead.

use super::Reducer;
use super::message_table::Message;
use orchidyoke_core::interface::{
    DeduplicationScope, EndpointId, Idempotency, Micros, PriorAttempt, UNKNOWN_ZONE,
};
use orchidyoke_journal::{AcceptedMessage, AttemptStart};

impl Reducer {
    /// The idempotency of a message's class; a class that is gone from the settings counts as the default.
    pub(super) fn idempotency_of(&self, accepted: &AcceptedMessage) -> Idempotency {
        let class = self.names.classes.iter().position(|class| *class == accepted.class);
        let class = class.and_then(|class| self.settings.classes.get(class));
        class.map(|class| class.idempotency).unwrap_or_default()
    }

    /// Whether a message may still go to this endpoint. One that may have been delivered is sent again only before its
    /// deadline and where the endpoint drops the repeat.
    pub(super) fn may_send_to(&self, now: Micros, message: &Message, to: &AttemptStart) -> bool {
        let accepted = &message.accepted;
        let may_repeat = match (&accepted.possible_delivery, self.idempotency_of(accepted)) {
            (None, _) | (_, Idempotency::Idempotent) => true,
            (Some(_), Idempotency::NonIdempotent) => false,
            (Some(first), Idempotency::IdempotencyKey { scope, window }) => {
                let in_window = now < first.started_at.saturating_add(window);
                in_window && self.is_in_scope(now, scope, first, to)
            }
        };
        may_repeat && now < accepted.deadline
    }

    /// Whether `to` drops a repeat of what the first attempt may have delivered.
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

    /// Whether a message may be delivered here though an attempt, or another forwarder, may have delivered it. Which
    /// endpoints may be tried after an attempt is for the controller; where another forwarder would have sent it, nobody
    /// here knows.
    pub(super) fn may_repeat(&self, now: Micros, accepted: &AcceptedMessage) -> bool {
        let offered_at = accepted.handover.offered.as_ref().map(|offered| offered.offered_at);
        let started_at = accepted.possible_delivery.as_ref().map(|start| start.started_at);
        let Some(first) = started_at.into_iter().chain(offered_at).min() else { return true };
        match self.idempotency_of(accepted) {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => false,
            Idempotency::IdempotencyKey { scope, window } => {
                let is_in_scope = offered_at.is_none() || scope == DeduplicationScope::All;
                is_in_scope && now < first.saturating_add(window)
            }
        }
    }

    /// Whether a message that waited for its owner and is not delivered may be rejected, which allows its client to
    /// submit it again; else it has failed. The controller judges the messages that it has by a rule of its own, which
    /// knows the attempts in flight and no offers.
    pub(super) fn may_be_rejected_after_offer(&self, accepted: &AcceptedMessage) -> bool {
        if accepted.handover.offered.is_none() && accepted.possible_delivery.is_none() {
            return true;
        }
        matches!(
            self.idempotency_of(accepted),
            Idempotency::Idempotent | Idempotency::IdempotencyKey { scope: DeduplicationScope::All, .. }
        )
    }

    /// Where an attempt was made. Its zone is kept with it, for the endpoint may be gone since, or listed elsewhere; only
    /// a record of a version before has none.
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
