//! Custody: what the reducer does with a message whose destination another forwarder owns, from its taking to the
//! owner's answer. When what is due is decided in [`handover`](super::handover).

use super::handover::{ANSWER_TIME, DOUBT_TIME, Decision, Terms};
use super::{AfterAppend, Reducer};
use crate::input::Effect;
use crate::ownership::{HandoverMark, OfferOutcome, OutgoingOffer, Owner, Owners, Peer, ReceivedMark};
use orchidyoke_core::interface::{
    DeduplicationScope, DestinationId, Event, Idempotency as ClassEffect, MessageId, Micros,
};
use orchidyoke_journal::{AcceptedMessage, FinalAnswer, HandoverOffer, HandoverState, ProcessStage, Record};
use std::collections::BTreeSet;
use std::fmt::Write;
use std::rc::Rc;

/// About the bytes of the records of a message's custody, beside its id and the longest name of an owner.
const CUSTODY_RECORDS: usize = 320;
/// The owners of so many destinations are looked up for the figures: a look-up costs a hash for each member.
const OWNED_LOOKED_UP: usize = 1000;
/// Names of forwarders that are no members are logged once each, and so many of them in a view.
const STRANGERS_LOGGED: usize = 64;

/// The view of owners that a forwarder has, and counts of what followed from it.
#[derive(Debug, Default)]
pub(super) struct Ownership {
    view: Option<Rc<dyn Owners>>,
    taken_in: Micros,
    /// The view before it.
    before: Option<Rc<dyn Owners>>,
    /// Destinations that were begun as cold since it was taken in.
    begun_cold: BTreeSet<DestinationId>,
    counts: Counts,
    /// Forwarders that hand over and are no members.
    strangers: BTreeSet<String>,
}

/// Counts from 0 in each process.
#[derive(Debug, Default)]
struct Counts {
    /// Messages that their owners have taken.
    handed_over: u64,
    /// Messages that other forwarders have handed over to this one.
    taken_over: u64,
    /// Of those, the ones from a forwarder that is no member.
    from_strangers: u64,
    /// Messages delivered here for lack of an owner.
    substituted: u64,
    /// Offers without an answer.
    unanswered: u64,
}

