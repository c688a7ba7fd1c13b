//! Protects the limit of the folder's size.

use super::*;

// Guards against a folder that exceeds its limit. The old and the new file together must stay within it at any time.
#[test]
fn old_and_compacted_file_together_stay_within_the_limit() {
    let limit = 1 << 20;
    let mut space = DiskSpace::new(limit, 0);
    let mut sizes = Vec::new();
    for turn in 0..2000usize {
        let cost = 100 + turn * 7919 % 60_000;
        let live: usize = sizes.iter().sum();
        if space.admits(live, cost) {
            if space.needs_compaction(live, cost) {
                assert!(space.file_bytes + live + RESERVED_BYTES <= limit, "turn {turn}");
                space.set_file_bytes(live);
            }
            space.record_append(cost);
            sizes.push(cost);
        } else {
            sizes.remove(turn % sizes.len());
        }
        assert!(space.file_bytes + RESERVED_BYTES <= limit, "turn {turn}");
    }
}
