//! Custody: what the reducer does with a message whose destination another forwarder owns, from its taking to the
//! owner's answer. When what is due is decided in [`handover`](super::handover_schedule).

use super::Reducer;
use super::durability::AfterAppend;
use super::handover_schedule::{HandoverDecision, HandoverTerms, MAX_IN_DOUBT_US, OFFER_TIMEOUT_US};
use crate::input::Effect;
use crate::ownership::{HandoverMark, OfferOutcome, OutgoingOffer, Owner, Owners, Peer, ReceivedMark};
use orchidyoke_core::interface::{DeduplicationScope, DestinationId, Event, Idempotency, MessageId, Micros};
use orchidyoke_journal::{AcceptedMessage, FinalAnswer, HandoverOffer, HandoverState, Record};
use std::collections::BTreeSet;
use std::fmt::Write;
use std::rc::Rc;

/// About the bytes of the records of a message's custody, beside its id and the longest name of an owner.
const HANDOVER_RECORDS_BYTES: usize = 320;
/// The owners of so many destinations are looked up for the metrics: a look-up costs a hash for each member.
const MAX_OWNER_LOOKUPS: usize = 1000;
/// Names of forwarders that are no members are logged once each, and so many of them in a view.
const MAX_LOGGED_NON_MEMBERS: usize = 64;

/// The view of owners that a forwarder has, and counts of what followed from it.
#[derive(Debug, Default)]
pub(super) struct Ownership {
    view: Option<Rc<dyn Owners>>,
    view_since: Micros,
    /// The view before it.
    previous_view: Option<Rc<dyn Owners>>,
    /// Destinations that were begun as cold since it was taken in.
    slow_started: BTreeSet<DestinationId>,
    counts: Counts,
    /// Forwarders that hand over and are no members.
    non_members: BTreeSet<String>,
}

/// Counts from 0 in each process.
#[derive(Debug, Default)]
struct Counts {
    /// Messages that their owners have taken.
    handed_over: u64,
    /// Messages that other forwarders have handed over to this one.
    taken_over: u64,
    /// Of those, the ones from a forwarder that is no member.
    from_non_members: u64,
    /// Messages delivered here for lack of an owner.
    delivered_for_owner: u64,
    /// Offers without an answer.
    unanswered: u64,
}

impl Ownership {
    /// At a start.
    pub fn new(view: Option<Rc<dyn Owners>>, now: Micros) -> Self {
        Ownership { view, view_since: now, ..Ownership::default() }
    }

    /// Whether there are owners at all.
    pub fn is_on(&self) -> bool {
        self.view.is_some()
    }

    /// The other forwarder that owns a destination.
    pub fn peer(&self, destination: DestinationId) -> Option<Peer> {
        match self.view.as_ref()?.owner_of(destination) {
            Owner::Peer(peer) => Some(peer),
            Owner::Local | Owner::Unknown => None,
        }
    }

    /// The member of this name.
    fn member(&self, name: &str) -> Option<Peer> {
        let address = self.view.as_ref()?.member_address(name)?;
        Some(Peer { name: name.to_owned(), address })
    }

    /// Takes in another view.
    fn replace_view(&mut self, now: Micros, view: Option<Rc<dyn Owners>>) {
        self.previous_view = std::mem::replace(&mut self.view, view);
        self.view_since = now;
        self.non_members.clear();
        self.slow_started.clear();
    }

    /// Whether this forwarder does not own a destination, or so lately that the owner before it may still send there.
    fn is_new_to(&self, now: Micros, destination: DestinationId, cold_time: Micros) -> bool {
        let owns = |view: &Rc<dyn Owners>| view.owner_of(destination) == Owner::Local;
        let Some(view) = &self.view else { return false };
        let was_owner = self.previous_view.as_ref().is_none_or(owns);
        !owns(view) || !was_owner && now - self.view_since < cold_time
    }

    /// How many forwarders share a destination's limit, where each destination has owners.
    pub fn owners_of_each(&self) -> Option<u32> {
        self.view.as_ref().map(|view| view.owners_per_destination())
    }

