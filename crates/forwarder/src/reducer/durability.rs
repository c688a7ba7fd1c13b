//! Durability: which bytes are appended to the journal, what waits until they are stored, and when the file is
//! compacted.
//!
//! Before a 202 is sent, the journal's file holds the message's record with its body. For a message that another
//! forwarder handed over, the file also holds the record that the message stays here. Before the first byte of a call
//! or of an offer is sent, the file holds the record that names its messages, the endpoint or owner, and the time.
//! "Holds" means that the write to the file has returned ([`Input::Appended`](crate::input::Input::Appended) with
//! `stored`). The bytes survive any kind of end of the process, but they are not synced, so the loss of the machine may
//! lose them. Any other change of state is appended before the effects that follow from it, in the same list of
//! effects.

use super::final_answers::SHORT_RECORD_BYTES;
use super::journaled_messages::JournaledMessages;
use super::list_record::ListRecord;
use super::message_table::DecidedMessage;
use super::operator_overrides::OverrideRequest;
use super::pending_appends::{PendingAppend, PendingAppends};
use super::takeover::Takeover;
use super::{Reducer, route_state};
use crate::config::Limits;
use crate::connection_pool::CallId;
use crate::input::{AppendId, Effect};
use crate::ownership::Peer;
use bytes::{Bytes, BytesMut};
use orchidyoke_core::interface::{MessageId, Micros, Settings};
use orchidyoke_journal::{DiskSpace, Record};

/// Divisor of the folder's limit that gives the space for ids of finished messages. The ids are limited so that they
/// leave room for messages.
const FINISHED_IDS_DISK_DIVISOR: usize = 16;
/// An upper estimate of the bytes of the records that a snapshot contains only once.
const SINGLE_RECORDS_BYTES: usize = 300;

/// Limits that are derived from the machine's limits.
pub(super) struct Bounds {
    pub disk_bytes: usize,
    pub finished_ids: usize,
    pub connections: usize,
}

impl Bounds {
    pub fn new(settings: &Settings, limits: Limits) -> Self {
        let disk_bytes = (limits.disk_mb * 1e6) as usize;
        Bounds {
            disk_bytes,
            finished_ids: disk_bytes / FINISHED_IDS_DISK_DIVISOR / SHORT_RECORD_BYTES,
            connections: limits.max_endpoint_connections(settings.max_calls),
        }
    }
}

/// A part of the folder's limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct FolderPart {
    quarters: usize,
}

impl FolderPart {
    pub const QUARTER: FolderPart = FolderPart { quarters: 1 };
    pub const HALF: FolderPart = FolderPart { quarters: 2 };
    pub const THREE_QUARTERS: FolderPart = FolderPart { quarters: 3 };
    pub const WHOLE: FolderPart = FolderPart { quarters: 4 };

    fn of(self, limit_bytes: usize) -> usize {
        limit_bytes / 4 * self.quarters
    }
}

/// The next step after an append is reported, whether or not it was stored.
#[derive(Debug)]
pub(super) enum AfterAppend {
    /// Answer the requests that wait for these messages.
    AdmitMessages(Vec<DecidedMessage>),
    /// Write the call.
    SendCall(CallId),
    /// Offer the message to its owner.
    SendOffer(MessageId, Peer),
    /// Take ownership of what another process left.
    CompleteTakeover(Takeover),
    /// Release the messages that are not in flight to the successor.
    CompleteHandOff,
    /// Apply an operator's override.
    ApplyOverride(OverrideRequest),
}

impl AfterAppend {
    /// Returns whether the append may be refused for lack of space while files of other processes are in the folder.
    /// All other appends have to be written.
    fn may_be_denied_space(&self) -> bool {
        matches!(
            self,
            AfterAppend::AdmitMessages(_) | AfterAppend::CompleteTakeover(_) | AfterAppend::ApplyOverride(_)
        )
    }

