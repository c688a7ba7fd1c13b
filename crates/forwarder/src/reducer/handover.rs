//! Handover: how a message whose destination another forwarder owns is handled until the owner has accepted it or it is
//! delivered here. [`handover_schedule`](super::handover_schedule) decides when an offer is due and when messages for a
//! failing owner are delivered here.

use super::Reducer;
use super::durability::AfterAppend;
use super::handover_schedule::{HandoverDecision, HandoverTerms, MAX_IN_DOUBT_US, OFFER_TIMEOUT_US};
use crate::input::Effect;
use crate::ownership::{HandoverMark, OfferOutcome, OutgoingOffer, Peer};
use bytes::Bytes;
use orchidyoke_core::interface::{MessageId, Micros};
use orchidyoke_journal::{AcceptedMessage, FinalAnswer, HandoverOffer, HandoverState, Record};

impl Reducer {
    /// Passes a message that is in the journal and not in the controller either to the schedule of handovers, if
    /// another forwarder owns its destination, or to the controller, to be delivered here.
    pub(super) fn hand_over_or_deliver(&mut self, now: Micros, number: MessageId) {
        let Some(message) = self.messages.get(number) else { return };
        let accepted = &message.accepted;
        let owner = match &accepted.handover {
            HandoverState { kept_local: true, .. } => None,
            // An owner that may already have the message is offered it again as long as it is a member.
            HandoverState { offered: Some(offered), .. } => match self.ownership.member(&offered.owner) {
                Some(owner) => Some(owner),
                None => return self.resolve_in_doubt(now, number),
            },
            // The controller finishes a message that may have been delivered and must not be repeated.
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

    /// Schedules a message again if the owner that it waits for has changed.
    pub(super) fn reassign_owner(&mut self, now: Micros, number: MessageId) {
        let Some(message) = self.messages.get(number) else { return };
        let owner = match &message.accepted.handover.offered {
            Some(offered) => self.ownership.member(&offered.owner),
            None => self.ownership.other_owner(message.accepted.destination),
        };
        if owner.as_ref().map(|owner| owner.name.as_str()) != self.handovers.owner_of(number) {
            self.handovers.remove(number);
            self.hand_over_or_deliver(now, number);
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

    /// Stops offering a message to an owner that may have it. Fails the message if its class forbids a repeat, and
    /// hands over or delivers it again otherwise.
    fn resolve_in_doubt(&mut self, now: Micros, number: MessageId) {
        let Some(message) = self.messages.get(number) else { return };
        if !self.may_repeat(now, &message.accepted) {
            return self.finish(now, number, FinalAnswer::Failed);
        }
        self.count_offer_as_attempt(number);
        self.hand_over_or_deliver(now, number);
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

    /// Passes a message to the controller, together with its previous attempts.
    fn deliver_here(&mut self, now: Micros, number: MessageId) {
        if self.messages.get(number).is_none_or(|message| message.in_controller) {
            return;
        }
        self.pass_to_controller(now, number, false);
        self.report_history(now, number);
    }

    /// Carries out the decisions of the schedule that are due: sends offers, delivers locally, and finishes messages
    /// whose time is up.
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

    /// Records in the journal to which owner a message is offered, before the first byte of the offer is sent.
    fn prepare_offer(&mut self, now: Micros, number: MessageId, owner: &Peer) {
        let Some(message) = self.messages.get(number) else { return };
        if message.accepted.handover.offered.is_some() {
            return self.send_offer(now, number, owner);
        }
        let message_id = message.accepted.id.clone();
        let offer = HandoverOffer { owner: owner.name.clone(), offered_at: now };
        let record = Record::HandoverOffered { message: message_id, owner: owner.name.clone(), at: now };
        self.append(&[(&record, &Bytes::new())], Some(AfterAppend::SendOffer(number, owner.clone())));
        if let Some(message) = self.messages.get_mut(number) {
            message.accepted.handover.offered = Some(offer);
        }
    }

    /// Handles the report on the record of an offer. Sends the offer only if the record is `stored`.
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

    /// Handles the end of an offer.
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
            self.handovers.update_terms(number, terms);
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

    /// Finishes a message that its owner has accepted.
    fn finish_handed_over(&mut self, now: Micros, number: MessageId) {
        let Some(message) = self.messages.get(number) else { return };
        let finished = message.finished(now);
        let offered = message.accepted.handover.offered.as_ref();
        let owner = offered.map_or_else(String::new, |offered| offered.owner.clone());
        self.append_record(&Record::HandedOver { message: finished.id.clone(), owner, at: now });
        self.ownership.count_handed_over();
        self.metrics.on_left_this_process();
        self.drop_message(number);
        self.finished.remember(finished);
    }

    /// Records that the owner did not accept the message.
    fn record_declined(&mut self, number: MessageId) {
        let Some(message) = self.messages.get(number) else { return };
        let message_id = message.accepted.id.clone();
        self.append_record(&Record::HandoverDeclined { message: message_id });
        if let Some(message) = self.messages.get_mut(number) {
            message.accepted.handover.offered = None;
        }
    }

    /// Delivers a message here instead of handing it over to its failing owner.
    fn deliver_for_owner(&mut self, now: Micros, number: MessageId) {
        let Some(message) = self.messages.get(number) else { return };
        if !self.may_repeat(now, &message.accepted) {
            // Its deduplication window has ended in the meantime.
            return self.hand_over_or_deliver(now, number);
        }
        if message.accepted.handover.offered.is_some() {
            // Records that the message stays here, so that it is not offered again after a restart.
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

    /// Handles a message whose waiting time has ended before its owner accepted it. If it is in doubt and its deadline
    /// is still ahead, [`Reducer::resolve_in_doubt`] decides by its class.
    fn on_handover_time_up(&mut self, now: Micros, number: MessageId) {
        if self.handovers.is_offer_in_flight(number) {
            // The offer ends at its time-out at the latest and may still be accepted. If the owner does not accept it,
            // the end of the offer schedules the message again.
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
