//! Backoff between calls to discovery: the load of a fleet that loses discovery at one moment, and its time to recover.

use orchidyoke_core::interface::Micros;
use orchidyoke_forwarder::backoff::Backoff;
use std::collections::{BTreeSet, VecDeque};

const SECOND: Micros = 1_000_000;
const FLEET: usize = 100;
/// Duration of the outage of discovery.
const DOWN: Micros = 20 * SECOND;
/// Time that discovery needs for one call after the outage; a fleet of 100 needs this rate to be served within 6 s.
const SERVICE: Micros = SECOND / 16;
/// Most calls that wait in discovery; further ones are refused.
const ROOM: usize = 18;
/// Time after which discovery closes a call that waits.
const PATIENCE: Micros = 2 * SECOND;
/// Longest time from the start of one call to the start of the next.
const MOST: Micros = 5 * SECOND;

/// The result of simulating a fleet.
#[derive(Debug)]
struct Played {
    /// Number of calls in the busiest second of the outage, after its first 8 s, when all have failed a few times.
    busiest: usize,
    /// Longest time between the starts of two calls of one forwarder.
    longest: Micros,
    /// Time when the last forwarder is served.
    last: Micros,
}

/// Simulates a fleet until each forwarder is served. `pause` returns the delay before the next call of a forwarder,
/// from its number, its number of consecutive failures and the duration of its last call.
fn play(mut pause: impl FnMut(usize, u32, Micros) -> Micros) -> Played {
    let mut asks: BTreeSet<(Micros, usize)> = (0..FLEET).map(|who| (pause(who, 0, 0), who)).collect();
    let (mut failures, mut asked) = ([1; FLEET], [None; FLEET]);
    let (mut queue, mut free_at) = (VecDeque::<Micros>::new(), 0);
    let mut seconds = vec![0; (DOWN / SECOND) as usize];
    let mut played = Played { busiest: 0, longest: 0, last: 0 };
    let mut served = 0;
    while served < FLEET {
        let (now, who) = asks.pop_first().expect("each forwarder calls until it is served");
        if let Some(before) = asked[who].replace(now) {
            played.longest = played.longest.max(now - before);
        }
        seconds.get_mut((now / SECOND) as usize).into_iter().for_each(|calls| *calls += 1);
        while queue.front().is_some_and(|ends| *ends <= now) {
            queue.pop_front();
        }
        let ends = free_at.max(now) + SERVICE;
        let ended = if now < DOWN || queue.len() >= ROOM {
            now
        } else {
            queue.push_back(ends);
            free_at = ends;
            if ends - now <= PATIENCE {
                (served, played.last) = (served + 1, ends);
                continue;
            }
            now + PATIENCE
        };
        asks.insert((ended + pause(who, failures[who], ended - now), who));
        failures[who] += 1;
    }
    played.busiest = seconds[8..].iter().copied().max().unwrap_or_default();
    played
}

// Guards against a fleet that loses discovery at one moment and overloads it during the outage, and against delays so
// long that a forwarder misses a change that is already binding. At most 5 s may pass between two calls, and all
// forwarders must be served within 12 s after the outage.
#[test]
fn fleet_disconnected_together_recovers_its_list_in_time() {
    for seed in 0..10 {
        let mut fleet: Vec<_> =
            (0..FLEET as u64).map(|who| Backoff::new(4 * SECOND, seed * 1000 + who)).collect();
        let played = play(|who, _, took| fleet[who].next_delay(MOST - took));
        assert!(played.busiest <= 45 && played.longest <= MOST, "seed {seed}: {played:?}");
        assert!(played.last <= DOWN + 12 * SECOND, "seed {seed}: {played:?}");
    }
    // Backoffs without a part of the algorithm must do worse: a fixed delay, doubling without jitter, and no cap.
    let fixed = play(|_, _, _| SECOND / 4);
    let in_step = play(|_, failures, took| ((SECOND / 4) << failures.min(7)).min(MOST - took));
    let endless = play(|_, failures, _| (SECOND / 4) << failures.min(7));
    assert!(
        fixed.busiest > 300 && in_step.busiest > 90 && endless.longest > 2 * MOST,
        "{fixed:?} {in_step:?} {endless:?}"
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
    let mut odd = Backoff::new(Micros::MAX, 1);
    assert!((0..100).all(|_| odd.next_delay(0) == 0 && odd.next_delay(-5) == 0));
}
