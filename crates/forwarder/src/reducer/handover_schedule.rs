//! The schedule of handovers: which messages wait for the owners of their destinations, when each is offered, and which
//! are delivered here while their owner fails. This module does no I/O and does not write to the journal; see
//! `docs/handover.md`.
//!
//! The work of each function call is proportional to the number of decisions that are due. Owners are kept in a set
//! that is ordered by the time of their next offer, and messages in a set that is ordered by the time at which they
//! stop waiting.

use super::SECOND_US;
use super::final_answers::FINISHED_ID_LIFETIME_US;
use crate::backoff::Backoff;
use crate::ownership::{OfferOutcome, Peer};
use orchidyoke_core::interface::{DestinationId, MessageId, Micros};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Time-out of an offer. The owner may have accepted the message of an offer that timed out.
pub(super) const OFFER_TIMEOUT_US: Micros = SECOND_US;
/// How long a message in doubt is offered again, from its first offer. The owner remembers the ids of finished messages
/// for longer than this ([`FINISHED_ID_LIFETIME_US`]), unless its disk has room for fewer ids.
pub(super) const MAX_IN_DOUBT_US: Micros = 20 * SECOND_US;
const _: () = assert!(
    MAX_IN_DOUBT_US < FINISHED_ID_LIFETIME_US,
    "an offer must not be repeated after the owner may have forgotten the message's id"
);
/// Time from the end of the first failed offer to an owner until messages for this owner may be delivered here. They
/// may be delivered here until the owner answers an offer.
const OWNER_FAILING_LIMIT_US: Micros = 2 * SECOND_US;
/// Maximum number of offers in flight to one owner.
const MAX_OFFERS_PER_OWNER: usize = 16;
/// Maximum number of offers in flight to all owners.
const MAX_OFFERS: usize = 64;
/// Maximum number of messages that this forwarder delivers at the same time while their owners fail, with one message
/// per destination. Each other forwarder has the same limit of its own.
const MAX_LOCAL_DELIVERIES: usize = 32;
/// Maximum number of messages that wait for one owner. Further messages are rejected.
const MAX_WAITING_PER_OWNER: usize = 1000;
/// Bound of the first backoff before an offer is repeated, and the maximum backoff.
const FIRST_OFFER_BACKOFF_US: Micros = 100_000;
const MAX_OFFER_BACKOFF_US: Micros = 2 * SECOND_US;

/// The properties of a message that the schedule depends on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct HandoverTerms {
    /// Its destination.
    pub destination: DestinationId,
    /// When it stops waiting: at its deadline or, if it is in doubt and that is sooner, at the end of
    /// [`MAX_IN_DOUBT_US`].
    pub ends_at: Micros,
    /// Whether it may be delivered here while its owner fails.
    pub local_delivery_allowed: bool,
    /// Whether the owner may have accepted it.
    pub in_doubt: bool,
}

/// The next action for a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum HandoverDecision {
    /// Offer it to its owner.
    Offer(MessageId, Peer),
    /// Deliver it here, because its owner fails.
    DeliverLocally(MessageId),
    /// End its wait for the owner, because its waiting time is over.
    TimeUp(MessageId),
}

/// A message that waits for its owner.
#[derive(Debug)]
struct WaitingMessage {
    terms: HandoverTerms,
    owner: String,
    due: Micros,
    rejections: u32,
}

/// An owner that messages wait for.
#[derive(Debug)]
struct OwnerQueue {
    address: SocketAddr,
    /// Messages whose offer is not in flight, in the order in which they are due.
    due: BTreeSet<(Micros, MessageId)>,
    /// The messages in `due` that the owner may have accepted. They are offered first while the owner fails.
    in_doubt: BTreeSet<MessageId>,
    /// The messages in `due` that may be delivered here.
    local_delivery_allowed: BTreeSet<(DestinationId, MessageId)>,
    waiting: usize,
    offers_in_flight: usize,
    /// When the first offer since the last answered one failed; `None` if none has failed.
    failing_since: Option<Micros>,
    /// Earliest time of the next offer; 0 if no offer has failed since the last answered one.
    not_before: Micros,
    backoff: Backoff,
    /// The time of this owner's entry in [`HandoverSchedule::timers`], if it has one.
    timer: Option<Micros>,
}

impl OwnerQueue {
    fn new(address: SocketAddr, seed: u64) -> Self {
        OwnerQueue {
            address,
            due: BTreeSet::new(),
            in_doubt: BTreeSet::new(),
            local_delivery_allowed: BTreeSet::new(),
            waiting: 0,
            offers_in_flight: 0,
            failing_since: None,
            not_before: 0,
            backoff: Backoff::new(FIRST_OFFER_BACKOFF_US, seed),
            timer: None,
        }
    }