    /// How many of these destinations this forwarder owns; beyond some, reckoned from evenly chosen ones.
    fn owned(&self, destinations: &[DestinationId]) -> u64 {
        let Some(view) = &self.view else { return 0 };
        let step = destinations.len().div_ceil(MAX_OWNER_LOOKUPS).max(1);
        let is_owned = |destination: &&DestinationId| view.owner_of(**destination) == Owner::Local;
        (destinations.iter().step_by(step).filter(is_owned).count() * step) as u64
    }

    /// What the snapshot of a message may hold beside its record.
    pub fn reserve_bytes(&self, txn: &str) -> usize {
        if self.is_on() { HANDOVER_RECORDS_BYTES + 2 * txn.len() } else { 0 }
    }

    /// A message is taken on: whether another forwarder handed it over is in its custody.
    pub fn count_taken_over(&mut self, taken: &AcceptedMessage) {
        self.counts.taken_over += u64::from(taken.handover.kept_local);
    }
}

impl Reducer {
    /// The mark of a message that is handed in, as far as it counts here.
    ///
    /// # Errors
    ///
    /// It cannot be read.
    pub(super) fn read_handover_mark(
        &self,
        marked: &ReceivedMark,
    ) -> Result<Option<HandoverMark>, &'static str> {
        if !self.ownership.is_on() {
            return Ok(None);
        }
        match marked {
            ReceivedMark::Absent => Ok(None),
            ReceivedMark::Malformed => Err("X-Handover: malformed\n"),
            ReceivedMark::Valid(mark) => Ok(Some(mark.clone())),
        }
    }

    /// A message is taken over from another forwarder. From who is no member it is taken all the same: the other may know
    /// a later view, and to hand it on would unbind its way.
    pub(super) fn count_handover_from(&mut self, mark: &HandoverMark) {
        let Ownership { view, non_members: strangers, counts, .. } = &mut self.ownership;
        if view.as_ref().is_some_and(|view| view.member_address(&mark.from).is_some()) {
            return;
        }
        counts.from_non_members += 1;
        if strangers.len() < MAX_LOGGED_NON_MEMBERS && strangers.insert(mark.from.clone()) {
            self.log(format!(
                "hand-over: a message from {:?}, who is no member, is delivered here",
                mark.from
            ));
        }
    }

    /// Another view holds. One that is older than the one held changes nothing.
    pub(super) fn on_owners_changed(&mut self, now: Micros, view: Rc<dyn Owners>) {
        if let Some(held) = self.ownership.view.as_ref().filter(|held| view.version() < held.version()) {
            let (old, held) = (view.version(), held.version());
            return self.log(format!("owners: view {old} is older than view {held}, and is passed over"));
        }
        self.replace_owners(now, Some(view));
    }

    /// Another view holds, or none: what waits for an owner goes where it belongs now.
    pub(super) fn replace_owners(&mut self, now: Micros, view: Option<Rc<dyn Owners>>) {
        self.ownership.replace_view(now, view);
        for id in self.handovers.ids() {
            // One that is out is looked at when its offer has ended.
            if !self.handovers.is_offer_in_flight(id) {
                self.reassign_owner(now, id);
            }
        }
        let view = self.ownership.view.as_ref();
        self.handovers.update_members(|name| view.and_then(|view| view.member_address(name)));
        self.controller.update_fleet_size(self.controller_settings());
    }

    /// Where a message goes that is in the journal and that the module does not have: to the owner of its destination, or
    /// to the module.
    pub(super) fn place(&mut self, now: Micros, id: MessageId) {
        let Some(message) = self.messages.get(id) else { return };
        let taken = &message.accepted;
        let peer = match &taken.handover {
            HandoverState { kept_local: true, .. } => None,
            // Who may have it is asked as long as it is a member.
            HandoverState { offered: Some(offered), .. } => match self.ownership.member(&offered.owner) {
                Some(peer) => Some(peer),
                None => return self.resolve_in_doubt(now, id),
            },
            // What may have run and must not be repeated is the module's to end.
            _ if !self.may_repeat(now, taken) => None,
            _ => self.ownership.peer(taken.destination),
        };
        match peer {
            Some(peer) => {
                let terms = self.terms(now, taken);
                self.handovers.add(now, id, &peer, terms);
            }
            None => self.deliver_locally(now, id),
        }
    }

    /// A message waits for an owner that may not be the one any more.
    fn reassign_owner(&mut self, now: Micros, id: MessageId) {
        let Some(message) = self.messages.get(id) else { return };
        let goes_to = match &message.accepted.handover.offered {
            Some(offered) => self.ownership.member(&offered.owner),
            None => self.ownership.peer(message.accepted.destination),
        };
        if goes_to.as_ref().map(|peer| peer.name.as_str()) != self.handovers.peer_of(id) {
            self.handovers.remove(id);
            self.place(now, id);
        }
    }

    fn terms(&self, now: Micros, taken: &AcceptedMessage) -> HandoverTerms {
        let doubt_ends = taken.handover.offered.as_ref().map(|offered| offered.offered_at + MAX_IN_DOUBT_US);
        HandoverTerms {
            destination: taken.destination,
            ends_at: doubt_ends.map_or(taken.deadline, |at| at.min(taken.deadline)),
            local_delivery_allowed: self.may_repeat(now, taken),
            in_doubt: taken.handover.offered.is_some(),
        }
    }

    pub(super) fn idempotency_of(&self, taken: &AcceptedMessage) -> Idempotency {
        let class = self.names.classes.iter().position(|class| *class == taken.class);
        class
            .and_then(|class| self.settings.classes.get(class))
            .map(|class| class.idempotency)
            .unwrap_or_default()
    }

    /// Whether a message may still be delivered though an attempt, or another forwarder, may have run it: by its class.
    /// Which endpoints of a group may be tried after an attempt is the module's to know; where another forwarder would
    /// have sent it, nobody here knows.
    fn may_repeat(&self, now: Micros, taken: &AcceptedMessage) -> bool {
        let offered = taken.handover.offered.as_ref().map(|offered| offered.offered_at);
        let Some(first) =
            taken.possible_delivery.as_ref().map(|trace| trace.started_at).into_iter().chain(offered).min()
        else {
            return true;
        };
        match self.idempotency_of(taken) {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => false,
            Idempotency::IdempotencyKey { scope: group, window } => {
                let reaches_all = offered.is_none() || group == DeduplicationScope::All;
                reaches_all && now < first.saturating_add(window)
            }
        }
    }

    /// Whether who is told that a message has not been delivered may hand it in again: as the module has it.
    fn may_be_rejected(&self, taken: &AcceptedMessage) -> bool {
        let untouched = taken.handover.offered.is_none() && taken.possible_delivery.is_none();
        let effect = self.idempotency_of(taken);
        untouched
            || matches!(
                effect,
                Idempotency::Idempotent | Idempotency::IdempotencyKey { scope: DeduplicationScope::All, .. }
            )
    }

    /// The first message of a destination that is not, or not for long, this forwarder's own: the module begins there as
    /// after an outage, with a trial and a ramp.
    pub(super) fn slow_start_destination(&mut self, now: Micros, destination: DestinationId) {
        let cold_time = self.settings.warm_up_time;
        if self.ownership.is_new_to(now, destination, cold_time)
            && self.ownership.slow_started.insert(destination)
        {
            self.controller.push(Event::RouteState {
                destination,
                endpoint: None,
                ejected: true,
                retry_after: 0,
            });
        }
    }

    /// The owner that may have a message is asked no more: its class says what becomes of it.
    fn resolve_in_doubt(&mut self, now: Micros, id: MessageId) {
        let Some(message) = self.messages.get(id) else { return };
        if !self.may_repeat(now, &message.accepted) {
            return self.finish(now, id, FinalAnswer::Failed);
        }
        self.count_offer_as_attempt(id);
        self.place(now, id);
    }

    fn count_offer_as_attempt(&mut self, id: MessageId) {
        let Some(message) = self.messages.get(id) else { return };
        if message.accepted.handover.offered.is_none() {
            return;
        }
        let txn = message.accepted.id.clone();
        self.append_record(&Record::HandoverInDoubt { message: txn });
        if let Some(message) = self.messages.get_mut(id) {
            message.accepted.count_offer_as_attempt();
        }
    }

    /// A message is the module's from now on, with what is known of it.
    fn deliver_locally(&mut self, now: Micros, id: MessageId) {
        if self.messages.get(id).is_none_or(|message| message.in_controller) {
            return;
        }
        self.pass_to_controller(now, id, false);
        self.report_history(now, id);
    }

    /// Offers what is due, and ends what is out of time.
    pub(super) fn run_handover_decisions(&mut self, now: Micros) {
        if self.upgrade.has_handed_off() {
            return;
        }
        while let Some(decision) = self.handovers.next(now) {
            match decision {
                HandoverDecision::Offer(id, peer) => self.prepare_offer(now, id, &peer),
                HandoverDecision::DeliverLocally(id) => self.deliver_for_owner(now, id),
                HandoverDecision::TimeUp(id) => self.on_handover_time_up(now, id),
            }
        }
    }

    /// The journal says whom a message is offered to before the first byte goes there.
    fn prepare_offer(&mut self, now: Micros, id: MessageId, peer: &Peer) {
        let Some(message) = self.messages.get(id) else { return };
        if message.accepted.handover.offered.is_some() {
            return self.offer(now, id, peer);
        }
        let (txn, to) = (message.accepted.id.clone(), peer.name.clone());
        let record = Record::HandoverOffered { message: txn, owner: to.clone(), at: now };
        self.append(&[(&record, b"")], Some(AfterAppend::SendOffer(id, peer.clone())));
        if let Some(message) = self.messages.get_mut(id) {
            message.accepted.handover.offered = Some(HandoverOffer { owner: to, offered_at: now });
        }
    }

    /// The record of an offer is in the journal, or could not be: then nothing is offered.
    pub(super) fn on_offer_recorded(&mut self, now: Micros, id: MessageId, peer: &Peer, stored: bool) {
        if stored && !self.upgrade.has_handed_off() {
            return self.offer(now, id, peer);
        }
        if let Some(message) = self.messages.get_mut(id) {
            message.accepted.handover.offered = None;
        }
        self.handovers.on_offer_withheld(now, id);
    }

    fn offer(&mut self, now: Micros, id: MessageId, peer: &Peer) {
        let view = self.ownership.view.as_ref().map(|view| view.own_name().to_owned());
        let (Some(message), Some(from)) = (self.messages.get(id), view) else {
            return self.handovers.on_offer_withheld(now, id);
        };
        let taken = message.accepted.clone();
        let (deadline, attempts, ran) = (taken.deadline, taken.attempts, taken.possible_delivery.clone());
        let first_offer = taken.handover.offered.as_ref().map_or(now, |offered| offered.offered_at);
        let valid_until = first_offer + MAX_IN_DOUBT_US;
        self.effects.push(Effect::Offer(Box::new(OutgoingOffer {
            id,
            owner_address: peer.address,
            body: message.body.clone(),
            mark: HandoverMark { from, deadline, valid_until, attempts, possible_delivery: ran },
            answer_deadline: taken.deadline.min(now + OFFER_TIMEOUT_US),
            message: taken,
        })));
    }

    /// An offer has ended.
    pub(super) fn on_offer_ended(&mut self, now: Micros, id: MessageId, end: &OfferOutcome) {
        let was_in_doubt = self.handovers.is_in_doubt(id);
        self.handovers.on_offer_ended(now, id, end);
        if self.messages.get(id).is_none_or(|message| message.in_controller) {
            return;
        }
        match end {
            OfferOutcome::Accepted => return self.finish_handed_over(now, id),
            OfferOutcome::Rejected(_) | OfferOutcome::NotSent(_) if !was_in_doubt => self.record_declined(id),
            OfferOutcome::Rejected(_) | OfferOutcome::NotSent(_) => {}
            OfferOutcome::InDoubt(_) => self.ownership.counts.unanswered += 1,
        }
        if let OfferOutcome::NotSent(why) | OfferOutcome::InDoubt(why) = end {
            let peer = self.handovers.peer_of(id).unwrap_or_default();
            let doubt = if matches!(end, OfferOutcome::InDoubt(_)) { " (in doubt)" } else { "" };
            let txn = self.messages.get(id).map_or("", |message| &message.accepted.id);
            let line = format!("hand-over of {txn} to {peer}{doubt}: {why}");
            self.log(line);
        }
        if self.upgrade.has_handed_off() {
            return self.release_to_successor(id);
        }
        if let Some(message) = self.messages.get(id) {
            let terms = self.terms(now, &message.accepted);
            self.handovers.change(id, terms);
        }
        self.reassign_owner(now, id);
    }

    /// Its owner has the message: here it is over.
    fn finish_handed_over(&mut self, now: Micros, id: MessageId) {
        let Some(message) = self.messages.get(id) else { return };
        let txn = message.accepted.id.clone();
        let to = message
            .accepted
            .handover
            .offered
            .as_ref()
            .map_or_else(String::new, |offered| offered.owner.clone());
        self.append_record(&Record::HandedOver { message: txn.clone(), owner: to, at: now });
        self.ownership.counts.handed_over += 1;
        self.metrics.on_handed_over();
        self.drop_message(id);
        self.finished.remember(txn, now);
    }

    /// The owner never took the message.
    fn record_declined(&mut self, id: MessageId) {
        let Some(message) = self.messages.get(id) else { return };
        let txn = message.accepted.id.clone();
        self.append_record(&Record::HandoverDeclined { message: txn });
        if let Some(message) = self.messages.get_mut(id) {
            message.accepted.handover.offered = None;
        }
    }

    /// A message is delivered here for lack of an owner.
    fn deliver_for_owner(&mut self, now: Micros, id: MessageId) {
        let Some(message) = self.messages.get(id) else { return };
        if !self.may_repeat(now, &message.accepted) {
            // A window has ended since.
            return self.place(now, id);
        }
        if message.accepted.handover.offered.is_some() {
            // A start must not offer again what has been begun here.
            self.count_offer_as_attempt(id);
            self.record_kept_local(id);
        }
        self.ownership.counts.delivered_for_owner += 1;
        self.deliver_locally(now, id);
    }

    fn record_kept_local(&mut self, id: MessageId) {
        let Some(message) = self.messages.get(id) else { return };
        let txn = message.accepted.id.clone();
        self.append_record(&Record::KeptLocal { message: txn });
        if let Some(message) = self.messages.get_mut(id) {
            message.accepted.handover.kept_local = true;
        }
    }

    /// The time of a message is up while it waits for its owner. In doubt before its deadline, its class says what becomes
    /// of it.
    fn on_handover_time_up(&mut self, now: Micros, id: MessageId) {
        if self.handovers.is_offer_in_flight(id) {
            // Its offer ends no later than that, and may bring the answer.
            return;
        }
        let Some(message) = self.messages.get(id) else { return };
        let taken = &message.accepted;
        if now < taken.deadline {
            self.handovers.remove(id);
            return self.resolve_in_doubt(now, id);
        }
        let verdict = if self.may_be_rejected(taken) {
            FinalAnswer::Rejected { retry_after_ms: 0 }
        } else {
            FinalAnswer::Failed
        };
        self.finish(now, id, verdict);
    }

    /// The metrics of hand-overs, a line each; none where there are no owners.
    pub(super) fn ownership_metrics(&self, now: Micros) -> String {
        let Some(view) = &self.ownership.view else { return String::new() };
        let counts = &self.ownership.counts;
        let (waiting, substitutes) = self.handovers.counts();
        let age = (now - self.ownership.view_since).max(0) / 1_000_000;
        let mut lines = String::new();
        for (name, value) in [
            ("owned", self.ownership.owned(&self.endpoints.destinations().with_endpoints())),
            ("handed_over", counts.handed_over),
            ("taken_over", counts.taken_over),
            ("taken_over_from_strangers", counts.from_non_members),
            ("delivered_for_lack_of_owner", counts.delivered_for_owner),
            ("delivering_for_lack_of_owner", substitutes as u64),
            ("handover_unanswered", counts.unanswered),
            ("handover_waiting", waiting as u64),
            ("owners_members", view.member_count() as u64),
            ("owners_view", view.version()),
            ("owners_view_age_s", age.unsigned_abs()),
        ] {
            // Writing to a string does not fail.
            let _ = writeln!(lines, "app_{name} {value}");
        }
        lines
    }
}
