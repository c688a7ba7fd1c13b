//! Tests that a fleet keeps to shared limits, and that it does so without leaving the capacity unused.

use super::scenarios::*;
use super::virtual_fleet::{CallResult, SECOND, STEP, VirtualFleet, settings};
use super::*;
use orchidyoke_core::interface::{CapacityHints, Micros};

/// Returns the backoffs of sixty forwarders after four and after five refused connections in a row.
fn backoffs(settings: &Settings, seed: u64) -> Vec<Micros> {
    let settings = Settings { connect_timeout: SECOND, ..settings.clone() };
    let mut fleet = VirtualFleet::new(60, &settings, RECOVERY_RPS, |number| seed * 1000 + number);
    let refused = CallResult { outcome: Outcome::ConnectFailed, latency: STEP, retry_after: 0 };
    fleet.run(110 * SECOND, RECOVERY_RPS, |_| refused);
    let of = |number| {
        let times: Vec<_> =
            fleet.calls.iter().filter(|call| call.forwarder == number).map(|call| call.at).collect();
        times.windows(2).skip(3).take(2).map(|two| two[1] - two[0]).collect::<Vec<_>>()
    };
    (0..60).flat_map(of).collect()
}

// Guards against behaviour that is harmless for one forwarder and harmful for a hundred: concurrency limits at their
// minimum that still exceed a shared limit, permits that accumulate, retries at the same moment, backoffs that double
// beyond what the limit needs, and the overload of a cold destination. A fleet whose forwarders know nothing of each
// other must exceed each limit.
#[test]
fn fleet_keeps_to_a_shared_limit_that_single_forwarders_exceed() {
    for (case, seed) in CASES.iter().zip(1..) {
        let (all, alone) = (settings(FORWARDERS), settings(1));
        for seed in [seed, seed + 10] {
            let figure = (case.measure)(&all, seed);
            assert!(figure <= case.limit, "{}: {figure:.2}, seed {seed}", case.label);
        }
        let worse = (case.measure)(&alone, seed);
        assert!(worse > case.limit, "{}: {worse:.2} with a fleet size of 1", case.label);
    }
}

// Guards against a fleet that keeps to a limit by sending too little.
#[test]
fn fleet_uses_the_capacity_that_a_shared_limit_leaves() {
    let fleet_settings = settings(FORWARDERS);
    for seed in 0..3 {
        assert!(rate_of(&overload(&fleet_settings, 1.3, seed), Outcome::Success) > 0.75 * LIMIT_RPS);
        let underloaded = overload(&fleet_settings, 0.6, seed);
        let served = underloaded.count_ended(Outcome::Success);
        assert!(served as f64 > 0.92 * underloaded.accepted() as f64, "the capacity is sufficient");
        let unknown =
            overload(&Settings { capacity_hints: CapacityHints::None, ..fleet_settings.clone() }, 1.3, seed);
        assert!(
            rate_of(&unknown, Outcome::Rejected) > 0.4 * LIMIT_RPS,
            "without a capacity hint no forwarder has a share to keep to"
        );
        let started = calls_of_first_second(&fleet_settings, 0, |number| seed * 1000 + number);
        assert!(started >= LIMIT_RPS as usize / 2);
        let paused = calls_of_first_second(&fleet_settings, 60 * SECOND, |number| seed * 1000 + number);
        assert!((100..=110).contains(&paused), "{paused}: each makes one call, and few make a second one");
        let wide_settings = Settings { max_calls: 8, ..fleet_settings.clone() };
        let calls = common_retry_after(FORWARDERS, &wide_settings, seed);
        assert_eq!(
            (calls.before, calls.second_after),
            (0, 100),
            "all forwarders observe Retry-After and call again after it"
        );
        let backoffs = backoffs(&fleet_settings, seed);
        assert!(backoffs.iter().all(|backoff| *backoff <= 21 * SECOND), "no longer than the limit needs");
        assert!(
            backoffs.iter().any(|backoff| *backoff < 3 * SECOND)
                && backoffs.iter().any(|backoff| *backoff > 8 * SECOND)
        );
    }
    for (fault, outage_s) in [(Outcome::ConnectFailed, 12), (Outcome::Reset, 12), (Outcome::Rejected, 15)] {
        let Recovery { peak_use, served_when_warm } =
            cold_recovery(&fleet_settings, fault, outage_s * SECOND, 4);
        assert!(
            peak_use <= 1.0 && served_when_warm >= 400,
            "{fault:?}: peak use {peak_use:.2}, {served_when_warm} of 540 served when warm"
        );
    }
    // A single forwarder retries at the end of Retry-After. With the same seed, all forwarders act at the same moment.
    let alone = common_retry_after(1, &Settings { max_calls: 8, ..settings(1) }, 0);
    assert_eq!([alone.before, alone.at_end, alone.second_after], [0, 1, 1]);
    let in_step: Vec<_> = (0..20).map(|seed| calls_of_first_second(&fleet_settings, 0, |_| seed)).collect();
    assert!(in_step.iter().any(|calls| *calls >= 100) && in_step.contains(&0));
}