    /// Returns when the next message may be offered to the owner, or `None` if none waits or the maximum number of
    /// offers is in flight.
    fn wake_at(&self) -> Option<Micros> {
        let max_offers = if self.failing_since.is_some() { 1 } else { MAX_OFFERS_PER_OWNER };
        let (first, _) = self.due.first()?;
        (self.offers_in_flight < max_offers).then_some((*first).max(self.not_before))
    }

    /// Returns the next message to offer. A failing owner is offered messages in doubt first, if there are any.
    fn next(&self, now: Micros) -> Option<MessageId> {
        if self.failing_since.is_some()
            && let Some(id) = self.in_doubt.first()
        {
            return Some(*id);
        }
        self.due.first().filter(|(at, _)| *at <= now).map(|(_, id)| *id)
    }

    fn is_failing_long(&self, now: Micros) -> bool {
        self.failing_since.is_some_and(|since| now - since >= OWNER_FAILING_LIMIT_US)
    }
}

/// All handovers of this forwarder.
#[derive(Debug, Default)]
pub(super) struct HandoverSchedule {
    waiting: BTreeMap<MessageId, WaitingMessage>,
    owner_queues: BTreeMap<String, OwnerQueue>,
    /// Owners, in the order of the time at which a message may be offered to them.
    timers: BTreeSet<(Micros, String)>,
    /// Waiting messages, in the order of the time at which they stop waiting.
    wait_ends: BTreeSet<(Micros, MessageId)>,
    /// Offers in flight, with their owners. The message of an offer may already be finished.
    offers_in_flight: BTreeMap<MessageId, String>,
    /// Owners to which the last offer failed.
    failing: BTreeSet<String>,
    /// The times from which messages for failing owners may be delivered here.
    local_delivery_from: BTreeSet<(Micros, String)>,
    /// Messages delivered here while their owner fails, by destination.
    local_deliveries: BTreeMap<DestinationId, MessageId>,
    local_delivery_ids: BTreeMap<MessageId, DestinationId>,
    /// Whether more local deliveries may be possible than at the last check.
    check_local_delivery: bool,
    seed: u64,
}

impl HandoverSchedule {
    /// Creates an empty schedule whose random numbers derive from `seed`.
    pub fn new(seed: u64) -> Self {
        HandoverSchedule { seed, ..HandoverSchedule::default() }
    }

    /// Returns whether an offer of the message is in flight.
    pub fn is_offer_in_flight(&self, id: MessageId) -> bool {
        self.offers_in_flight.contains_key(&id)
    }

    /// Returns whether the owner may have accepted the message, not counting the offer in flight.
    pub fn is_in_doubt(&self, id: MessageId) -> bool {
        self.waiting.get(&id).is_some_and(|waiting| waiting.terms.in_doubt)
    }

    /// Returns the owner that a message waits for.
    pub fn owner_of(&self, id: MessageId) -> Option<&str> {
        self.waiting.get(&id).map(|waiting| waiting.owner.as_str())
    }

    /// Returns the ids of all waiting messages.
    pub fn ids(&self) -> Vec<MessageId> {
        self.waiting.keys().copied().collect()
    }

    /// Returns the number of waiting messages, and the number of messages that are delivered here while their owner
    /// fails.
    pub fn counts(&self) -> (usize, usize) {
        (self.waiting.len(), self.local_deliveries.len())
    }

    /// Returns whether the maximum number of messages waits for this owner, so that no more may be accepted.
    pub fn is_full(&self, owner: &str) -> bool {
        self.owner_queues.get(owner).is_some_and(|queue| queue.waiting >= MAX_WAITING_PER_OWNER)
    }

    /// Adds a message that waits for its owner.
    pub fn add(&mut self, now: Micros, id: MessageId, owner: &Peer, terms: HandoverTerms) {
        self.seed = self.seed.wrapping_add(1);
        let seed = self.seed;
        let queue = self
            .owner_queues
            .entry(owner.name.clone())
            .or_insert_with(|| OwnerQueue::new(owner.address, seed));
        queue.address = owner.address;
        queue.waiting += 1;
        self.wait_ends.insert((terms.ends_at, id));
        self.waiting.insert(id, WaitingMessage { terms, owner: owner.name.clone(), due: now, rejections: 0 });
        self.queue(id, now);
    }

