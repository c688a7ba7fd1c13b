//! Inspects the first bytes of a response as they arrive, to find whether it has begun and whether its status line is
//! complete.
//!
//! A response that ends early, after a status line with `200`, still confirms the delivery of a single message.

use crate::write_progress::HEAD_END;
use tokio::time::Instant;

/// Most bytes of a response that are inspected, including the interim responses before it (RFC 9110, section 15.2),
/// which are short.
const MAX_INSPECTED_BYTES: usize = 4 << 10;

/// The beginning of a response. Interim responses before it do not count as its beginning.
#[derive(Debug, Default)]
pub(crate) struct ResponseStart {
    bytes: Vec<u8>,
    begun_at: Option<Instant>,
}

impl ResponseStart {
    pub(crate) fn on_read(&mut self, bytes: &[u8]) {
        let free = MAX_INSPECTED_BYTES - self.bytes.len();
        self.bytes.extend_from_slice(&bytes[..bytes.len().min(free)]);
        if self.begun_at.is_none() && !self.final_response().is_empty() {
            self.begun_at = Some(Instant::now());
        }
    }

    /// Returns the time when the first byte of the response arrived; `None` if none has.
    pub(crate) fn begun_at(&self) -> Option<Instant> {
        self.begun_at
    }

    /// Returns whether the status line is complete and its status is 200, whatever follows it.
    pub(crate) fn confirms_delivery(&self) -> bool {
        let response = self.final_response();
        let is_http_1 = response.starts_with(b"HTTP/1.0 ") || response.starts_with(b"HTTP/1.1 ");
        let status = response.get(b"HTTP/1.x ".len()..).unwrap_or_default();
        let is_200 = matches!(status, [b'2', b'0', b'0', b' ' | b'\r' | b'\n', ..]);
        is_http_1 && is_200 && response.contains(&b'\n')
    }

    /// Returns the bytes after the complete interim responses.
    fn final_response(&self) -> &[u8] {
        let mut rest = &self.bytes[..];
        while matches!(rest, [b'H', b'T', b'T', b'P', b'/', b'1', b'.', _, b' ', b'1', ..])
            && let Some(end) = rest.windows(HEAD_END.len()).position(|window| window == HEAD_END)
        {
            rest = &rest[end + HEAD_END.len()..];
        }
        rest
    }
}
