//! Pauses between tries of something that many forwarders may lose in the same moment.

use orchidyoke_core::dice::Dice;
use orchidyoke_core::interface::Micros;

/// Capped exponential back-off with full jitter: each pause is drawn between nothing and a bound that doubles with
/// each failure in a row. Forwarders that failed together do not come back together, and the longer it lasts the
/// less they ask.
#[derive(Debug)]
pub struct Backoff {
    dice: Dice,
    first: Micros,
    most: Micros,
    failures: u32,
}

impl Backoff {
    /// The first bound and the last, with chance from `seed`.
    pub fn new(first: Micros, most: Micros, seed: u64) -> Self {
        Backoff { dice: Dice::new(seed), first, most: most.max(first), failures: 0 }
    }

    /// Other bounds.
    pub fn bound(&mut self, first: Micros, most: Micros) {
        (self.first, self.most) = (first, most.max(first));
    }

    /// After a failure: how long to wait.
    pub fn pause(&mut self) -> Micros {
        let bound = self.first.saturating_mul(1 << self.failures.min(30)).min(self.most);
        self.failures += 1;
        self.within(bound)
    }

    /// A span between nothing and the bound.
    pub fn within(&mut self, bound: Micros) -> Micros {
        (bound as f64 * self.dice.part()) as Micros
    }

    /// After a success: the next failure is the first again.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::collections::{BTreeSet, VecDeque};

    const SECOND: Micros = 1_000_000;
    /// Discovery takes so long for a call, has room for so many, and closes one that has waited for so long.
    const SERVICE: Micros = SECOND / 6;
    const ROOM: usize = 18;
    const PATIENCE: Micros = 2 * SECOND;

    /// How many of a hundred that lost their watch in the same moment have it again after half a minute. Discovery
    /// serves in order of arrival, also those that have gone meanwhile.
    fn back_after_half_a_minute(mut pause: impl FnMut(usize, u32) -> Micros) -> usize {
        let mut asks: BTreeSet<(Micros, usize)> = (0..100).map(|who| (pause(who, 0), who)).collect();
        let (mut failures, mut queue) = ([1; 100], VecDeque::<Micros>::new());
        let (mut free_at, mut back) = (0, 0);
        while let Some((now, who)) = asks.pop_first().filter(|(at, _)| *at < 30 * SECOND) {
            while queue.front().is_some_and(|ends| *ends <= now) {
                queue.pop_front();
            }
            let ends = free_at.max(now) + SERVICE;
            let ended = if queue.len() >= ROOM {
                now
            } else {
                queue.push_back(ends);
                free_at = ends;
                if ends - now <= PATIENCE {
                    back += 1;
                    continue;
                }
                now + PATIENCE
            };
            asks.insert((ended + pause(who, failures[who]), who));
            failures[who] += 1;
        }
        back
    }

    // Guards against a fleet that loses discovery in one moment and, by asking again, keeps it too busy to answer
    // any of them in time.
    #[test]
    fn a_fleet_cut_off_together_finds_its_list_again() {
        let mut all = 0;
        for seed in 0..10 {
            let first = 100 * SECOND / 20;
            let new = |who: u64| Backoff::new(first, 40 * SECOND, seed * 1000 + who);
            let mut fleet: Vec<_> = (0..100).map(new).collect();
            let back = back_after_half_a_minute(|who, _| fleet[who].pause());
            assert!(back >= 35, "only {back} of 100");
            all += back;
        }
        // Without its parts it must be worse: a fixed pause, and bounds that double with nothing drawn.
        let fixed = back_after_half_a_minute(|_, _| SECOND / 4);
        let in_step = back_after_half_a_minute(|_, failures| (SECOND / 4) << failures.min(7));
        assert!(fixed <= 15 && all > 10 * in_step, "{fixed}, {all} in ten runs, {in_step} of 100");
    }

    // Guards against a bound that overflows or a pause beyond the last one, and failures that are never forgotten.
    #[test]
    fn pauses_stay_within_bounds_that_double_until_the_last() {
        let mut backoff = Backoff::new(100, 1000, 1);
        for bound in [100, 200, 400, 800, 1000, 1000].into_iter().chain([1000; 100]) {
            assert!((0..=bound).contains(&backoff.pause()));
        }
        backoff.reset();
        assert!(backoff.pause() <= 100);
        let mut odd = Backoff::new(Micros::MAX, 0, 1);
        assert!((0..100).all(|_| odd.pause() >= 0));
    }
}
