//! Splits a stream of bytes into endpoint lists, whatever the boundaries of its frames. This module uses no sockets.
//!
//! The watch on discovery uses it. The reader scans each byte once for the end of its list and parses each list once,
//! so that the cost of a large list does not depend on the number of frames.

use orchidyoke_core::endpoint_list::{ListError, MAX_ENTRIES, MAX_LIST_BYTES, WatchEvent, parse_list};

/// Largest capacity of a buffer that is kept for the next list, in bytes. A larger buffer is freed once its list has
/// been read.
const MAX_KEPT_BUFFER_BYTES: usize = 64 << 10;
/// Number of open brackets around an entry: the bracket of the list and the bracket of its entries.
const ENTRY_DEPTH: usize = 2;

/// State of the scan for the end of a list.
#[derive(Clone, Copy, Debug, Default)]
struct ScanState {
    /// Number of open brackets; 0 between two lists.
    depth: usize,
    in_string: bool,
    /// Whether the last byte was an escaping backslash within a string.
    is_escaped: bool,
    /// Number of objects so far at the depth of entries.
    entries: usize,
}

impl ScanState {
    /// Scans one byte and returns whether a list ends with it.
    fn scan(&mut self, byte: u8) -> bool {
        if self.in_string {
            self.scan_in_string(byte);
            return false;
        }
        match byte {
            b'"' => self.in_string = true,
            b'{' | b'[' => {
                self.entries += usize::from(byte == b'{' && self.depth == ENTRY_DEPTH);
                self.depth += 1;
            }
            b'}' | b']' => {
                self.depth -= 1;
                return self.depth == 0;
            }
            _ => {}
        }
        false
    }

    fn scan_in_string(&mut self, byte: u8) {
        if std::mem::take(&mut self.is_escaped) {
            return;
        }
        match byte {
            b'\\' => self.is_escaped = true,
            b'"' => self.in_string = false,
            _ => {}
        }
    }
}

/// Reads endpoint lists from the frames of a stream.
#[derive(Debug, Default)]
pub struct ListReader {
    /// The part of an unfinished list that has arrived.
    buffer: Vec<u8>,
    scan: ScanState,
    parsed_bytes: usize,
}

impl ListReader {
    /// Reads a frame and passes each list that ends in it to `on_event`. Blanks between lists mean no change. Returns
    /// whether the frame completed a list or contained a blank between lists.
    ///
    /// # Errors
    ///
    /// Returns an error if the stream contains an invalid list or a list beyond the limits. That list is not passed to
    /// `on_event`.
    pub fn read_frame(
        &mut self,
        frame: &[u8],
        mut on_event: impl FnMut(WatchEvent),
    ) -> Result<bool, ListError> {
        let mut is_message_complete = false;
        let mut rest = frame;
        loop {
            if self.scan.depth == 0 {
                let list = rest.trim_ascii_start();
                is_message_complete |= list.len() < rest.len();
                rest = list;
                match rest.first() {
                    None => return Ok(is_message_complete),
                    Some(b'{' | b'[') => {}
                    // No list begins with this byte; parsing it returns the error.
                    Some(_) => return parse_list(&rest[..1]).map(|_| is_message_complete),
                }
            }
            let Some(end) = self.find_end(rest)? else {
                self.buffer.extend_from_slice(rest);
                return Ok(is_message_complete);
            };
            let (list, after) = rest.split_at(end);
            on_event(self.parse(list)?);
            is_message_complete = true;
            rest = after;
        }
    }

    /// Returns the number of bytes of the unfinished list that have arrived.
    pub fn unfinished_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Returns the number of bytes that have been parsed so far.
    pub fn parsed_bytes(&self) -> usize {
        self.parsed_bytes
    }

    /// Returns the number of bytes up to the end of the current list; `None` if the list does not end in these bytes.
    fn find_end(&mut self, bytes: &[u8]) -> Result<Option<usize>, ListError> {
        let end = bytes.iter().position(|byte| self.scan.scan(*byte)).map(|last| last + 1);
        if self.buffer.len() + end.unwrap_or(bytes.len()) > MAX_LIST_BYTES {
            return Err(ListError::TooLarge);
        }
        if self.scan.entries > MAX_ENTRIES {
            return Err(ListError::TooManyEntries);
        }
        Ok(end)
    }

    /// Parses the list that ends with these bytes.
    fn parse(&mut self, last: &[u8]) -> Result<WatchEvent, ListError> {
        self.scan = ScanState::default();
        if self.buffer.is_empty() {
            self.parsed_bytes += last.len();
            return parse_list(last);
        }
        self.buffer.extend_from_slice(last);
        self.parsed_bytes += self.buffer.len();
        let event = parse_list(&self.buffer);
        if self.buffer.capacity() > MAX_KEPT_BUFFER_BYTES {
            self.buffer = Vec::new();
        }
        self.buffer.clear();
        event
    }
}