    /// Removes a message that no longer waits for its owner or that was removed from this process. An offer of the
    /// message that is in flight stays in the schedule until the offer ends.
    pub fn remove(&mut self, id: MessageId) {
        if let Some(destination) = self.local_delivery_ids.remove(&id) {
            self.local_deliveries.remove(&destination);
            self.check_local_delivery = true;
        }
        let Some(waiting) = self.waiting.get(&id) else { return };
        self.wait_ends.remove(&(waiting.terms.ends_at, id));
        let owner = waiting.owner.clone();
        self.unqueue(id);
        self.waiting.remove(&id);
        if let Some(queue) = self.owner_queues.get_mut(&owner) {
            queue.waiting -= 1;
        }
        self.schedule(&owner);
    }

    /// Replaces the terms of a message.
    pub fn update_terms(&mut self, id: MessageId, terms: HandoverTerms) {
        let queued = !self.offers_in_flight.contains_key(&id);
        if queued {
            self.unqueue(id);
        }
        let Some(waiting) = self.waiting.get_mut(&id) else { return };
        self.wait_ends.remove(&(waiting.terms.ends_at, id));
        self.wait_ends.insert((terms.ends_at, id));
        waiting.terms = terms;
        let due = waiting.due;
        if queued {
            self.queue(id, due);
        }
    }

    /// Handles an offer that was decided on and not sent. The message is due again after a delay, and the owner does
    /// not count as failing.
    pub fn on_offer_withheld(&mut self, now: Micros, id: MessageId) {
        if let Some(owner) = self.remove_offer(id) {
            self.queue(id, now + MAX_OFFER_BACKOFF_US);
            self.schedule(&owner);
        }
    }

    /// Handles the end of an offer, and updates whether the owner counts as failing. The message is due again unless
    /// the caller removes it.
    pub fn on_offer_ended(&mut self, now: Micros, id: MessageId, outcome: &OfferOutcome) {
        let Some(owner) = self.remove_offer(id) else { return };
        let Some(queue) = self.owner_queues.get_mut(&owner) else { return };
        let mut due = now;
        if let OfferOutcome::Accepted | OfferOutcome::Rejected(_) = outcome {
            queue.failing_since = None;
            queue.not_before = 0;
            queue.backoff.reset();
            self.failing.remove(&owner);
        } else {
            if queue.failing_since.is_none() {
                queue.failing_since = Some(now);
                self.local_delivery_from.insert((now + OWNER_FAILING_LIMIT_US, owner.clone()));
            }
            queue.not_before = now + queue.backoff.next_delay(MAX_OFFER_BACKOFF_US);
            due = queue.not_before;
            self.failing.insert(owner.clone());
        }
        if let (OfferOutcome::Rejected(wait), Some(waiting)) = (outcome, self.waiting.get_mut(&id)) {
            let bound = FIRST_OFFER_BACKOFF_US
                .saturating_mul(1 << waiting.rejections.min(10))
                .min(MAX_OFFER_BACKOFF_US);
            waiting.rejections += 1;
            due = now.saturating_add(*wait).saturating_add(bound / 2 + queue.backoff.random_below(bound / 2));
        }
        self.queue(id, due);
        self.schedule(&owner);
    }

    /// Returns the next decision that is due, or `None` if there is none. Call it until it returns `None`.
    pub fn next(&mut self, now: Micros) -> Option<HandoverDecision> {
        if let Some((at, id)) = self.wait_ends.first().copied()
            && at <= now
        {
            self.wait_ends.pop_first();
            return Some(HandoverDecision::TimeUp(id));
        }
        self.next_offer(now).or_else(|| self.next_local_delivery(now))
    }

    /// Returns when the next decision is due.
    pub fn wake_at(&self) -> Option<Micros> {
        let room = self.offers_in_flight.len() < MAX_OFFERS;
        let offer = self.timers.first().filter(|_| room).map(|(at, _)| *at);
        let local_delivery = self.local_delivery_from.first().map(|(at, _)| *at);
        let end = self.wait_ends.first().map(|(at, _)| *at);
        [offer, local_delivery, end].into_iter().flatten().min()
    }

