//! Space: what the folder may hold.

/// Kept free of the folder's limit: files count in whole blocks, and folders may count too.
const RESERVED_BYTES: usize = 16 << 10;
/// Part of the limit that what still counts may take up, so that a rewritten file has room to grow.
const MAX_LIVE_SHARE: f64 = 0.42;

/// What the folder may hold and what is in it. It decides; [`Journal`](crate::Journal) writes.
#[derive(Debug)]
pub struct DiskSpace {
    limit_bytes: usize,
    file_bytes: usize,
}

impl DiskSpace {
    /// A folder of so many bytes, with a journal of `file` bytes in it.
    pub fn new(limit: usize, file: usize) -> Self {
        DiskSpace { limit_bytes: limit, file_bytes: file }
    }

    /// Whether a message whose record takes up `cost` may still be taken on beside what counts already.
    pub fn admits(&self, live: usize, cost: usize) -> bool {
        ((live + cost) as f64) < self.limit_bytes as f64 * MAX_LIVE_SHARE
    }

    /// Whether the file has to be rewritten before `more` bytes go in: later there would be no room for both.
    pub fn needs_compaction(&self, live: usize, more: usize) -> bool {
        self.file_bytes + more + live + more + RESERVED_BYTES > self.limit_bytes
    }

    /// Whether the file can be rewritten as it is now, the old and the new beside each other.
    pub fn can_compact(&self, live: usize) -> bool {
        self.file_bytes + live + RESERVED_BYTES / 2 <= self.limit_bytes
    }

    /// Whether so many bytes may go in that need not: the rest of the slack is for what has to.
    pub fn has_room_for(&self, more: usize) -> bool {
        self.file_bytes + more + RESERVED_BYTES / 2 <= self.limit_bytes
    }

    /// The folder may hold so many bytes from now on.
    pub fn set_limit(&mut self, limit: usize) {
        self.limit_bytes = limit;
    }

    /// So many bytes went in.
    pub fn record_append(&mut self, by: usize) {
        self.file_bytes += by;
    }

    /// So many bytes are in the file.
    pub fn set_file_bytes(&mut self, size: usize) {
        self.file_bytes = size;
    }
}

#[cfg(test)]
mod tests;
