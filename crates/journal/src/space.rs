//! Disk space: what the folder may hold, when a message may be accepted, and when the file has to be compacted.

/// Kept free of the folder's limit: files count in whole blocks, and folders may count too.
const RESERVED_BYTES: usize = 16 << 10;
/// Part of the limit that a snapshot may take up. Half would leave room for the old and the new file beside each other and
/// none for a compacted file to grow before it is compacted again.
const MAX_LIVE_SHARE: f64 = 0.42;

/// What the folder may hold and what is in it. It decides; [`Journal`](crate::Journal) writes.
#[derive(Debug)]
pub struct DiskSpace {
    limit_bytes: usize,
    file_bytes: usize,
}

impl DiskSpace {
    /// A folder that may hold `limit_bytes`, with a journal of `file_bytes` in it.
    pub fn new(limit_bytes: usize, file_bytes: usize) -> Self {
        DiskSpace { limit_bytes, file_bytes }
    }

    /// Whether a message of `message_bytes` may be accepted beside a snapshot of `live_bytes`.
    pub fn admits(&self, live_bytes: usize, message_bytes: usize) -> bool {
        ((live_bytes + message_bytes) as f64) < self.limit_bytes as f64 * MAX_LIVE_SHARE
    }

    /// Whether the file has to be compacted before `more_bytes` go in: later there would be no room for the old and the new.
    pub fn needs_compaction(&self, live_bytes: usize, more_bytes: usize) -> bool {
        let file_bytes = self.file_bytes + more_bytes;
        let compacted_bytes = live_bytes + more_bytes;
        file_bytes + compacted_bytes + RESERVED_BYTES > self.limit_bytes
    }

    /// Whether the file can be compacted as it is now, the old and the new beside each other.
    pub fn can_compact(&self, live_bytes: usize) -> bool {
        self.file_bytes + live_bytes + RESERVED_BYTES / 2 <= self.limit_bytes
    }

    /// Whether `more_bytes` may go in that need not: the other half of the reserve is for what has to.
    pub fn has_room_for(&self, more_bytes: usize) -> bool {
        self.file_bytes + more_bytes + RESERVED_BYTES / 2 <= self.limit_bytes
    }

    /// The folder may hold so many bytes from now on.
    pub fn set_limit(&mut self, limit_bytes: usize) {
        self.limit_bytes = limit_bytes;
    }

    /// So many bytes were appended.
    pub fn record_append(&mut self, bytes: usize) {
        self.file_bytes += bytes;
    }

    /// So many bytes are in the file.
    pub fn set_file_bytes(&mut self, file_bytes: usize) {
        self.file_bytes = file_bytes;
    }
}

#[cfg(test)]
mod tests;
