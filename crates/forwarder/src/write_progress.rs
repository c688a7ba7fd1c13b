//! The progress of writing a request, counted in the bytes that the system has accepted.
//!
//! It tells whether an endpoint may have received a whole request when its connection fails.

use crate::endpoint_call::Progress;

/// The empty line that ends the head of a request or response, with the line end before it.
pub(crate) const HEAD_END: &[u8] = b"\r\n\r\n";

/// The progress of writing one request: a head, which ends with an empty line, and a body of known length.
#[derive(Debug, Default)]
pub struct WriteProgress {
    has_begun: bool,
    /// Number of bytes of [`HEAD_END`] at the end of the written bytes; all of them once the head is written.
    head_end_matched: usize,
    body_bytes_left: usize,
}

impl WriteProgress {
    /// Returns the progress of a request of which nothing is written yet and whose body has `body_bytes` bytes.
    pub fn with_body_bytes(body_bytes: usize) -> Self {
        WriteProgress { has_begun: false, head_end_matched: 0, body_bytes_left: body_bytes }
    }

    /// Records that these bytes have been written.
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

    /// Returns whether any byte has been written.
    pub fn has_begun(&self) -> bool {
        self.has_begun
    }

    /// Returns whether the request is fully written, as a [`Progress`].
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
