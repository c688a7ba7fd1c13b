//! Final answers: the end of each message, the ids of finished messages, and the answers that the platform is still to be
//! notified of.

use super::{Reducer, SECOND_US};
use crate::input::{Effect, SubmitAnswer};
use crate::metrics::MessageEnd;
use orchidyoke_core::interface::{MessageId, Micros};
use orchidyoke_journal::{FinalAnswer, Record};
use std::collections::hash_map::Entry;
use std::collections::{HashMap, VecDeque};

/// An id that is over is remembered for so long: a client may still be sending it once more.
const FINISHED_ID_LIFETIME_US: Micros = 30 * SECOND_US;
/// About the bytes of the record of an id that is over, or whose notice is owed, beside the id.
pub(super) const SHORT_RECORD_BYTES: usize = 160;
/// Pause before a notice is posted again.
const NOTIFICATION_RETRY_US: Micros = 100_000;
/// Notices in one post.
const MAX_NOTIFICATIONS_PER_POST: usize = 200;

pub(super) fn id_size(txn: &str) -> usize {
    txn.len() + SHORT_RECORD_BYTES
}

/// Ids that are over, bounded in time and number.
#[derive(Debug)]
pub(super) struct FinishedIds {
    since: HashMap<String, Micros>,
    order: VecDeque<(Micros, String)>,
    max_ids: usize,
    bytes: usize,
}

impl FinishedIds {
    pub fn new(most: usize) -> Self {
        FinishedIds { since: HashMap::new(), order: VecDeque::new(), max_ids: most, bytes: 0 }
    }

    pub fn set_max_ids(&mut self, most: usize) {
        self.max_ids = most;
    }

    pub fn contains(&self, txn: &str) -> bool {
        self.since.contains_key(txn)
    }

    /// About the bytes that they take up in a snapshot, never less.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// In the order of their ends.
    pub fn iter(&self) -> impl Iterator<Item = &(Micros, String)> {
        self.order.iter()
    }

    pub fn remember(&mut self, txn: String, at: Micros) {
        self.order.push_back((at, txn.clone()));
        let size = id_size(&txn);
        if self.since.insert(txn, at).is_none() {
            self.bytes += size;
        }
        while let Some((first, _)) = self.order.front()
            && (at - first > FINISHED_ID_LIFETIME_US || self.order.len() > self.max_ids)
        {
            if let Some((_, txn)) = self.order.pop_front()
                && self.since.remove(&txn).is_some()
            {
                self.bytes -= id_size(&txn);
            }
        }
    }
}

/// Final answers whose notice is not yet accepted, in their order.
#[derive(Debug)]
pub(super) struct PendingAnswers {
    answers: VecDeque<(String, FinalAnswer, Micros)>,
    /// How many of them are being posted.
    posting: usize,
    post_at: Micros,
    /// How many answers are owed for each id.
    pending_by_id: HashMap<String, usize>,
    bytes: usize,
}

impl PendingAnswers {
    pub fn new(answers: Vec<(String, FinalAnswer, Micros)>, now: Micros) -> Self {
        let (posting, post_at, bytes) = (0, now, 0);
        let mut owed = PendingAnswers {
            answers: VecDeque::new(),
            posting,
            post_at,
            pending_by_id: HashMap::new(),
            bytes,
        };
        answers.into_iter().for_each(|(txn, verdict, at)| owed.push(txn, verdict, at));
        owed
    }

    pub fn contains(&self, txn: &str) -> bool {
        self.pending_by_id.contains_key(txn)
    }

    pub fn is_empty(&self) -> bool {
        self.answers.is_empty()
    }