    /// Returns whether the state changes only once the append is reported. An attempt or an offer changes the state
    /// immediately.
    pub fn changes_state_later(&self) -> bool {
        !matches!(self, AfterAppend::SendCall(_) | AfterAppend::SendOffer(..))
    }
}

/// The size of the journal's file as computed by the reducer, and the appends that are not yet reported.
#[derive(Debug)]
pub(super) struct Durability {
    space: DiskSpace,
    /// Maximum size of the folder, in bytes, for all processes together.
    limit_bytes: usize,
    last_append: AppendId,
    /// The last append that was requested before the last compaction; 0 if there was none.
    last_compacted_append: AppendId,
    pending: PendingAppends,
    messages: JournaledMessages,
}

impl Durability {
    /// Creates the state for a folder with this limit and a journal file of `file_bytes` with these messages in it.
    pub fn new(limit_bytes: usize, file_bytes: usize, messages: JournaledMessages) -> Self {
        Durability {
            space: DiskSpace::new(limit_bytes, file_bytes),
            limit_bytes,
            last_append: 0,
            last_compacted_append: 0,
            pending: PendingAppends::default(),
            messages,
        }
    }

    /// Returns the unfinished messages as the journal's file describes them.
    pub fn messages(&self) -> &JournaledMessages {
        &self.messages
    }

    /// Sets another limit of the folder. The limit takes effect with the next [`Durability::set_own_share`].
    pub fn set_limit_bytes(&mut self, limit_bytes: usize) {
        self.limit_bytes = limit_bytes;
    }

    /// Sets the part of the folder's limit that this process may use. The limit applies to the files of all processes
    /// together; the others use, or may need, `other_bytes`.
    pub fn set_own_share(&mut self, other_bytes: usize, part: FolderPart) {
        let left = self.limit_bytes.saturating_sub(other_bytes);
        self.space.set_limits(left.min(part.of(self.limit_bytes)), left);
    }

    /// Returns whether there is room for an append of `bytes` without a later compaction.
    pub fn has_room_for(&self, bytes: usize) -> bool {
        self.space.has_room_for(bytes)
    }

    /// Returns whether a message of `message_bytes` may be accepted in addition to a snapshot of `live_bytes`.
    pub fn admits(&self, live_bytes: usize, message_bytes: usize) -> bool {
        self.space.admits(live_bytes, message_bytes)
    }

    /// Returns whether there is room to compact the file now, which needs the old and the new file at the same time.
    pub fn can_compact(&self, live_bytes: usize) -> bool {
        self.space.can_compact(live_bytes)
    }

    /// Returns whether the file may be compacted beside other processes: there is room for it, and it frees some.
    fn is_compaction_allowed(&self, live_bytes: usize) -> bool {
        self.can_compact(live_bytes) && self.space.is_compaction_worthwhile(live_bytes)
    }

    /// Returns whether the file has to be compacted before `more` bytes are appended.
    fn needs_compaction(&self, live_bytes: usize, more: usize) -> bool {
        self.space.needs_compaction(live_bytes, more)
    }

    /// Ends the attempts that were in flight when the previous process of this file ended. Returns the ids of their
    /// messages.
    pub fn end_interrupted_attempts(&mut self) -> Vec<String> {
        self.messages.end_attempts_in_doubt()
    }

    /// Notes that the file is replaced by a snapshot of `snapshot_bytes`.
    fn record_compaction(&mut self, snapshot_bytes: usize) {
        self.space.set_file_bytes(snapshot_bytes);
        self.last_compacted_append = self.last_append;
    }

