//! Handover: what becomes of a message whose destination another forwarder owns, until the owner has accepted it or it is
//! delivered here. When an offer is due, and when messages for a failing owner are delivered here, is decided in
//! [`handover_schedule`](super::handover_schedule).

use super::Reducer;
use super::durability::AfterAppend;
use super::handover_schedule::{HandoverDecision, HandoverTerms, MAX_IN_DOUBT_US, OFFER_TIMEOUT_US};
use crate::input::Effect;
use crate::ownership::{HandoverMark, OfferOutcome, OutgoingOffer, Peer};
use orchidyoke_core::interface::{MessageId, Micros};
use orchidyoke_journal::{AcceptedMessage, FinalAnswer, HandoverOffer, HandoverState, Record};

impl Reducer {
    /// Where a message goes that is in the journal and not with the controller: to the owner of its destination, or to the
    /// controller, to be delivered here.
    pub(super) fn place(&mut self, now: Micros, number: MessageId) {
        let Some(message) = self.messages.get(number) else { return };
        let accepted = &message.accepted;
        let owner = match &accepted.handover {
            HandoverState { kept_local: true, .. } => None,
            // An owner that may have it is asked as long as it is a member.
            HandoverState { offered: Some(offered), .. } => match self.ownership.member(&offered.owner) {
                Some(owner) => Some(owner),
                None => return self.resolve_in_doubt(now, number),
            },
            // What may have been delivered and must not be repeated is the controller's to finish.
            _ if !self.may_repeat(now, accepted) => None,
            _ => self.ownership.other_owner(accepted.destination),
        };
        match owner {
            Some(owner) => {
                let terms = self.terms(now, accepted);
                self.handovers.add(now, number, &owner, terms);
            }
            None => self.deliver_here(now, number),
        }
    }

    /// The owner that a message waits for may have changed.
    pub(super) fn reassign_owner(&mut self, now: Micros, number: MessageId) {
        let Some(message) = self.messages.get(number) else { return };
        let owner = match &message.accepted.handover.offered {
            Some(offered) => self.ownership.member(&offered.owner),
            None => self.ownership.other_owner(message.accepted.destination),
        };
        if owner.as_ref().map(|owner| owner.name.as_str()) != self.handovers.owner_of(number) {
            self.handovers.remove(number);
            self.place(now, number);
        }
    }

    fn terms(&self, now: Micros, accepted: &AcceptedMessage) -> HandoverTerms {
        let doubt_ends =
            accepted.handover.offered.as_ref().map(|offered| offered.offered_at + MAX_IN_DOUBT_US);
        HandoverTerms {
            destination: accepted.destination,
            ends_at: doubt_ends.map_or(accepted.deadline, |at| at.min(accepted.deadline)),
            local_delivery_allowed: self.may_repeat(now, accepted),
            in_doubt: accepted.handover.offered.is_some(),
        }
    }

    /// The owner that may have a message is asked no more: its class says what becomes of it.
    fn resolve_in_doubt(&mut self, now: Micros, number: MessageId) {
        let Some(message) = self.messages.get(number) else { return };
        if !self.may_repeat(now, &message.accepted) {
            return self.finish(now, number, FinalAnswer::Failed);
        }
        self.count_offer_as_attempt(number);
        self.place(now, number);
    }

    fn count_offer_as_attempt(&mut self, number: MessageId) {
        let Some(message) = self.messages.get(number) else { return };
        if message.accepted.handover.offered.is_none() {
            return;
        }
        let message_id = message.accepted.id.clone();
        self.append_record(&Record::HandoverInDoubt { message: message_id });
        if let Some(message) = self.messages.get_mut(number) {
            message.accepted.count_offer_as_attempt();
        }
    }

    /// A message is the controller's from now on, with what is known of it.
    fn deliver_here(&mut self, now: Micros, number: MessageId) {
        if self.messages.get(number).is_none_or(|message| message.in_controller) {
            return;
        }
        self.pass_to_controller(now, number, false);
        self.report_history(now, number);
    }

    /// Offers what is due, and finishes what is out of time.
    pub(super) fn run_handover_decisions(&mut self, now: Micros) {
        if self.upgrade.has_handed_off() {
            return;
        }
        while let Some(decision) = self.handovers.next(now) {
            match decision {
                HandoverDecision::Offer(number, owner) => self.prepare_offer(now, number, &owner),
                HandoverDecision::DeliverLocally(number) => self.deliver_for_owner(now, number),
                HandoverDecision::TimeUp(number) => self.on_handover_time_up(now, number),
            }
        }
    }

    /// The journal says whom a message is offered to before the first byte goes there.
    fn prepare_offer(&mut self, now: Micros, number: MessageId, owner: &Peer) {
        let Some(message) = self.messages.get(number) else { return };
        if message.accepted.handover.offered.is_some() {
            return self.send_offer(now, number, owner);
        }
        let message_id = message.accepted.id.clone();
        let offer = HandoverOffer { owner: owner.name.clone(), offered_at: now };
        let record = Record::HandoverOffered { message: message_id, owner: owner.name.clone(), at: now };
        self.append(&[(&record, b"")], Some(AfterAppend::SendOffer(number, owner.clone())));
        if let Some(message) = self.messages.get_mut(number) {
            message.accepted.handover.offered = Some(offer);
        }
    }

    /// The record of an offer is in the journal, or could not be: then nothing is offered.
    pub(super) fn on_offer_recorded(&mut self, now: Micros, number: MessageId, owner: &Peer, stored: bool) {
        if stored && !self.upgrade.has_handed_off() {
            return self.send_offer(now, number, owner);
        }
        if let Some(message) = self.messages.get_mut(number) {
            message.accepted.handover.offered = None;
        }
        self.handovers.on_offer_withheld(now, number);
    }