    fn next_offer(&mut self, now: Micros) -> Option<HandoverDecision> {
        while self.offers_in_flight.len() < MAX_OFFERS
            && let Some((at, owner)) = self.timers.first().cloned()
            && at <= now
        {
            let queue = self.owner_queues.get(&owner)?;
            let next = queue.next(now);
            let address = queue.address;
            if let Some(id) = next {
                self.unqueue(id);
                self.offers_in_flight.insert(id, owner.clone());
                if let Some(queue) = self.owner_queues.get_mut(&owner) {
                    queue.offers_in_flight += 1;
                }
                self.schedule(&owner);
                return Some(HandoverDecision::Offer(id, Peer { name: owner, address }));
            }
            self.schedule(&owner);
            debug_assert!(
                self.timers.first().is_none_or(|(at, _)| *at > now),
                "an owner's timer is due and no message can be offered to it"
            );
        }
        None
    }

    fn next_local_delivery(&mut self, now: Micros) -> Option<HandoverDecision> {
        while self.local_delivery_from.first().is_some_and(|(at, _)| *at <= now) {
            self.local_delivery_from.pop_first();
            self.check_local_delivery = true;
        }
        if !self.check_local_delivery || self.local_deliveries.len() >= MAX_LOCAL_DELIVERIES {
            return None;
        }
        for owner in &self.failing {
            let Some(queue) = self.owner_queues.get(owner).filter(|queue| queue.is_failing_long(now)) else {
                continue;
            };
            if let Some(id) =
                first_of_other_destination(&queue.local_delivery_allowed, &self.local_deliveries)
            {
                let destination = self.waiting.get(&id)?.terms.destination;
                self.remove(id);
                self.local_deliveries.insert(destination, id);
                self.local_delivery_ids.insert(id, destination);
                return Some(HandoverDecision::DeliverLocally(id));
            }
        }
        self.check_local_delivery = false;
        None
    }

    /// Removes an offer in flight and returns its owner.
    fn remove_offer(&mut self, id: MessageId) -> Option<String> {
        let owner = self.offers_in_flight.remove(&id)?;
        if let Some(queue) = self.owner_queues.get_mut(&owner) {
            queue.offers_in_flight -= 1;
        }
        Some(owner)
    }

    fn queue(&mut self, id: MessageId, due: Micros) {
        self.unqueue(id);
        let Some(waiting) = self.waiting.get_mut(&id) else { return };
        waiting.due = due;
        let owner = waiting.owner.clone();
        let terms = waiting.terms;
        let Some(queue) = self.owner_queues.get_mut(&owner) else { return };
        queue.due.insert((due, id));
        if terms.in_doubt {
            queue.in_doubt.insert(id);
        }
        if terms.local_delivery_allowed {
            queue.local_delivery_allowed.insert((terms.destination, id));
            self.check_local_delivery |= queue.failing_since.is_some();
        }
        self.schedule(&owner);
    }

    fn unqueue(&mut self, id: MessageId) {
        let Some(waiting) = self.waiting.get(&id) else { return };
        let Some(queue) = self.owner_queues.get_mut(&waiting.owner) else { return };
        queue.due.remove(&(waiting.due, id));
        queue.in_doubt.remove(&id);
        queue.local_delivery_allowed.remove(&(waiting.terms.destination, id));
    }

    /// Updates the owner's timer after a change to its queue.
    fn schedule(&mut self, owner: &str) {
        let Some(queue) = self.owner_queues.get_mut(owner) else { return };
        let before = queue.timer;
        let after = queue.wake_at();
        queue.timer = after;
        if let Some(at) = before.filter(|at| Some(*at) != after) {
            self.timers.remove(&(at, owner.to_owned()));
        }
        if let Some(at) = after.filter(|at| Some(*at) != before) {
            self.timers.insert((at, owner.to_owned()));
        }
    }

    /// Updates the addresses of the owners from the members. Forgets owners that are no longer members, unless messages
    /// wait for them or offers to them are in flight.
    pub fn update_members(&mut self, member: impl Fn(&str) -> Option<SocketAddr>) {
        self.owner_queues.retain(|name, queue| {
            let address = member(name);
            queue.address = address.unwrap_or(queue.address);
            address.is_some() || queue.waiting > 0 || queue.offers_in_flight > 0
        });
        self.failing.retain(|name| self.owner_queues.contains_key(name));
    }
}

/// Returns the first message whose destination is not in `taken`. Skips at most as many destinations as `taken` has.
fn first_of_other_destination(
    messages: &BTreeSet<(DestinationId, MessageId)>,
    taken: &BTreeMap<DestinationId, MessageId>,
) -> Option<MessageId> {
    let mut from = 0;
    loop {
        let (destination, id) = messages.range((from, 0)..).next()?;
        if !taken.contains_key(destination) {
            return Some(*id);
        }
        from = destination.checked_add(1)?;
    }
}
