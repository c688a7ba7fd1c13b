//! The progress of the current request of a client connection, shared by its socket and its task.

use std::cell::Cell;
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// Longest head of a request, and most bytes that hyper reads ahead.
pub(crate) const MAX_READ_AHEAD_BYTES: usize = 32 << 10;
/// Most bytes of one read. A read that filled hyper's buffer of 8 KiB would have it doubled.
pub(crate) const MAX_READ_BYTES: usize = (8 << 10) - 1;
/// Bytes of a head that every connection may have.
const FREE_HEAD_BYTES: usize = 4 << 10;

/// Limit on the time until a request's head has arrived, from the connection's start or the last answer. It exceeds the
/// 2 s for which a client may rely on an idle connection.
const HEAD_TIMEOUT: Duration = Duration::from_millis(2_100);
/// Time that a head has at least from its first byte. Together with [`HEAD_TIMEOUT`] and the limit for a body, it gives
/// a client its answer or its close within 3 s of connecting.
const MIN_HEAD_PERIOD: Duration = Duration::from_millis(250);

/// What a connection owes its client.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum RequestStage {
    /// Nothing: no byte of the next request has been read.
    #[default]
    Idle,
    /// The head of a request has been read in part.
    ReadingHead,
    /// The head has been read. Its body may still be arriving.
    AwaitingAnswer,
}

/// How much of the current request has been read, and whether it is answered.
#[derive(Debug)]
pub(crate) struct RequestProgress {
    stage: Cell<RequestStage>,
    /// When the connection began, or its last request was answered.
    idle_since: Cell<Instant>,
    /// When the first byte of the last request was read.
    began_at: Cell<Instant>,
    head_bytes: Cell<usize>,
    bytes_read: Cell<u64>,
    has_had_request: Cell<bool>,
    is_write_blocked: Cell<bool>,
    reads_without_readiness: Cell<bool>,
}

impl Default for RequestProgress {
    fn default() -> Self {
        let now = Instant::now();
        RequestProgress {
            stage: Cell::default(),
            idle_since: Cell::new(now),
            began_at: Cell::new(now),
            head_bytes: Cell::default(),
            bytes_read: Cell::default(),
            has_had_request: Cell::default(),
            is_write_blocked: Cell::default(),
            reads_without_readiness: Cell::default(),
        }
    }
}

impl RequestProgress {
    /// Returns what the connection owes its client.
    pub(crate) fn stage(&self) -> RequestStage {
        self.stage.get()
    }

    /// Returns whether the head of any request has been read.
    pub(crate) fn has_had_request(&self) -> bool {
        self.has_had_request.get()
    }

    /// Records that the head has been parsed, so that what follows is the body.
    pub(crate) fn on_parsed(&self) {
        self.has_had_request.set(true);
        self.stage.set(RequestStage::AwaitingAnswer);
    }

    /// Records that the request is answered, so that what follows is the next head.
    pub(crate) fn on_answered(&self) {
        self.stage.set(RequestStage::Idle);
        self.idle_since.set(Instant::now());
        self.head_bytes.set(0);
    }

    /// Records bytes that were read. Line ends before a head belong to no request (RFC 9112, section 2.2).
    pub(crate) fn on_read(&self, bytes: &[u8]) {
        let is_between_requests = self.stage.get() == RequestStage::Idle;
        if is_between_requests && bytes.iter().any(|byte| !matches!(byte, b'\r' | b'\n')) {
            self.stage.set(RequestStage::ReadingHead);
            self.began_at.set(Instant::now());
        }
        self.head_bytes.set(self.head_bytes.get() + bytes.len());
        self.bytes_read.set(self.bytes_read.get() + bytes.len() as u64);
    }

    /// Returns how many bytes of all requests have been read.
    pub(crate) fn bytes_read(&self) -> u64 {
        self.bytes_read.get()
    }

    /// Returns how many more bytes may be read without a reservation.
    pub(crate) fn free_bytes(&self) -> usize {
        match self.stage.get() {
            RequestStage::AwaitingAnswer => MAX_READ_BYTES,
            RequestStage::Idle | RequestStage::ReadingHead => {
                FREE_HEAD_BYTES.saturating_sub(self.head_bytes.get())
            }
        }
    }

    /// Records whether the last write found the system's buffer full.
    pub(crate) fn set_write_blocked(&self, is_blocked: bool) {
        self.is_write_blocked.set(is_blocked);
    }

    /// Returns whether the last write found the system's buffer full, so that a part of an answer may be unwritten.
    pub(crate) fn is_write_blocked(&self) -> bool {
        self.is_write_blocked.get()
    }

    /// Returns until when the next head has to arrive; `None` if it has.
    pub(crate) fn head_deadline(&self) -> Option<Instant> {
        let deadline = self.idle_since.get() + HEAD_TIMEOUT;
        match self.stage.get() {
            RequestStage::Idle => Some(deadline),
            RequestStage::ReadingHead => Some(deadline.max(self.began_at.get() + MIN_HEAD_PERIOD)),
            RequestStage::AwaitingAnswer => None,
        }
    }

    /// Returns whether the next head should have arrived by now.
    pub(crate) fn is_head_overdue(&self) -> bool {
        self.head_deadline().is_some_and(|deadline| deadline <= Instant::now())
    }

    /// Waits until the next head is overdue.
    pub(crate) async fn head_overdue(&self) {
        while !self.is_head_overdue() {
            // While a request awaits its answer, the next head cannot be due before this.
            let next_look = self.head_deadline().unwrap_or_else(|| Instant::now() + HEAD_TIMEOUT);
            sleep_until(next_look).await;
        }
    }

    /// Sets whether each read asks the system itself, because the runtime learns later than the system that bytes have
    /// arrived.
    pub(crate) fn set_reads_without_readiness(&self, reads_without_readiness: bool) {
        self.reads_without_readiness.set(reads_without_readiness);
    }

    /// Returns whether each read asks the system itself.
    pub(crate) fn reads_without_readiness(&self) -> bool {
        self.reads_without_readiness.get()
    }
}