    /// About the bytes that they take up in a snapshot, never less.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    pub fn iter(&self) -> impl Iterator<Item = &(String, FinalAnswer, Micros)> {
        self.answers.iter()
    }

    pub fn push(&mut self, txn: String, verdict: FinalAnswer, now: Micros) {
        self.bytes += id_size(&txn);
        *self.pending_by_id.entry(txn.clone()).or_default() += 1;
        self.answers.push_back((txn, verdict, now));
    }

    /// There is somewhere else to post to: at once.
    pub fn post_now(&mut self, now: Micros) {
        self.post_at = now;
    }

    /// When the next post is due, unless one is out.
    pub fn wake_at(&self) -> Option<Micros> {
        (self.posting == 0 && !self.answers.is_empty()).then_some(self.post_at)
    }

    /// The next post, if it is due.
    fn take_post(&mut self, now: Micros) -> Option<Vec<(String, FinalAnswer)>> {
        self.wake_at().filter(|at| *at <= now)?;
        self.posting = self.answers.len().min(MAX_NOTIFICATIONS_PER_POST);
        let notices = self.answers.iter().take(self.posting);
        Some(notices.map(|(txn, verdict, _)| (txn.clone(), *verdict)).collect())
    }

    /// The post is over: the ids that were accepted, or none and a pause.
    fn on_posted(&mut self, now: Micros, accepted: bool) -> Vec<String> {
        let posted = std::mem::take(&mut self.posting);
        if !accepted {
            self.post_at = now + NOTIFICATION_RETRY_US;
            return Vec::new();
        }
        self.answers.iter().take(posted).map(|(txn, ..)| txn.clone()).collect()
    }

    fn forget(&mut self, count: usize) {
        for (txn, ..) in self.answers.drain(..count) {
            self.bytes -= id_size(&txn);
            if let Entry::Occupied(mut owed) = self.pending_by_id.entry(txn) {
                *owed.get_mut() -= 1;
                if *owed.get() == 0 {
                    owed.remove();
                }
            }
        }
    }
}

impl Reducer {
    /// The final answer to a message that is not delivered: before it is accepted it answers the request, later it is a
    /// notification.
    pub(super) fn finish(&mut self, now: Micros, number: MessageId, answer: FinalAnswer) {
        let end = match answer {
            FinalAnswer::Failed => MessageEnd::Error,
            FinalAnswer::Rejected { .. } => MessageEnd::Overload,
        };
        self.finish_counted_as(now, number, answer, end);
    }

    /// A final answer that counts as this end in the metrics.
    pub(super) fn finish_counted_as(
        &mut self,
        now: Micros,
        number: MessageId,
        answer: FinalAnswer,
        end: MessageEnd,
    ) {
        let Some(message) = self.messages.get(number) else { return };
        if message.stored {
            let id = message.accepted.id.clone();
            self.append_record(&Record::AnswerDecided { message: id.clone(), at: now, answer });
            self.final_answers.push(id, answer, now);
        }
        let submit_answer = match answer {
            FinalAnswer::Failed => SubmitAnswer::Failed,
            FinalAnswer::Rejected { retry_after_ms } => SubmitAnswer::Rejected(retry_after_ms * 1000),
        };
        let Some(message) = self.drop_message(number) else { return };
        if message.stored {
            self.metrics.on_ended(&message.accepted.class, end);
        } else {
            self.metrics.on_rejected(&message.accepted.class, end);
        }
        for request in message.waiting_requests {
            self.answer(request, submit_answer);
        }
    }

    /// A message is delivered: nobody needs to be notified.
    pub(super) fn finish_delivered(&mut self, now: Micros, number: MessageId) {
        let Some(message) = self.messages.get(number) else { return };
        let id = message.accepted.id.clone();
        self.append_record(&Record::Finished { message: id.clone(), at: now });
        if let Some(message) = self.drop_message(number) {
            let latency = message.received_at.map(|received_at| now - received_at);
            self.metrics.on_delivered(&message.accepted.class, latency);
        }
        self.finished.remember(id, now);
    }

    pub(super) fn post_notifications(&mut self, now: Micros) {
        if let Some(notices) = self.final_answers.take_post(now) {
            self.effects
                .push(Effect::PostNotifications { to: self.discovery.address(), notifications: notices });
        }
    }

    pub(super) fn on_notifications_posted(&mut self, now: Micros, accepted: bool) {
        let txns = self.final_answers.on_posted(now, accepted);
        if txns.is_empty() {
            return;
        }
        let over: Vec<Record> =
            txns.iter().map(|txn| Record::Finished { message: txn.clone(), at: now }).collect();
        let records: Vec<(&Record, &[u8])> = over.iter().map(|record| (record, &b""[..])).collect();
        self.append(&records, None);
        self.final_answers.forget(txns.len());
        for txn in txns {
            self.finished.remember(txn, now);
        }
    }
}