    /// Registers an append. Returns the effect that requests it, or the effect that reports it as refused.
    fn append(
        &mut self,
        records: &[(&Record, &Bytes)],
        bytes: Bytes,
        next_step: Option<AfterAppend>,
        has_other_processes: bool,
    ) -> Effect {
        self.last_append += 1;
        let append = self.last_append;
        let may_be_denied_space = next_step.as_ref().is_some_and(AfterAppend::may_be_denied_space);
        if may_be_denied_space && has_other_processes && !self.space.has_room_for(bytes.len()) {
            self.pending.insert(append, PendingAppend::refused(next_step));
            return Effect::ReportJournalFull { append };
        }
        self.space.record_append(bytes.len());
        for (record, body) in records {
            self.messages.apply(record, body);
        }
        self.pending.insert(append, PendingAppend::requested(records, next_step));
        Effect::Append { append, bytes }
    }

    /// Handles the report of an append, with the size of the file now.
    fn on_reported(&mut self, append: AppendId, file_bytes: usize) -> Option<PendingAppend> {
        self.space.set_file_bytes(file_bytes);
        self.pending.remove(append)
    }
}

impl Reducer {
    /// Requests an append. Must be called before the state changes, because a compaction that becomes necessary writes
    /// the state as it was before.
    pub(super) fn append(&mut self, records: &[(&Record, &Bytes)], next_step: Option<AfterAppend>) {
        let mut bytes = BytesMut::new();
        records.iter().for_each(|(record, body)| record.encode(body, &mut bytes));
        self.compact_if_needed(bytes.len());
        let has_others = self.upgrade.has_other_processes();
        let effect = self.durability.append(records, bytes.freeze(), next_step, has_others);
        self.effects.push(effect);
    }

    /// Requests an append of records without a body. Does nothing if there are no records.
    pub(super) fn append_all(&mut self, records: &[Record], next_step: Option<AfterAppend>) {
        if !records.is_empty() {
            let no_body = Bytes::new();
            let records: Vec<(&Record, &Bytes)> = records.iter().map(|record| (record, &no_body)).collect();
            self.append(&records, next_step);
        }
    }

    /// Requests an append of one record without a body. Nothing waits for its report.
    pub(super) fn append_record(&mut self, record: &Record) {
        self.append(&[(record, &Bytes::new())], None);
    }

    /// Handles the report of an append, which was `stored` or failed.
    pub(super) fn on_appended(&mut self, now: Micros, append: AppendId, stored: bool, file_bytes: usize) {
        let Some(PendingAppend { next_step, is_requested, .. }) =
            self.durability.on_reported(append, file_bytes)
        else {
            return;
        };
        let Some(next_step) = next_step else { return };
        if is_requested && !stored {
            self.revoke_append(append, &next_step);
        }
        match next_step {
            AfterAppend::AdmitMessages(decided) => self.on_messages_recorded(now, decided, stored),
            AfterAppend::SendOffer(id, peer) => self.on_offer_recorded(now, id, &peer, stored),
            AfterAppend::CompleteTakeover(takeover) => self.on_takeover_recorded(now, takeover, stored),
            AfterAppend::CompleteHandOff => self.on_hand_off_recorded(stored),
            AfterAppend::SendCall(call) => self.on_attempt_recorded(now, call, stored),
            AfterAppend::ApplyOverride(request) => self.on_override_recorded(now, request, stored),
        }
    }

    /// Removes what an append that failed has added to the messages of the file. If the file was compacted in the
    /// meantime, the snapshot holds the append's records, so it is written again without them.
    fn revoke_append(&mut self, append: AppendId, next_step: &AfterAppend) {
        match next_step {
            AfterAppend::AdmitMessages(decided) => {
                let messages = decided.iter().filter_map(|decided| self.messages.get(decided.number));
                messages.for_each(|message| drop(self.durability.messages.remove(&message.accepted.id)));
            }
            AfterAppend::CompleteTakeover(takeover) => {
                let taken = takeover.ids().filter(|id| self.messages.number_of(id).is_none());
                taken.for_each(|id| drop(self.durability.messages.remove(id)));
            }
            AfterAppend::SendOffer(number, _) => {
                if let Some(message) = self.messages.get(*number) {
                    let declined = Record::HandoverDeclined { message: message.accepted.id.clone() };
                    self.durability.messages.apply(&declined, &Bytes::new());
                }
            }
            // The call is abandoned, which appends the end of its attempts.
            AfterAppend::SendCall(_) => {}
            // The messages do not change.
            AfterAppend::CompleteHandOff | AfterAppend::ApplyOverride(_) => {}
        }
        if append <= self.durability.last_compacted_append && !self.upgrade.has_handed_off() {
            self.compact();
        }
    }

