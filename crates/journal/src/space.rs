//! Disk space: the folder's limit, when a message may be accepted, and when the file has to be compacted.

/// Part of the folder's limit that is kept free, because files occupy whole blocks and the folder itself may count too.
const RESERVED_BYTES: usize = 16 << 10;
/// Maximum share of the limit for a snapshot. A share of one half would leave room for the old and the new file
/// together, but none for a compacted file to grow before the next compaction.
const MAX_LIVE_SHARE: f64 = 0.42;

/// Divisor of the limit that gives the smallest gain for which a file is compacted beside another process.
const MIN_GAIN_DIVISOR: usize = 16;

/// The limit and the current use of the folder. It does no I/O; [`Journal`](crate::Journal) writes the file.
#[derive(Debug)]
pub struct DiskSpace {
    limit_bytes: usize,
    compaction_limit_bytes: usize,
    file_bytes: usize,
}

impl DiskSpace {
    /// Creates the state of a folder that may hold `limit_bytes` and holds a journal of `file_bytes`.
    pub fn new(limit_bytes: usize, file_bytes: usize) -> Self {
        DiskSpace { limit_bytes, compaction_limit_bytes: limit_bytes, file_bytes }
    }

    /// Returns whether a message of `message_bytes` may be accepted in addition to a snapshot of `live_bytes`.
    pub fn admits(&self, live_bytes: usize, message_bytes: usize) -> bool {
        ((live_bytes + message_bytes) as f64) < self.limit_bytes as f64 * MAX_LIVE_SHARE
    }

    /// Returns whether the file has to be compacted before `more_bytes` are appended, because afterwards there would be
    /// no room for the old and the new file together.
    pub fn needs_compaction(&self, live_bytes: usize, more_bytes: usize) -> bool {
        let file_bytes = self.file_bytes + more_bytes;
        let compacted_bytes = live_bytes + more_bytes;
        file_bytes + compacted_bytes + RESERVED_BYTES > self.limit_bytes
    }

    /// Returns whether there is room to compact the file now, which needs the old and the new file at the same time.
    pub fn can_compact(&self, live_bytes: usize) -> bool {
        self.file_bytes + live_bytes + RESERVED_BYTES / 2 <= self.compaction_limit_bytes
    }

    /// Returns whether a compaction would make the file smaller by a part of the limit that is worth its cost.
    pub fn is_compaction_worthwhile(&self, live_bytes: usize) -> bool {
        self.file_bytes >= live_bytes + self.limit_bytes / MIN_GAIN_DIVISOR
    }

    /// Returns whether there is room for an optional append of `more_bytes`. Half of `RESERVED_BYTES` stays free for
    /// appends that must be made.
    pub fn has_room_for(&self, more_bytes: usize) -> bool {
        self.file_bytes + more_bytes + RESERVED_BYTES / 2 <= self.limit_bytes
    }

    /// Sets the limit of the file and its compaction, and the limit of a compaction that takes place now. The second is
    /// higher while the file has more than its share and the space for its compaction is still reserved.
    pub fn set_limits(&mut self, limit_bytes: usize, compaction_limit_bytes: usize) {
        self.limit_bytes = limit_bytes;
        self.compaction_limit_bytes = compaction_limit_bytes;
    }

    /// Notes an append of `bytes` bytes.
    pub fn record_append(&mut self, bytes: usize) {
        self.file_bytes += bytes;
    }

    /// Sets the size of the file.
    pub fn set_file_bytes(&mut self, file_bytes: usize) {
        self.file_bytes = file_bytes;
    }
}

#[cfg(test)]
mod tests;
