//! The first bytes of a response, looked at as they come: whether it has begun, and whether its status line is complete.
//!
//! A response that breaks off after `200` in its status line still says that a single message was delivered.

use crate::write_progress::HEAD_END;
use tokio::time::Instant;

/// As much of a response is looked at. Interim responses (RFC 9110, section 15.2) in front of it are short.
const MAX_INSPECTED_BYTES: usize = 4 << 10;

/// What has come of a response. Interim responses in front of it do not count.
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

    /// When its first byte came.
    pub(crate) fn begun_at(&self) -> Option<Instant> {
        self.begun_at
    }

    /// Whether its status line is complete and says 200, whatever follows.
    pub(crate) fn says_delivered(&self) -> bool {
        let response = self.final_response();
        let is_http_1 = response.starts_with(b"HTTP/1.0 ") || response.starts_with(b"HTTP/1.1 ");
        let status = response.get(b"HTTP/1.x ".len()..).unwrap_or_default();
        let is_200 = matches!(status, [b'2', b'0', b'0', b' ' | b'\r' | b'\n', ..]);
        is_http_1 && is_200 && response.contains(&b'\n')
    }

    /// What has come after the complete interim responses.
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
