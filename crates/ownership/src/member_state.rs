//! Decides for one forwarder whether it delivers a message, at which rate, or hands it over. `orchidyoke serve` does
//! not use this module. It takes the owners from its settings and uses only [`View::owner`].
//!
//! The state machine has no I/O and no clock. Times are in microseconds on a monotonic clock, whose start does not
//! matter. Three rules keep two owners from sending at the full rate at once:
//!
//! 1. An owner is confirmed while its session and its view are valid. Its session is valid for the TTL, counted from
//!    the time at which the last successful renewal was *sent*. Its view is valid for the view lifetime, counted from
//!    the time at which the last read was *sent*. Both are measured on the owner's clock and shortened by the clock
//!    drift. An owner that is not confirmed, because it was suspended or is disconnected from the registry, delivers at
//!    the slow-start rate.
//! 2. A new owner keeps to the slow-start rate for the warm-up time, which is at least the view lifetime. After that
//!    time, the old owner has either seen the change or is no longer confirmed. A forwarder that gets a new session is
//!    a new owner of all destinations that it owns.
//! 3. A forwarder keeps to the slow-start rate if it delivers a message without owning the destination. It does so if
//!    the message was handed over to it, or if the region has no other member.

use crate::config::OwnershipConfig;
use crate::delivery::{DeliveryDecision, Rate, SlowStartReason};
use crate::member::Member;
use crate::ownership_table::{OwnershipChange, OwnershipTable};
use crate::view::{StaleView, View};
use orchidyoke_core::interface::{DestinationId, Micros};
use std::collections::BTreeMap;

/// The ownership state of one forwarder.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct MemberState {
    /// The forwarder's name among the members.
    name: String,
    owners: OwnershipTable,
    /// The time at which the forwarder learned of its present session, or `None` if it has no session.
    registered_at: Option<Micros>,
    /// The time at which the last successful renewal of the session was sent.
    renewed_at: Option<Micros>,
    /// The time at which the read that returned the view was sent.
    view_read_at: Option<Micros>,
    /// For each destination that the forwarder has owned for less than the warm-up time, the time at which it became
    /// the owner. An entry that is older than the warm-up time may stay until the next view.
    warming_up_since: BTreeMap<DestinationId, Micros>,
    draining: bool,
}

impl MemberState {
    /// Creates the state of the forwarder of this name, without a view.
    pub fn new(name: impl Into<String>) -> MemberState {
        MemberState {
            name: name.into(),
            owners: OwnershipTable::default(),
            registered_at: None,
            renewed_at: None,
            view_read_at: None,
            warming_up_since: BTreeMap::new(),
            draining: false,
        }
    }

    /// Returns the owners of the destinations in the forwarder's view.
    pub fn owners(&self) -> &OwnershipTable {
        &self.owners
    }

    /// Handles the registration of the forwarder under a new session, whose request was sent at `sent_at`. The
    /// forwarder becomes a new owner of all destinations that it owns. Between the two sessions another member may have
    /// owned them, even if no view that this forwarder read shows that.
    pub fn on_registered(&mut self, now: Micros, sent_at: Micros) {
        self.registered_at = Some(now);
        self.renewed_at = Some(sent_at);
    }

    /// Handles the renewal of the forwarder's session, whose request was sent at `sent_at`.
    pub fn on_renewed(&mut self, sent_at: Micros) {
        if self.registered_at.is_some() {
            self.renewed_at = self.renewed_at.max(Some(sent_at));
        }
    }

    /// Handles the loss of the session, which the registry no longer has.
    pub fn on_session_lost(&mut self) {
        self.registered_at = None;
        self.renewed_at = None;
    }

    /// Starts the graceful shutdown. The forwarder accepts no handover and hands over the messages that it has.
    pub fn start_draining(&mut self) {
        self.draining = true;
    }

    /// Replaces the list of destinations. The forwarder becomes a new owner of those added destinations that it owns.
    pub fn set_destinations(&mut self, now: Micros, destinations: impl IntoIterator<Item = DestinationId>) {
        let added = self.owners.set_destinations(destinations);
        let owners = &self.owners;
        self.warming_up_since.retain(|destination, _| owners.is_listed(*destination));
        self.start_warm_up(now, added);
    }

