//! Lists out of a stream of bytes, however the stream is cut into frames. No socket is here.

use orchidyoke_core::endpoint_list::{ListError, MAX_ENTRIES, MAX_LIST_BYTES, WatchEvent, parse_list};

/// A buffer that has grown beyond this is given back once its list has been read.
const KEPT_CAPACITY: usize = 64 << 10;
/// Brackets that are open around an entry: those of its list, and of the entries.
const ENTRY_DEPTH: usize = 2;

/// Where the reader stands within the text of a list.
#[derive(Clone, Copy, Debug, Default)]
struct Position {
    /// Brackets that are open; none between two lists.
    depth: usize,
    in_string: bool,
    /// The byte before was a backslash within a string.
    escaped: bool,
    /// Objects at the depth of entries so far.
    entries: usize,
}

impl Position {
    /// Goes past one byte; whether a list ends with it.
    fn pass(&mut self, byte: u8) -> bool {
        if self.in_string {
            self.pass_in_string(byte);
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

    fn pass_in_string(&mut self, byte: u8) {
        if std::mem::take(&mut self.escaped) {
            return;
        }
        match byte {
            b'\\' => self.escaped = true,
            b'"' => self.in_string = false,
            _ => {}
        }
    }
}

/// Puts lists together from the frames in which they come. Each byte is looked at once for where its list ends, and
/// parsed once with its whole list, into however many frames it was cut.
#[derive(Debug, Default)]
pub struct ListReader {
    /// The part of a list that has come.
    buffer: Vec<u8>,
    position: Position,
    parsed_bytes: usize,
}

impl ListReader {
    /// Takes in a frame and hands on each list that ends in it, on however many lines it is. Blank lines between lists
    /// only say that there is no news. Tells whether anything whole has come, be it a blank line.
    ///
    /// # Errors
    ///
    /// What comes is no list, or one beyond the bounds. Nothing of that list was handed on.
    pub fn read_frame(
        &mut self,
        frame: &[u8],
        mut hand_on: impl FnMut(WatchEvent),
    ) -> Result<bool, ListError> {
        let mut came_whole = false;
        let mut rest = frame;
        loop {
            if self.position.depth == 0 {
                let list = rest.trim_ascii_start();
                came_whole |= list.len() < rest.len();
                rest = list;
                match rest.first() {
                    None => return Ok(came_whole),
                    Some(b'{' | b'[') => {}
                    // No list begins so: parsing says what is wrong.
                    Some(_) => return parse_list(&rest[..1]).map(|_| came_whole),
                }
            }
            let Some(end) = self.find_end(rest)? else {
                self.buffer.extend_from_slice(rest);
                return Ok(came_whole);
            };
            let (list, after) = rest.split_at(end);
            hand_on(self.parse(list)?);
            came_whole = true;
            rest = after;
        }
    }

    /// Bytes of a list that has begun and not yet ended.
    pub fn unfinished_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Bytes that were given to the parser so far.
    pub fn parsed_bytes(&self) -> usize {
        self.parsed_bytes
    }

    /// Looks for the end of the list that has begun; gives the bytes up to it.
    fn find_end(&mut self, bytes: &[u8]) -> Result<Option<usize>, ListError> {
        let end = bytes.iter().position(|byte| self.position.pass(*byte)).map(|last| last + 1);
        if self.buffer.len() + end.unwrap_or(bytes.len()) > MAX_LIST_BYTES {
            return Err(ListError::TooLarge);
        }
        if self.position.entries > MAX_ENTRIES {
            return Err(ListError::TooManyEntries);
        }
        Ok(end)
    }

    /// Parses the list that ends with these bytes.
    fn parse(&mut self, last: &[u8]) -> Result<WatchEvent, ListError> {
        self.position = Position::default();
        if self.buffer.is_empty() {
            self.parsed_bytes += last.len();
            return parse_list(last);
        }
        self.buffer.extend_from_slice(last);
        self.parsed_bytes += self.buffer.len();
        let news = parse_list(&self.buffer);
        if self.buffer.capacity() > KEPT_CAPACITY {
            self.buffer = Vec::new();
        }
        self.buffer.clear();
        news
    }
}
