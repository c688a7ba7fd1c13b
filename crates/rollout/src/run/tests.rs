//! Tests of what only this module sees.

use super::*;
use crate::judge::OutcomeCounts;

fn process(pid: u32, success: u64) -> Result<Process, ForwarderError> {
    let ended = OutcomeCounts { success, ..OutcomeCounts::default() };
    Ok(Process { pid, reading: Metrics { outcomes: ended, latencies: None } })
}

// Guards against a death unseen because the counts of the process after it have passed those of the one before, or
// those at the stage's start; and against its messages counted twice or not at all.
#[test]
fn another_process_is_a_start_whatever_its_counts_are() {
    for after in [3, 12, 40] {
        let mut seen = Observation::default();
        [process(7, 0), process(7, 12), process(8, after)].into_iter().for_each(|now| seen.read("f", now));
        assert_eq!((seen.restarts, seen.since_start().outcomes.success), (1, 12 + after));
    }
    // The system may give the number out again.
    let mut seen = Observation::default();
    [process(7, 10), process(7, 12), process(7, 11)].into_iter().for_each(|now| seen.read("f", now));
    assert_eq!((seen.restarts, seen.since_start().outcomes.success), (1, 2 + 11));
    seen.read("f", process(7, 15));
    assert_eq!((seen.restarts, seen.since_start().outcomes.success), (1, 2 + 15));
}
