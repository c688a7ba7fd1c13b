//! Backoff between calls to discovery: the load of a fleet that loses discovery at one moment, and its time to recover.

use orchidyoke_core::interface::Micros;
use orchidyoke_forwarder::backoff::Backoff;
use std::collections::{BTreeSet, VecDeque};

const SECOND: Micros = 1_000_000;
const FLEET_SIZE: usize = 100;
/// Duration of the outage of discovery.
const OUTAGE: Micros = 20 * SECOND;
/// Time that discovery needs for one call after the outage; a fleet of 100 needs this rate to be served within 6 s.
const SERVICE_TIME: Micros = SECOND / 16;
/// Most calls that wait in discovery; further ones are refused.
const QUEUE_CAPACITY: usize = 18;
/// Time after which discovery closes a call that waits.
const QUEUE_TIMEOUT: Micros = 2 * SECOND;
/// Longest time from the start of one call to the start of the next.
const MAX_INTERVAL: Micros = 5 * SECOND;

/// The result of simulating a fleet.
#[derive(Debug)]
struct SimulationResult {
    /// Number of calls in the busiest second of the outage, after its first 8 s, when all have failed a few times.
    max_calls_per_second: usize,
    /// Longest time between the starts of two calls of one forwarder.
    longest_interval: Micros,
    /// Time when the last forwarder is served.
    recovered_at: Micros,
}

/// Simulates a fleet until each forwarder is served. `delay_after` returns the delay before the next call of a
/// forwarder, from its number, its number of consecutive failures and the duration of its last call.
fn simulate_fleet(mut delay_after: impl FnMut(usize, u32, Micros) -> Micros) -> SimulationResult {
    let mut pending_calls: BTreeSet<(Micros, usize)> =
        (0..FLEET_SIZE).map(|forwarder| (delay_after(forwarder, 0, 0), forwarder)).collect();
    let (mut failures, mut last_call_at) = ([1; FLEET_SIZE], [None; FLEET_SIZE]);
    let (mut queue, mut free_at) = (VecDeque::<Micros>::new(), 0);
    let mut seconds = vec![0; (OUTAGE / SECOND) as usize];
    let mut result = SimulationResult { max_calls_per_second: 0, longest_interval: 0, recovered_at: 0 };
    let mut served = 0;
    while served < FLEET_SIZE {
        let (now, forwarder) = pending_calls.pop_first().expect("each forwarder calls until it is served");
        if let Some(before) = last_call_at[forwarder].replace(now) {
            result.longest_interval = result.longest_interval.max(now - before);
        }
        seconds.get_mut((now / SECOND) as usize).into_iter().for_each(|calls| *calls += 1);
        while queue.front().is_some_and(|done_at| *done_at <= now) {
            queue.pop_front();
        }
        let done_at = free_at.max(now) + SERVICE_TIME;
        let ended = if now < OUTAGE || queue.len() >= QUEUE_CAPACITY {
            now
        } else {
            queue.push_back(done_at);
            free_at = done_at;
            if done_at - now <= QUEUE_TIMEOUT {
                (served, result.recovered_at) = (served + 1, done_at);
                continue;
            }
            now + QUEUE_TIMEOUT
        };
        pending_calls.insert((ended + delay_after(forwarder, failures[forwarder], ended - now), forwarder));
        failures[forwarder] += 1;
    }
    result.max_calls_per_second = seconds[8..].iter().copied().max().unwrap_or_default();
    result
}

// Guards against a fleet that loses discovery at one moment and overloads it during the outage, and against delays so
// long that a forwarder applies a change of the list too late. At most 5 s may pass between two calls, and all
// forwarders must be served within 12 s after the outage.
#[test]
fn fleet_recovers_in_time_after_losing_discovery() {
    for seed in 0..10 {
        let mut backoffs: Vec<_> = (0..FLEET_SIZE as u64)
            .map(|forwarder| Backoff::new(4 * SECOND, seed * 1000 + forwarder))
            .collect();
        let result =
            simulate_fleet(|forwarder, _, duration| backoffs[forwarder].next_delay(MAX_INTERVAL - duration));
        assert!(
            result.max_calls_per_second <= 45 && result.longest_interval <= MAX_INTERVAL,
            "seed {seed}: {result:?}"
        );
        assert!(result.recovered_at <= OUTAGE + 12 * SECOND, "seed {seed}: {result:?}");
    }
    // Backoffs that lack a part of the algorithm must fail these bounds: a fixed delay, doubling without jitter, and no
    // cap.
    let fixed_delay = simulate_fleet(|_, _, _| SECOND / 4);
    let without_jitter = simulate_fleet(|_, failures, duration| {
        ((SECOND / 4) << failures.min(7)).min(MAX_INTERVAL - duration)
    });
    let uncapped = simulate_fleet(|_, failures, _| (SECOND / 4) << failures.min(7));
    assert!(
        fixed_delay.max_calls_per_second > 300
            && without_jitter.max_calls_per_second > 90
            && uncapped.longest_interval > 2 * MAX_INTERVAL,
        "{fixed_delay:?} {without_jitter:?} {uncapped:?}"
    );
}

// Guards against a bound that overflows, a delay above the cap, and a count of failures that a success does not reset.
#[test]
fn delays_stay_within_bounds_that_double_up_to_the_cap() {
    let mut backoff = Backoff::new(100, 1);
    for bound in [100, 200, 400, 800] {
        assert!((0..=bound).contains(&backoff.next_delay(1000)));
    }
    for _ in 0..100 {
        assert!((500..=1000).contains(&backoff.next_delay(1000)), "drawn from the upper half");
    }
    backoff.reset();
    assert!(backoff.next_delay(1000) <= 100);
    let mut longest_backoff = Backoff::new(Micros::MAX, 1);
    assert!((0..100).all(|_| longest_backoff.next_delay(0) == 0 && longest_backoff.next_delay(-5) == 0));
}