impl Ownership {
    /// At a start.
    pub fn new(view: Option<Rc<dyn Owners>>, now: Micros) -> Self {
        Ownership { view, taken_in: now, ..Ownership::default() }
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
    fn replace(&mut self, now: Micros, view: Option<Rc<dyn Owners>>) {
        self.before = std::mem::replace(&mut self.view, view);
        self.taken_in = now;
        self.strangers.clear();
        self.begun_cold.clear();
    }

    /// Whether this forwarder does not own a destination, or so lately that the owner before it may still send there.
    fn is_new_to(&self, now: Micros, destination: DestinationId, cold_time: Micros) -> bool {
        let owns = |view: &Rc<dyn Owners>| view.owner_of(destination) == Owner::Local;
        let Some(view) = &self.view else { return false };
        let was_owner = self.before.as_ref().is_none_or(owns);
        !owns(view) || !was_owner && now - self.taken_in < cold_time
    }

    /// How many forwarders share a destination's limit, where each destination has owners.
    pub fn sharers(&self) -> Option<u32> {
        self.view.as_ref().map(|view| view.owners_per_destination())
    }

    /// How many of these destinations this forwarder owns; beyond some, reckoned from evenly chosen ones.
    fn owned(&self, destinations: &[DestinationId]) -> u64 {
        let Some(view) = &self.view else { return 0 };
        let step = destinations.len().div_ceil(OWNED_LOOKED_UP).max(1);
        let is_owned = |destination: &&DestinationId| view.owner_of(**destination) == Owner::Local;
        (destinations.iter().step_by(step).filter(is_owned).count() * step) as u64
    }

    /// What the snapshot of a message may hold beside its record.
    pub fn reserve(&self, txn: &str) -> usize {
        if self.is_on() { CUSTODY_RECORDS + 2 * txn.len() } else { 0 }
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
    pub(super) fn accept_mark(&mut self, marked: ReceivedMark) -> Result<Option<HandoverMark>, &'static str> {
        if !self.ownership.is_on() {
            return Ok(None);
        }
        match marked {
            ReceivedMark::Absent => Ok(None),
            ReceivedMark::Malformed => Err("X-Handover: malformed\n"),
            ReceivedMark::Valid(mark) => Ok(Some(mark)),
        }
    }

    /// A message is taken over from another forwarder. From who is no member it is taken all the same: the other may know
    /// a later view, and to hand it on would unbind its way.
    pub(super) fn note_sender(&mut self, mark: &HandoverMark) {
        let Ownership { view, strangers, counts, .. } = &mut self.ownership;
        if view.as_ref().is_some_and(|view| view.member_address(&mark.from).is_some()) {
            return;
        }
        counts.from_strangers += 1;
        if strangers.len() < STRANGERS_LOGGED && strangers.insert(mark.from.clone()) {
            self.log(format!(
                "hand-over: a message from {:?}, who is no member, is delivered here",
                mark.from
            ));
        }
    }

    /// Another view holds. One that is older than the one held changes nothing.
    pub(super) fn take_owners(&mut self, now: Micros, view: Rc<dyn Owners>) {
        if let Some(held) = self.ownership.view.as_ref().filter(|held| view.version() < held.version()) {
            let (old, held) = (view.version(), held.version());
            return self.log(format!("owners: view {old} is older than view {held}, and is passed over"));
        }
        self.replace_owners(now, Some(view));
    }

    /// Another view holds, or none: what waits for an owner goes where it belongs now.
    pub(super) fn replace_owners(&mut self, now: Micros, view: Option<Rc<dyn Owners>>) {
        self.ownership.replace(now, view);
        for id in self.handovers.ids() {
            // One that is out is looked at when its offer has ended.
            if !self.handovers.is_out(id) {
                self.place_again(now, id);
            }
        }
        let view = self.ownership.view.as_ref();
        self.handovers.take_members(|name| view.and_then(|view| view.member_address(name)));
        let settings = self.module_settings();
        if settings.fleet_size != self.sharers {
            self.sharers = settings.fleet_size;
            self.events.push(Event::Settings(Box::new(settings)));
        }
    }

    /// Where a message goes that is in the journal and that the module does not have: to the owner of its destination, or
    /// to the module.
    pub(super) fn place(&mut self, now: Micros, id: MessageId) {
        let Some(message) = self.messages.get(&id) else { return };
        let taken = &message.taken;
        let peer = match &taken.handover {
            HandoverState { kept_local: true, .. } => None,
            // Who may have it is asked as long as it is a member.
            HandoverState { offered: Some(offered), .. } => match self.ownership.member(&offered.owner) {
                Some(peer) => Some(peer),
                None => return self.resolve_without_owner(now, id),
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
            None => self.deliver_here(now, id),
        }
    }

    /// A message waits for an owner that may not be the one any more.
    fn place_again(&mut self, now: Micros, id: MessageId) {
        let Some(message) = self.messages.get(&id) else { return };
        let goes_to = match &message.taken.handover.offered {
            Some(offered) => self.ownership.member(&offered.owner),
            None => self.ownership.peer(message.taken.destination),
        };
        if goes_to.as_ref().map(|peer| peer.name.as_str()) != self.handovers.peer_of(id) {
            self.handovers.remove(id);
            self.place(now, id);
        }
    }

    fn terms(&self, now: Micros, taken: &AcceptedMessage) -> Terms {
        let doubt_ends = taken.handover.offered.as_ref().map(|offered| offered.offered_at + DOUBT_TIME);
        Terms {
            destination: taken.destination,
            ends_at: doubt_ends.map_or(taken.deadline, |at| at.min(taken.deadline)),
            substitutable: self.may_repeat(now, taken),
            in_doubt: taken.handover.offered.is_some(),
        }
    }

    fn effect_of(&self, taken: &AcceptedMessage) -> ClassEffect {
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
        match self.effect_of(taken) {
            ClassEffect::Idempotent => true,
            ClassEffect::NonIdempotent => false,
            ClassEffect::IdempotencyKey { scope: group, window } => {
                let reaches_all = offered.is_none() || group == DeduplicationScope::All;
                reaches_all && now < first.saturating_add(window)
            }
        }
    }

    /// Whether who is told that a message has not been delivered may hand it in again: as the module has it.
    fn may_return(&self, taken: &AcceptedMessage) -> bool {
        let untouched = taken.handover.offered.is_none() && taken.possible_delivery.is_none();
        let effect = self.effect_of(taken);
        untouched
            || matches!(
                effect,
                ClassEffect::Idempotent | ClassEffect::IdempotencyKey { scope: DeduplicationScope::All, .. }
            )
    }

    /// The first message of a destination that is not, or not for long, this forwarder's own: the module begins there as
    /// after an outage, with a trial and a ramp.
    pub(super) fn begin_cold(&mut self, now: Micros, destination: DestinationId) {
        let cold_time = self.settings.warm_up_time;
        if self.ownership.is_new_to(now, destination, cold_time)
            && self.ownership.begun_cold.insert(destination)
        {
            self.events.push(Event::RouteState {
                destination,
                endpoint: None,
                ejected: true,
                retry_after: 0,
            });
        }
    }

    /// The owner that may have a message is asked no more: its class says what becomes of it.
    fn resolve_without_owner(&mut self, now: Micros, id: MessageId) {
        let Some(message) = self.messages.get(&id) else { return };
        if !self.may_repeat(now, &message.taken) {
            return self.end(now, id, FinalAnswer::Failed);
        }
        self.count_offer_as_attempt(id);
        self.place(now, id);
    }

    fn count_offer_as_attempt(&mut self, id: MessageId) {
        let Some(message) = self.messages.get(&id) else { return };
        if message.taken.handover.offered.is_none() {
            return;
        }
        let txn = message.taken.id.clone();
        self.append(&[(&Record::HandoverInDoubt { message: txn }, b"")], None);
        if let Some(message) = self.messages.get_mut(&id) {
            message.taken.count_offer_as_attempt();
        }
    }

    /// A message is the module's from now on, with what is known of it.
    fn deliver_here(&mut self, now: Micros, id: MessageId) {
        if self.messages.get(&id).is_none_or(|message| message.in_module) {
            return;
        }
        self.tell_module(now, id, false);
        self.tell_history(now, id);
    }

    /// Offers what is due, and ends what is out of time.
    pub(super) fn hand_over_due(&mut self, now: Micros) {
        if self.stage == ProcessStage::HandedOff {
            return;
        }
        while let Some(decision) = self.handovers.next(now) {
            match decision {
                Decision::Offer(id, peer) => self.prepare_offer(now, id, &peer),
                Decision::Substitute(id) => self.substitute(now, id),
                Decision::TimeUp(id) => self.end_in_time(now, id),
            }
        }
    }

    /// The journal says whom a message is offered to before the first byte goes there.
    fn prepare_offer(&mut self, now: Micros, id: MessageId, peer: &Peer) {
        let Some(message) = self.messages.get(&id) else { return };
        if message.taken.handover.offered.is_some() {
            return self.offer(now, id, peer);
        }
        let (txn, to) = (message.taken.id.clone(), peer.name.clone());
        let record = Record::HandoverOffered { message: txn, owner: to.clone(), at: now };
        self.append(&[(&record, b"")], Some(AfterAppend::Offered(id, peer.clone())));
        if let Some(message) = self.messages.get_mut(&id) {
            message.taken.handover.offered = Some(HandoverOffer { owner: to, offered_at: now });
        }
    }

    /// The record of an offer is in the journal, or could not be: then nothing is offered.
    pub(super) fn offer_stored(&mut self, now: Micros, id: MessageId, peer: &Peer, stored: bool) {
        if stored && self.stage != ProcessStage::HandedOff {
            return self.offer(now, id, peer);
        }
        if let Some(message) = self.messages.get_mut(&id) {
            message.taken.handover.offered = None;
        }
        self.handovers.withheld(now, id);
    }

    fn offer(&mut self, now: Micros, id: MessageId, peer: &Peer) {
        let view = self.ownership.view.as_ref().map(|view| view.own_name().to_owned());
        let (Some(message), Some(from)) = (self.messages.get(&id), view) else {
            return self.handovers.withheld(now, id);
        };
        let taken = message.taken.clone();
        let (deadline, attempts, ran) = (taken.deadline, taken.attempts, taken.possible_delivery.clone());
        let first_offer = taken.handover.offered.as_ref().map_or(now, |offered| offered.offered_at);
        let valid_until = first_offer + DOUBT_TIME;
        self.effects.push(Effect::Offer(Box::new(OutgoingOffer {
            id,
            owner_address: peer.address,
            body: message.body.clone(),
            mark: HandoverMark { from, deadline, valid_until, attempts, possible_delivery: ran },
            answer_deadline: taken.deadline.min(now + ANSWER_TIME),
            message: taken,
        })));
    }

    /// An offer has ended.
    pub(super) fn offer_ended(&mut self, now: Micros, id: MessageId, end: &OfferOutcome) {
        let was_in_doubt = self.handovers.is_in_doubt(id);
        self.handovers.ended(now, id, end);
        if self.messages.get(&id).is_none_or(|message| message.in_module) {
            return;
        }
        match end {
            OfferOutcome::Accepted => return self.handed_over(now, id),
            OfferOutcome::Rejected(_) | OfferOutcome::NotSent(_) if !was_in_doubt => self.declined(id),
            OfferOutcome::Rejected(_) | OfferOutcome::NotSent(_) => {}
            OfferOutcome::InDoubt(_) => self.ownership.counts.unanswered += 1,
        }
        if let OfferOutcome::NotSent(why) | OfferOutcome::InDoubt(why) = end {
            let peer = self.handovers.peer_of(id).unwrap_or_default();
            let doubt = if matches!(end, OfferOutcome::InDoubt(_)) { " (in doubt)" } else { "" };
            let txn = self.messages.get(&id).map_or("", |message| &message.taken.id);
            let line = format!("hand-over of {txn} to {peer}{doubt}: {why}");
            self.log(line);
        }
        if self.stage == ProcessStage::HandedOff {
            return self.hand_over(id);
        }
        if let Some(message) = self.messages.get(&id) {
            let terms = self.terms(now, &message.taken);
            self.handovers.change(id, terms);
        }
        self.place_again(now, id);
    }

    /// Its owner has the message: here it is over.
    fn handed_over(&mut self, now: Micros, id: MessageId) {
        let Some(message) = self.messages.get(&id) else { return };
        let txn = message.taken.id.clone();
        let to =
            message.taken.handover.offered.as_ref().map_or_else(String::new, |offered| offered.owner.clone());
        self.append(&[(&Record::HandedOver { message: txn.clone(), owner: to, at: now }, b"")], None);
        self.ownership.counts.handed_over += 1;
        self.figures.handed_over();
        self.drop_message(id);
        self.recent.remember(txn, now);
    }

    /// The owner never took the message.
    fn declined(&mut self, id: MessageId) {
        let Some(message) = self.messages.get(&id) else { return };
        let txn = message.taken.id.clone();
        self.append(&[(&Record::HandoverDeclined { message: txn }, b"")], None);
        if let Some(message) = self.messages.get_mut(&id) {
            message.taken.handover.offered = None;
        }
    }

    /// A message is delivered here for lack of an owner.
    fn substitute(&mut self, now: Micros, id: MessageId) {
        let Some(message) = self.messages.get(&id) else { return };
        if !self.may_repeat(now, &message.taken) {
            // A window has ended since.
            return self.place(now, id);
        }
        if message.taken.handover.offered.is_some() {
            // A start must not offer again what has been begun here.
            self.count_offer_as_attempt(id);
            self.keep(id);
        }
        self.ownership.counts.substituted += 1;
        self.deliver_here(now, id);
    }

    fn keep(&mut self, id: MessageId) {
        let Some(message) = self.messages.get(&id) else { return };
        let txn = message.taken.id.clone();
        self.append(&[(&Record::KeptLocal { message: txn }, b"")], None);
        if let Some(message) = self.messages.get_mut(&id) {
            message.taken.handover.kept_local = true;
        }
    }

    /// The time of a message is up while it waits for its owner. In doubt before its deadline, its class says what becomes
    /// of it.
    fn end_in_time(&mut self, now: Micros, id: MessageId) {
        if self.handovers.is_out(id) {
            // Its offer ends no later than that, and may bring the answer.
            return;
        }
        let Some(message) = self.messages.get(&id) else { return };
        let taken = &message.taken;
        if now < taken.deadline {
            self.handovers.remove(id);
            return self.resolve_without_owner(now, id);
        }
        let verdict = if self.may_return(taken) {
            FinalAnswer::Rejected { retry_after_ms: 0 }
        } else {
            FinalAnswer::Failed
        };
        self.end(now, id, verdict);
    }

    /// The figures of hand-overs, a line each; none where there are no owners.
    pub(super) fn ownership_figures(&self, now: Micros) -> String {
        let Some(view) = &self.ownership.view else { return String::new() };
        let counts = &self.ownership.counts;
        let (waiting, substitutes) = self.handovers.counts();
        let age = (now - self.ownership.taken_in).max(0) / 1_000_000;
        let mut lines = String::new();
        for (name, value) in [
            ("owned", self.ownership.owned(&self.destinations.with_endpoints())),
            ("handed_over", counts.handed_over),
            ("taken_over", counts.taken_over),
            ("taken_over_from_strangers", counts.from_strangers),
            ("delivered_for_lack_of_owner", counts.substituted),
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
