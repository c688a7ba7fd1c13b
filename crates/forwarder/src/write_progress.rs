//! How far the writing of a request has come, counted in the bytes that the system has accepted.
//!
//! Used to tell whether an endpoint may have received a whole request when its connection fails.

use crate::endpoint_call::Progress;

/// An empty line ends the head of a request or response.
pub(crate) const HEAD_END: &[u8] = b"\r\n\r\n";

/// How much of one request has been written: a head, which ends with an empty line, and a body of known length.
#[derive(Debug, Default)]
pub struct WriteProgress {
    has_begun: bool,
    /// Bytes of [`HEAD_END`] that the written bytes end with; all of them once the head is written.
    head_end_matched: usize,
    body_bytes_left: usize,
}

impl WriteProgress {
    /// Nothing is written yet of a request with so many bytes of body.
    pub fn with_body_bytes(body_bytes: usize) -> Self {
        WriteProgress { has_begun: false, head_end_matched: 0, body_bytes_left: body_bytes }
    }

    /// These bytes have been written.
    pub fn on_written(&mut self, bytes: &[u8]) {
        self.has_begun |= !bytes.is_empty();
        for (index, byte) in bytes.iter().enumerate() {
            if self.is_head_written() {
                self.body_bytes_left = self.body_bytes_left.saturating_sub(bytes.len() - index);
                return;
            }
            self.head_end_matched = match *byte {
                byte if byte == HEAD_END[self.head_end_matched] => self.head_end_matched + 1,
                b'\r' => 1,
                _ => 0,
            };
        }
    }

    /// Whether any byte has been written.
    pub fn has_begun(&self) -> bool {
        self.has_begun
    }

    /// Whether the whole request has been written.
    pub fn progress(&self) -> Progress {
        if self.is_head_written() && self.body_bytes_left == 0 {
            Progress::FullyWritten
        } else {
            Progress::NotFullyWritten
        }
    }

    fn is_head_written(&self) -> bool {
        self.head_end_matched == HEAD_END.len()
    }
}
