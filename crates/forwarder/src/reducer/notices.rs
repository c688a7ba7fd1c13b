//! What is over: ids that are remembered for a while, and final answers whose notice is still owed.

use super::{Reducer, SECOND};
use crate::input::Effect;
use orchidyoke_core::interface::Micros;
use orchidyoke_journal::{FinalAnswer, Record};
use std::collections::hash_map::Entry;
use std::collections::{HashMap, VecDeque};

/// An id that is over is remembered for so long: a client may still be sending it once more.
const RECENT: Micros = 30 * SECOND;
/// About the bytes of the record of an id that is over, or whose notice is owed, beside the id.
pub(super) const SHORT_RECORD: usize = 160;
/// Pause before a notice is posted again.
const POST_AGAIN: Micros = 100_000;
/// Notices in one post.
const POST_MOST: usize = 200;

pub(super) fn id_size(txn: &str) -> usize {
    txn.len() + SHORT_RECORD
}

/// Ids that are over, bounded in time and number.
#[derive(Debug)]
pub(super) struct Recent {
    since: HashMap<String, Micros>,
    order: VecDeque<(Micros, String)>,
    most: usize,
    bytes: usize,
}

impl Recent {
    pub fn new(most: usize) -> Self {
        Recent { since: HashMap::new(), order: VecDeque::new(), most, bytes: 0 }
    }

    pub fn bound(&mut self, most: usize) {
        self.most = most;
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
            && (at - first > RECENT || self.order.len() > self.most)
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
pub(super) struct Owed {
    answers: VecDeque<(String, FinalAnswer, Micros)>,
    /// How many of them are being posted.
    posting: usize,
    post_at: Micros,
    /// How many answers are owed for each id.
    by_id: HashMap<String, usize>,
    bytes: usize,
}

impl Owed {
    pub fn new(answers: Vec<(String, FinalAnswer, Micros)>, now: Micros) -> Self {
        let (posting, post_at, bytes) = (0, now, 0);
        let mut owed = Owed { answers: VecDeque::new(), posting, post_at, by_id: HashMap::new(), bytes };
        answers.into_iter().for_each(|(txn, verdict, at)| owed.push(txn, verdict, at));
        owed
    }

    pub fn contains(&self, txn: &str) -> bool {
        self.by_id.contains_key(txn)
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
        *self.by_id.entry(txn.clone()).or_default() += 1;
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
        self.posting = self.answers.len().min(POST_MOST);
        let notices = self.answers.iter().take(self.posting);
        Some(notices.map(|(txn, verdict, _)| (txn.clone(), *verdict)).collect())
    }

    /// The post is over: the ids that were accepted, or none and a pause.
    fn posted(&mut self, now: Micros, accepted: bool) -> Vec<String> {
        let posted = std::mem::take(&mut self.posting);
        if !accepted {
            self.post_at = now + POST_AGAIN;
            return Vec::new();
        }
        self.answers.iter().take(posted).map(|(txn, ..)| txn.clone()).collect()
    }

    fn forget(&mut self, count: usize) {
        for (txn, ..) in self.answers.drain(..count) {
            self.bytes -= id_size(&txn);
            if let Entry::Occupied(mut owed) = self.by_id.entry(txn) {
                *owed.get_mut() -= 1;
                if *owed.get() == 0 {
                    owed.remove();
                }
            }
        }
    }
}

impl Reducer {
    pub(super) fn post(&mut self, now: Micros) {
        if let Some(notices) = self.owed.take_post(now) {
            self.effects.push(Effect::PostNotifications { to: self.discovery, notifications: notices });
        }
    }

    pub(super) fn posted(&mut self, now: Micros, accepted: bool) {
        let txns = self.owed.posted(now, accepted);
        if txns.is_empty() {
            return;
        }
        let over: Vec<Record> =
            txns.iter().map(|txn| Record::Finished { message: txn.clone(), at: now }).collect();
        let records: Vec<(&Record, &[u8])> = over.iter().map(|record| (record, &b""[..])).collect();
        self.append(&records, None);
        self.owed.forget(txns.len());
        for txn in txns {
            self.recent.remember(txn, now);
        }
    }
}
