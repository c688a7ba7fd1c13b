//! Pauses between calls for the list: what a fleet that lost discovery in one moment does to it, and when it is back.

use orchidyoke_core::interface::Micros;
use orchidyoke_forwarder::backoff::Backoff;
use std::collections::{BTreeSet, VecDeque};

const SECOND: Micros = 1_000_000;
const FLEET: usize = 100;
/// Discovery is down for so long.
const DOWN: Micros = 20 * SECOND;
/// Then it takes so long for a call, which is what a fleet of a hundred needs to be told within 6 s; it has room for so
/// many, and closes one that has waited for so long.
const SERVICE: Micros = SECOND / 16;
const ROOM: usize = 18;
const PATIENCE: Micros = 2 * SECOND;
/// From the start of one call to the next.
const MOST: Micros = 5 * SECOND;

/// What a fleet does: calls in the busiest second of the outage once all have failed a few times, the longest time
/// between the starts of two calls of one, and when the last one is served.
#[derive(Debug)]
struct Played {
    busiest: usize,
    longest: Micros,
    last: Micros,
}

/// `pause` says how long one waits after a call that took so long, and which failure in a row it was.
fn play(mut pause: impl FnMut(usize, u32, Micros) -> Micros) -> Played {
    let mut asks: BTreeSet<(Micros, usize)> = (0..FLEET).map(|who| (pause(who, 0, 0), who)).collect();
    let (mut failures, mut asked) = ([1; FLEET], [None; FLEET]);
    let (mut queue, mut free_at) = (VecDeque::<Micros>::new(), 0);
    let mut seconds = vec![0; (DOWN / SECOND) as usize];
    let mut played = Played { busiest: 0, longest: 0, last: 0 };
    let mut served = 0;
    while served < FLEET {
        let (now, who) = asks.pop_first().expect("each asks until it is served");
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

// Guards against a fleet that loses discovery in one moment and floods it while it is down, or stays away for so long
// that a change binds before it is heard: from one call to the next 5 s at most, and all back soon.
#[test]
fn fleet_disconnected_together_recovers_its_list_in_time() {
    for seed in 0..10 {
        let mut fleet: Vec<_> =
            (0..FLEET as u64).map(|who| Backoff::new(4 * SECOND, seed * 1000 + who)).collect();
        let played = play(|who, _, took| fleet[who].next_delay(MOST - took));
        assert!(played.busiest <= 45 && played.longest <= MOST, "seed {seed}: {played:?}");
        assert!(played.last <= DOWN + 12 * SECOND, "seed {seed}: {played:?}");
    }
    // Without its parts it must be worse: a fixed pause, bounds that double with nothing drawn, and no end to them.
    let fixed = play(|_, _, _| SECOND / 4);
    let in_step = play(|_, failures, took| ((SECOND / 4) << failures.min(7)).min(MOST - took));
    let endless = play(|_, failures, _| (SECOND / 4) << failures.min(7));
    assert!(
        fixed.busiest > 300 && in_step.busiest > 90 && endless.longest > 2 * MOST,
        "{fixed:?} {in_step:?} {endless:?}"
    );
}

// Guards against a bound that overflows or a pause beyond what it may be, and failures that are never forgotten.
#[test]
fn delays_stay_within_bounds_that_double_up_to_the_cap() {
    let mut backoff = Backoff::new(100, 1);
    for bound in [100, 200, 400, 800] {
        assert!((0..=bound).contains(&backoff.next_delay(1000)));
    }
    for _ in 0..100 {
        assert!((500..=1000).contains(&backoff.next_delay(1000)), "from the upper half");
    }
    backoff.reset();
    assert!(backoff.next_delay(1000) <= 100);
    let mut odd = Backoff::new(Micros::MAX, 1);
    assert!((0..100).all(|_| odd.next_delay(0) == 0 && odd.next_delay(-5) == 0));
}