    fn send_offer(&mut self, now: Micros, number: MessageId, owner: &Peer) {
        let own_name = self.ownership.own_name();
        let (Some(message), Some(from)) = (self.messages.get(number), own_name) else {
            return self.handovers.on_offer_withheld(now, number);
        };
        let accepted = message.accepted.clone();
        let first_offered_at = accepted.handover.offered.as_ref().map_or(now, |offered| offered.offered_at);
        let mark = HandoverMark {
            from,
            deadline: accepted.deadline,
            valid_until: first_offered_at + MAX_IN_DOUBT_US,
            attempts: accepted.attempts,
            possible_delivery: accepted.possible_delivery.clone(),
        };
        self.effects.push(Effect::Offer(Box::new(OutgoingOffer {
            id: number,
            owner_address: owner.address,
            body: message.body.clone(),
            mark,
            answer_deadline: accepted.deadline.min(now + OFFER_TIMEOUT_US),
            message: accepted,
        })));
    }

    /// An offer has ended.
    pub(super) fn on_offer_ended(&mut self, now: Micros, number: MessageId, outcome: &OfferOutcome) {
        let was_in_doubt = self.handovers.is_in_doubt(number);
        self.handovers.on_offer_ended(now, number, outcome);
        if self.messages.get(number).is_none_or(|message| message.in_controller) {
            return;
        }
        match outcome {
            OfferOutcome::Accepted => return self.finish_handed_over(now, number),
            OfferOutcome::Rejected(_) | OfferOutcome::NotSent(_) if !was_in_doubt => {
                self.record_declined(number);
            }
            OfferOutcome::Rejected(_) | OfferOutcome::NotSent(_) => {}
            OfferOutcome::InDoubt(_) => self.ownership.count_unanswered(),
        }
        self.log_failed_offer(number, outcome);
        if self.upgrade.has_handed_off() {
            return self.release_to_successor(number);
        }
        if let Some(message) = self.messages.get(number) {
            let terms = self.terms(now, &message.accepted);
            self.handovers.change(number, terms);
        }
        self.reassign_owner(now, number);
    }

    fn log_failed_offer(&mut self, number: MessageId, outcome: &OfferOutcome) {
        let (doubt, reason) = match outcome {
            OfferOutcome::NotSent(reason) => ("", reason),
            OfferOutcome::InDoubt(reason) => (" (in doubt)", reason),
            OfferOutcome::Accepted | OfferOutcome::Rejected(_) => return,
        };
        let owner = self.handovers.owner_of(number).unwrap_or_default();
        let id = self.messages.get(number).map_or("", |message| &message.accepted.id);
        self.log(format!("hand-over of {id} to {owner}{doubt}: {reason}"));
    }

    /// Its owner has accepted the message: here it is finished.
    fn finish_handed_over(&mut self, now: Micros, number: MessageId) {
        let Some(message) = self.messages.get(number) else { return };
        let message_id = message.accepted.id.clone();
        let offered = message.accepted.handover.offered.as_ref();
        let owner = offered.map_or_else(String::new, |offered| offered.owner.clone());
        self.append_record(&Record::HandedOver { message: message_id.clone(), owner, at: now });
        self.ownership.count_handed_over();
        self.metrics.on_left_this_process();
        self.drop_message(number);
        self.finished.remember(message_id, now);
    }

    /// The owner never took the message.
    fn record_declined(&mut self, number: MessageId) {
        let Some(message) = self.messages.get(number) else { return };
        let message_id = message.accepted.id.clone();
        self.append_record(&Record::HandoverDeclined { message: message_id });
        if let Some(message) = self.messages.get_mut(number) {
            message.accepted.handover.offered = None;
        }
    }

    /// A message is delivered here in the place of its failing owner.
    fn deliver_for_owner(&mut self, now: Micros, number: MessageId) {
        let Some(message) = self.messages.get(number) else { return };
        if !self.may_repeat(now, &message.accepted) {
            // Its deduplication window has ended since.
            return self.place(now, number);
        }
        if message.accepted.handover.offered.is_some() {
            // After a restart it must not be offered again.
            self.count_offer_as_attempt(number);
            self.record_kept_local(number);
        }
        self.ownership.count_delivered_for_owner();
        self.deliver_here(now, number);
    }

    fn record_kept_local(&mut self, number: MessageId) {
        let Some(message) = self.messages.get(number) else { return };
        let message_id = message.accepted.id.clone();
        self.append_record(&Record::KeptLocal { message: message_id });
        if let Some(message) = self.messages.get_mut(number) {
            message.accepted.handover.kept_local = true;
        }
    }

    /// The time of a message is up while it waits for its owner. In doubt before its deadline, its class says what becomes
    /// of it.
    fn on_handover_time_up(&mut self, now: Micros, number: MessageId) {
        if self.handovers.is_offer_in_flight(number) {
            // Its offer ends by its timeout and may bring the answer. If it does not, the end of the offer brings the message
            // back here.
            return;
        }
        let Some(message) = self.messages.get(number) else { return };
        let accepted = &message.accepted;
        if now < accepted.deadline {
            self.handovers.remove(number);
            return self.resolve_in_doubt(now, number);
        }
        let answer = if self.may_be_rejected_after_offer(accepted) {
            FinalAnswer::Rejected { retry_after_ms: 0 }
        } else {
            FinalAnswer::Failed
        };
        self.finish(now, number, answer);
    }
}
