//! The progress of the current request of a client connection, shared by its socket and its task.

use std::cell::Cell;

/// Longest head of a request, and most bytes that hyper reads ahead.
pub(crate) const MAX_READ_AHEAD_BYTES: usize = 32 << 10;
/// Most bytes of one read. A read that filled hyper's buffer of 8 KiB would have it doubled.
pub(crate) const MAX_READ_BYTES: usize = (8 << 10) - 1;
/// Bytes of a head that every connection may have.
const FREE_HEAD_BYTES: usize = 4 << 10;

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
#[derive(Debug, Default)]
pub(crate) struct RequestProgress {
    stage: Cell<RequestStage>,
    head_bytes: Cell<usize>,
    has_had_request: Cell<bool>,
    is_write_blocked: Cell<bool>,
    reads_without_readiness: Cell<bool>,
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
        self.head_bytes.set(0);
    }

    /// Records bytes that were read. Line ends before a head belong to no request (RFC 9112, section 2.2).
    pub(crate) fn on_read(&self, bytes: &[u8]) {
        let is_between_requests = self.stage.get() == RequestStage::Idle;
        if is_between_requests && bytes.iter().any(|byte| !matches!(byte, b'\r' | b'\n')) {
            self.stage.set(RequestStage::ReadingHead);
        }
        self.head_bytes.set(self.head_bytes.get() + bytes.len());
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

    /// Has each read ask the system itself from now on, because the runtime learns later than the system that bytes
    /// have arrived.
    pub(crate) fn read_without_readiness(&self) {
        self.reads_without_readiness.set(true);
    }

    /// Returns whether each read asks the system itself.
    pub(crate) fn reads_without_readiness(&self) -> bool {
        self.reads_without_readiness.get()
    }
}
