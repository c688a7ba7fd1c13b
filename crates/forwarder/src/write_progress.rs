//! How far the writing of a request has come, counted in the bytes that the system has taken.

use crate::endpoint_call::Progress;

/// An empty line ends a head.
pub(crate) const HEAD_END: &[u8] = b"\r\n\r\n";

/// How much of a request has been written: its head ends with an empty line, and its body's length is known.
#[derive(Debug, Default)]
pub struct WriteProgress {
    begun: bool,
    head_end: usize,
    body_left: usize,
}

impl WriteProgress {
    /// Nothing yet of a request with so many bytes of body.
    pub fn with_body_bytes(body: usize) -> Self {
        WriteProgress { begun: false, head_end: 0, body_left: body }
    }

    /// These bytes have gone.
    pub fn on_written(&mut self, bytes: &[u8]) {
        self.begun |= !bytes.is_empty();
        for (place, byte) in bytes.iter().enumerate() {
            if self.head_end == HEAD_END.len() {
                self.body_left = self.body_left.saturating_sub(bytes.len() - place);
                return;
            }
            self.head_end = match *byte {
                b if b == HEAD_END[self.head_end] => self.head_end + 1,
                b'\r' => 1,
                _ => 0,
            };
        }
    }

    /// Whether any byte has gone.
    pub fn has_begun(&self) -> bool {
        self.begun
    }

    /// Whether all of it has.
    pub fn progress(&self) -> Progress {
        if self.head_end == HEAD_END.len() && self.body_left == 0 {
            Progress::FullyWritten
        } else {
            Progress::NotFullyWritten
        }
    }
}
