//! Final answers: the end of each message, the ids of finished messages, and the answers for which the platform has yet
//! to accept a notification.

use super::message_content::{ContentDigest, KnownContent};
use super::{Reducer, SECOND_US};
use crate::input::{Effect, SubmitAnswer};
use crate::metrics::MessageEnd;
use orchidyoke_core::interface::{MessageId, Micros};
use orchidyoke_journal::{FinalAnswer, Record};
use std::collections::hash_map::Entry;
use std::collections::{HashMap, VecDeque};

/// How long the id of a finished message is remembered, if there is disk space for it. Within this time, a message that
/// a client submits again, or that another forwarder offers again, is recognized as finished.
pub(super) const FINISHED_ID_LIFETIME_US: Micros = 30 * SECOND_US;
/// An upper estimate of the bytes of the record of a finished message or of a final answer, without the id.
pub(super) const SHORT_RECORD_BYTES: usize = 160;
/// Delay before notifications are posted again after a failed post.
const NOTIFICATION_RETRY_US: Micros = 100_000;
/// Maximum number of notifications in one post.
const MAX_NOTIFICATIONS_PER_POST: usize = 200;

/// Returns an upper estimate of the bytes of a short record with this id.
pub(super) fn id_size(id: &str) -> usize {
    id.len() + SHORT_RECORD_BYTES
}

/// The id of a finished message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct FinishedId {
    pub id: String,
    /// When it was finished.
    pub at: Micros,
    /// What it delivered; `None` if the journal no longer has it.
    pub content: Option<ContentDigest>,
}

/// The final answer to a message that was accepted and not delivered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct DecidedAnswer {
    /// The message's id.
    pub id: String,
    pub answer: FinalAnswer,
    pub decided_at: Micros,
    /// What the message was to deliver; `None` if the journal no longer has it.
    pub content: Option<ContentDigest>,
}

impl DecidedAnswer {
    /// Returns the journal record.
    pub fn record(&self) -> Record {
        Record::AnswerDecided { message: self.id.clone(), at: self.decided_at, answer: self.answer }
    }
}

impl FinishedId {
    /// Returns the journal record.
    pub fn record(&self) -> Record {
        Record::Finished { message: self.id.clone(), at: self.at }
    }
}

/// Ids of finished messages, bounded in time and number.
#[derive(Debug)]
pub(super) struct FinishedIds {
    contents: HashMap<String, Option<ContentDigest>>,
    order: VecDeque<FinishedId>,
    max_ids: usize,
    bytes: usize,
}

impl FinishedIds {
    /// Creates an empty set with at most `max_ids` ids.
    pub fn new(max_ids: usize) -> Self {
        FinishedIds { contents: HashMap::new(), order: VecDeque::new(), max_ids, bytes: 0 }
    }

    /// Sets another maximum number of ids.
    pub fn set_max_ids(&mut self, max_ids: usize) {
        self.max_ids = max_ids;
    }

    /// Returns whether a message is remembered as finished.
    pub fn contains(&self, id: &str) -> bool {
        self.contents.contains_key(id)
    }

    /// Returns what is known of the content of a message that is remembered as finished.
    pub fn content_of(&self, id: &str) -> Option<KnownContent> {
        self.contents.get(id).copied().map(KnownContent)
    }

    /// Returns an upper estimate of the bytes in a snapshot.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the ids in the order in which their messages were finished.
    pub fn iter(&self) -> impl Iterator<Item = &FinishedId> {
        self.order.iter()
    }

    /// Adds the id of a finished message. Removes ids that are too old or exceed the maximum number.
    pub fn remember(&mut self, finished: FinishedId) {
        let FinishedId { id, at, content } = finished.clone();
        self.order.push_back(finished);
        let size = id_size(&id);
        if self.contents.insert(id, content).is_none() {
            self.bytes += size;
        }
        while let Some(first) = self.order.front()
            && (at - first.at > FINISHED_ID_LIFETIME_US || self.order.len() > self.max_ids)
        {
            if let Some(first) = self.order.pop_front()
                && self.contents.remove(&first.id).is_some()
            {
                self.bytes -= id_size(&first.id);
            }
        }
    }
}

/// Final answers for which the platform has not yet accepted a notification, in the order of their decision.
#[derive(Debug)]
pub(super) struct PendingAnswers {
    answers: VecDeque<DecidedAnswer>,
    /// Number of answers, from the front, in the post that is under way; 0 if there is none.
    posting: usize,
    post_at: Micros,
    /// Number of pending answers for each message id.
    pending_by_id: HashMap<String, usize>,
    bytes: usize,
}

impl PendingAnswers {
    /// Creates the queue at the start of the process with the answers from the journal.
    pub fn new(answers: Vec<DecidedAnswer>, now: Micros) -> Self {
        let mut pending = PendingAnswers {
            answers: VecDeque::new(),
            posting: 0,
            post_at: now,
            pending_by_id: HashMap::new(),
            bytes: 0,
        };
        answers.into_iter().for_each(|answer| pending.push(answer));
        pending
    }

    /// Returns whether an answer is pending for this message.
    pub fn contains(&self, id: &str) -> bool {
        self.pending_by_id.contains_key(id)
    }

    /// Returns what is known of the content of a message whose answer is pending.
    pub fn content_of(&self, id: &str) -> Option<KnownContent> {
        if !self.contains(id) {
            return None;
        }
        let answer = self.answers.iter().find(|answer| answer.id == id);
        answer.map(|answer| KnownContent(answer.content))
    }

    /// Returns whether no answer is pending.
    pub fn is_empty(&self) -> bool {
        self.answers.is_empty()
    }