    /// Compacts the file if, after `more` bytes are appended, there would be no room left to compact it.
    pub(super) fn compact_if_needed(&mut self, more: usize) {
        if self.upgrade.has_handed_off() {
            // The successor reads the file as it grows, so it must not be replaced.
            return;
        }
        let live = self.snapshot_bytes();
        let fits = !self.upgrade.has_other_processes() || self.durability.is_compaction_allowed(live);
        if fits && self.durability.needs_compaction(live, more) {
            self.compact();
        }
    }

    pub(super) fn compact(&mut self) {
        let snapshot = self.snapshot();
        self.durability.record_compaction(snapshot.len());
        self.effects.push(Effect::CompactJournal { bytes: snapshot });
    }

    /// Returns an upper estimate of the size of a snapshot, in bytes.
    pub(super) fn snapshot_bytes(&self) -> usize {
        self.durability.messages.bytes() + self.process_state_bytes()
    }

    /// Returns an upper estimate of the size of a snapshot once all messages that are held are recorded, in bytes.
    pub(super) fn live_bytes(&self) -> usize {
        self.messages.live_bytes() + self.process_state_bytes()
    }

    /// Returns an upper estimate of the bytes in a snapshot of everything but the unfinished messages.
    fn process_state_bytes(&self) -> usize {
        self.durability.pending.unapplied_bytes()
            + self.final_answers.bytes()
            + self.finished.bytes()
            + self.operator_overrides.bytes()
            + self.recorded_list_bytes()
            + self.route_records_bytes()
            + SINGLE_RECORDS_BYTES
    }

    fn recorded_list_bytes(&self) -> usize {
        if self.list_record == ListRecord::Recorded { self.endpoints.list().size() } else { 0 }
    }

    /// Returns a snapshot of all state that is still needed. What a process recovers from it is what the process would
    /// recover from the file with all appends requested so far.
    pub(super) fn snapshot(&self) -> Bytes {
        let mut bytes = BytesMut::new();
        if self.list_record == ListRecord::Recorded {
            Record::EndpointList(self.endpoints.list().snapshot()).encode(b"", &mut bytes);
        }
        Record::ProcessStage { stage: self.upgrade.stage() }.encode(b"", &mut bytes);
        route_state::faulty_routes_record(&self.faulty_routes).encode(b"", &mut bytes);
        for (route, until) in self.retry_after.iter().filter(|_| self.upgrade.other_process_runs()) {
            route.retry_after_record(*until).encode(b"", &mut bytes);
        }
        if let Some(discovery) = self.discovery.superseded() {
            Record::DiscoverySuperseded { discovery }.encode(b"", &mut bytes);
        }
        for (uid, change) in self.operator_overrides.iter() {
            Record::OperatorOverride { endpoint: uid.clone(), at: change.at, ejected: change.ejected }
                .encode(b"", &mut bytes);
        }
        for finished in self.finished.iter() {
            finished.record().encode(b"", &mut bytes);
        }
        for answer in self.final_answers.iter() {
            answer.record().encode(b"", &mut bytes);
        }
        for (accepted, body) in self.durability.messages.iter() {
            Record::Accepted(accepted.clone()).encode(body, &mut bytes);
            accepted.handover_records().iter().for_each(|record| record.encode(b"", &mut bytes));
        }
        self.durability.pending.unapplied().for_each(|records| bytes.extend_from_slice(records));
        bytes.freeze()
    }
}
