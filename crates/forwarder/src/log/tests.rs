use super::*;
use std::time::Duration;

// Guards against a log whose size is not bounded when many errors occur.
#[test]
fn lines_beyond_the_rate_are_dropped_and_counted() {
    let start = Instant::now();
    let mut bucket = LineBucket { available: MAX_BURST_LINES, filled_at: None, dropped: 0 };
    let written = (0..1000).filter(|_| bucket.take(start).is_some()).count();
    assert_eq!(written, MAX_BURST_LINES as usize);
    assert_eq!(bucket.take(start + Duration::from_secs(1)), Some(1000 - MAX_BURST_LINES as u64));
}