    /// Returns an upper estimate of the bytes in a snapshot.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the answers in the order in which they were decided.
    pub fn iter(&self) -> impl Iterator<Item = &DecidedAnswer> {
        self.answers.iter()
    }

    /// Adds an answer.
    pub fn push(&mut self, answer: DecidedAnswer) {
        self.bytes += id_size(&answer.id);
        *self.pending_by_id.entry(answer.id.clone()).or_default() += 1;
        self.answers.push_back(answer);
    }

    /// Makes the next post due immediately, because the address to post to has changed.
    pub fn post_now(&mut self, now: Micros) {
        self.post_at = now;
    }

    /// Returns when the next post is due, or `None` if a post is under way or no answer is pending.
    pub fn wake_at(&self) -> Option<Micros> {
        (self.posting == 0 && !self.answers.is_empty()).then_some(self.post_at)
    }

    /// Returns the notifications of the next post, if it is due.
    fn take_post(&mut self, now: Micros) -> Option<Vec<(String, FinalAnswer)>> {
        self.wake_at().filter(|at| *at <= now)?;
        self.posting = self.answers.len().min(MAX_NOTIFICATIONS_PER_POST);
        let posted = self.answers.iter().take(self.posting);
        Some(posted.map(|answer| (answer.id.clone(), answer.answer)).collect())
    }

    /// Handles the end of a post. Returns the messages of the accepted notifications, finished now. If the post failed,
    /// returns none and delays the next post.
    fn on_posted(&mut self, now: Micros, accepted: bool) -> Vec<FinishedId> {
        let posted = std::mem::take(&mut self.posting);
        if !accepted {
            self.post_at = now + NOTIFICATION_RETRY_US;
            return Vec::new();
        }
        let posted = self.answers.iter().take(posted);
        let finished =
            posted.map(|answer| FinishedId { id: answer.id.clone(), at: now, content: answer.content });
        finished.collect()
    }

    /// Removes the first `count` answers.
    fn forget(&mut self, count: usize) {
        for answer in self.answers.drain(..count) {
            self.bytes -= id_size(&answer.id);
            if let Entry::Occupied(mut pending) = self.pending_by_id.entry(answer.id) {
                *pending.get_mut() -= 1;
                if *pending.get() == 0 {
                    pending.remove();
                }
            }
        }
    }
}

impl Reducer {
    /// Finishes a message that is not delivered. The final answer is sent as the answer to the request if the message
    /// is not yet accepted, and as a notification otherwise.
    pub(super) fn finish(&mut self, now: Micros, number: MessageId, answer: FinalAnswer) {
        let end = match answer {
            FinalAnswer::Failed => MessageEnd::Error,
            FinalAnswer::Rejected { .. } => MessageEnd::Overload,
        };
        self.finish_counted_as(now, number, answer, end);
    }

    /// Finishes a message as [`Reducer::finish`] does, but counts `end` in the metrics instead of the end that follows
    /// from the answer.
    pub(super) fn finish_counted_as(
        &mut self,
        now: Micros,
        number: MessageId,
        answer: FinalAnswer,
        end: MessageEnd,
    ) {
        let Some(message) = self.messages.get(number) else { return };
        if message.stored {
            let decided = DecidedAnswer {
                id: message.accepted.id.clone(),
                answer,
                decided_at: now,
                content: Some(message.content()),
            };
            self.append_record(&decided.record());
            self.final_answers.push(decided);
        }
        let submit_answer = match answer {
            FinalAnswer::Failed => SubmitAnswer::Failed,
            FinalAnswer::Rejected { retry_after_ms } => SubmitAnswer::Rejected(retry_after_ms * 1000),
        };
        let Some(message) = self.drop_message(number) else { return };
        if message.accepted.attempts > 0 {
            self.log(format!(
                "message given up message={} class={} answer={answer:?} attempts={} may_be_delivered={}",
                message.accepted.id,
                message.accepted.class,
                message.accepted.attempts,
                message.accepted.possible_delivery.is_some()
            ));
        }
        if message.stored {
            self.metrics.on_ended(&message.accepted.class, end);
        } else {
            self.metrics.on_ended_before_accepted(&message.accepted.class, end);
        }
        for request in message.waiting_requests {
            self.answer(request, submit_answer);
        }
    }

    /// Finishes a message that is delivered, which needs no notification.
    pub(super) fn finish_delivered(&mut self, now: Micros, number: MessageId) {
        let Some(message) = self.messages.get(number) else { return };
        let finished = message.finished(now);
        self.append_record(&finished.record());
        if let Some(message) = self.drop_message(number) {
            let latency = message.received_at.map(|received_at| now - received_at);
            self.metrics.on_delivered(&message.accepted.class, latency);
        }
        self.finished.remember(finished);
    }

    /// Posts the next notifications if they are due.
    pub(super) fn post_notifications(&mut self, now: Micros) {
        if let Some(notifications) = self.final_answers.take_post(now) {
            self.effects.push(Effect::PostNotifications { address: self.discovery.address(), notifications });
        }
    }

    /// Handles the end of a post. If the platform `accepted` the notifications, records their messages as finished.
    pub(super) fn on_notifications_posted(&mut self, now: Micros, accepted: bool) {
        let finished = self.final_answers.on_posted(now, accepted);
        let records: Vec<Record> = finished.iter().map(FinishedId::record).collect();
        self.append_all(&records, None);
        self.final_answers.forget(finished.len());
        finished.into_iter().for_each(|finished| self.finished.remember(finished));
    }
}