    /// Handles the view that a read, sent at `sent_at`, returned. Returns the destinations whose owner has changed.
    ///
    /// While the present view is valid, an older view is rejected. After the present view has expired, any view is
    /// accepted, because a registry that was set up again counts its versions from the start. No forwarder relies on
    /// the earlier versions once its view has expired.
    ///
    /// # Errors
    ///
    /// Returns an error if the view is older than the present view and the present view is still valid.
    pub fn on_view(
        &mut self,
        config: &OwnershipConfig,
        now: Micros,
        sent_at: Micros,
        view: View,
    ) -> Result<Vec<OwnershipChange>, StaleView> {
        let changes = match self.owners.replace_view(view.clone()) {
            Ok(changes) => changes,
            Err(stale) if self.is_view_valid(config, now) => return Err(stale),
            Err(_) => self.owners.reset_view(view),
        };
        self.view_read_at = self.view_read_at.max(Some(sent_at));
        self.warming_up_since.retain(|_, since| now < *since + config.local_warm_up_time());
        let mut gained = Vec::new();
        for change in &changes {
            if change.to.as_deref() == Some(&self.name) {
                gained.push(change.destination);
            } else {
                self.warming_up_since.remove(&change.destination);
            }
        }
        self.start_warm_up(now, gained);
        Ok(changes)
    }

    /// Decides what the forwarder does with a message for a destination. If the message was handed over to the
    /// forwarder, the forwarder delivers it whichever member owns the destination. Therefore a message is handed over
    /// at most once.
    pub fn decide(
        &self,
        config: &OwnershipConfig,
        now: Micros,
        destination: DestinationId,
        was_handed_over: bool,
    ) -> DeliveryDecision<'_> {
        match self.owners.owner(destination) {
            Some(owner) if owner.name == self.name => {
                self.decide_as_owner(config, now, destination, was_handed_over)
            }
            Some(owner) if !was_handed_over => DeliveryDecision::HandOver(owner),
            _ => deliver_at_slow_start(SlowStartReason::NotOwner),
        }
    }

    /// Returns whether the forwarder accepts messages that other members hand over.
    pub fn accepts_handover(&self) -> bool {
        !self.draining
    }

    /// Returns whether the forwarder's session and view are valid, so that it still owns what it owns in its view.
    pub fn is_confirmed(&self, config: &OwnershipConfig, now: Micros) -> bool {
        let has_session = self.renewed_at.is_some_and(|sent_at| now < sent_at + config.local_session_ttl());
        has_session && self.is_view_valid(config, now)
    }

    fn is_view_valid(&self, config: &OwnershipConfig, now: Micros) -> bool {
        self.view_read_at.is_some_and(|sent_at| now < sent_at + config.local_view_lifetime())
    }

    fn decide_as_owner(
        &self,
        config: &OwnershipConfig,
        now: Micros,
        destination: DestinationId,
        was_handed_over: bool,
    ) -> DeliveryDecision<'_> {
        if self.draining {
            return match self.successor(destination) {
                Some(successor) if !was_handed_over => DeliveryDecision::HandOver(successor),
                _ => deliver_at_slow_start(SlowStartReason::Draining),
            };
        }
        if !self.is_confirmed(config, now) {
            return deliver_at_slow_start(SlowStartReason::Unconfirmed);
        }
        let owned_since = self.warming_up_since.get(&destination).copied().max(self.registered_at);
        if owned_since.is_some_and(|since| now < since + config.local_warm_up_time()) {
            return deliver_at_slow_start(SlowStartReason::NewOwner);
        }
        DeliveryDecision::Deliver(Rate::Full)
    }

    /// Returns the owner of a destination after this forwarder has left.
    fn successor(&self, destination: DestinationId) -> Option<&Member> {
        let ranked = self.owners.view().ranking(destination);
        ranked.into_iter().find(|member| member.name != self.name)
    }

    /// Starts the warm-up of those given destinations that the forwarder owns.
    fn start_warm_up(&mut self, now: Micros, destinations: Vec<DestinationId>) {
        for destination in destinations {
            let owner = self.owners.view().owner(destination);
            if owner.is_some_and(|owner| owner.name == self.name) {
                self.warming_up_since.insert(destination, now);
            }
        }
    }
}

fn deliver_at_slow_start(reason: SlowStartReason) -> DeliveryDecision<'static> {
    DeliveryDecision::Deliver(Rate::SlowStart(reason))
}
