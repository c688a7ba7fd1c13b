//! Decides for one forwarder what it does with a message: deliver it, at which rate, or hand it over. Not wired into
//! `orchidyoke serve`, which takes the owners from its settings and uses no more than [`View::owner`].
//!
//! A state machine without I/O or clock. Times are microseconds on a monotonic clock; only differences between them count.
//! Three rules keep two owners from sending at the full rate at once:
//!
//! 1. An owner is confirmed while its session lasts, counted from when the last renewal that took effect was *sent*, and
//!    its view counts, counted from when the last read was *sent*, both on its own clock and shortened by the clock
//!    drift. An owner that is not confirmed, because it was suspended or is disconnected from the registry, delivers at
//!    the slow-start rate.
//! 2. A new owner keeps to the slow-start rate for the warm-up time, which is no shorter than a view counts: by then the
//!    old owner has seen the change, or is not confirmed any more. After a new session a forwarder is a new owner of all
//!    that it owns.
//! 3. A forwarder that delivers a message without owning its destination, because the message was handed over to it or
//!    the region has no other member, keeps to the slow-start rate.

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
    /// Its name among the members.
    name: String,
    owners: OwnershipTable,
    /// Since when it knows of its present session.
    registered_at: Option<Micros>,
    /// When the last renewal of the session that took effect was sent.
    renewed_at: Option<Micros>,
    /// When the read that gave the view was sent.
    view_read_at: Option<Micros>,
    /// Since when it owns the destinations that it has not owned for the warm-up time yet.
    warming_up_since: BTreeMap<DestinationId, Micros>,
    draining: bool,
}

impl MemberState {
    /// The forwarder of this name, before its first view.
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

    /// The owners of the destinations by its view.
    pub fn owners(&self) -> &OwnershipTable {
        &self.owners
    }

    /// It was registered under a new session; the request was sent then. It is a new owner of all that it owns: between
    /// two sessions another member may have owned it, though no view that was read here shows that.
    pub fn on_registered(&mut self, now: Micros, sent_at: Micros) {
        self.registered_at = Some(now);
        self.renewed_at = Some(sent_at);
    }

    /// Its session was renewed; the request was sent then.
    pub fn on_renewed(&mut self, sent_at: Micros) {
        if self.registered_at.is_some() {
            self.renewed_at = self.renewed_at.max(Some(sent_at));
        }
    }

    /// The registry does not have its session any more.
    pub fn on_session_lost(&mut self) {
        self.registered_at = None;
        self.renewed_at = None;
    }

    /// Starts its graceful shutdown: it accepts no hand-over, and hands over what it has.
    pub fn start_draining(&mut self) {
        self.draining = true;
    }

    /// Replaces the list of destinations. It is a new owner of those that are new and its own.
    pub fn set_destinations(&mut self, now: Micros, destinations: impl IntoIterator<Item = DestinationId>) {
        let added = self.owners.set_destinations(destinations);
        let owners = &self.owners;
        self.warming_up_since.retain(|destination, _| owners.is_listed(*destination));
        self.start_warm_up(now, added);
    }

    /// A read that was sent then has given this view; returns the destinations whose owner has changed by it.
    ///
    /// While the view held counts, an older one is rejected. Afterwards any is taken: a registry that was set up anew
    /// counts its versions from the start, and by then no forwarder relies on the earlier ones.
    ///
    /// # Errors
    ///
    /// The view is older than the one held, which still counts.
    pub fn on_view(
        &mut self,
        config: &OwnershipConfig,
        now: Micros,
        sent_at: Micros,
        view: View,
    ) -> Result<Vec<OwnershipChange>, StaleView> {
        let changes = match self.owners.replace_view(view.clone()) {
            Ok(changes) => changes,
            Err(stale) if self.view_counts(config, now) => return Err(stale),
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

    /// What it does with a message for a destination. A message that was handed over to it, it delivers whoever owns the
    /// destination by its view: so a message is handed over once at most.
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
            _ => slow_start(SlowStartReason::NotOwner),
        }
    }

    /// Whether it accepts messages that other members hand over.
    pub fn accepts_handover(&self) -> bool {
        !self.draining
    }

    /// Whether it can know that it still owns what it owns by its view.
    pub fn is_confirmed(&self, config: &OwnershipConfig, now: Micros) -> bool {
        let has_session = self.renewed_at.is_some_and(|sent_at| now < sent_at + config.local_session_ttl());
        has_session && self.view_counts(config, now)
    }

    fn view_counts(&self, config: &OwnershipConfig, now: Micros) -> bool {
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
                _ => slow_start(SlowStartReason::Draining),
            };
        }
        if !self.is_confirmed(config, now) {
            return slow_start(SlowStartReason::Unconfirmed);
        }
        let owned_since = self.warming_up_since.get(&destination).copied().max(self.registered_at);
        if owned_since.is_some_and(|since| now < since + config.local_warm_up_time()) {
            return slow_start(SlowStartReason::NewOwner);
        }
        DeliveryDecision::Deliver(Rate::Full)
    }

    /// The owner of a destination once this forwarder has left.
    fn successor(&self, destination: DestinationId) -> Option<&Member> {
        let ranked = self.owners.view().ranking(destination);
        ranked.into_iter().find(|member| member.name != self.name)
    }

    /// Starts the warm-up of those of the destinations that it owns.
    fn start_warm_up(&mut self, now: Micros, destinations: Vec<DestinationId>) {
        for destination in destinations {
            let owner = self.owners.view().owner(destination);
            if owner.is_some_and(|owner| owner.name == self.name) {
                self.warming_up_since.insert(destination, now);
            }
        }
    }
}

fn slow_start(reason: SlowStartReason) -> DeliveryDecision<'static> {
    DeliveryDecision::Deliver(Rate::SlowStart(reason))
}
