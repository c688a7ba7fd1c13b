use super::*;

const SECOND: Micros = 1_000_000;

fn settings(fleet_size: u32) -> Settings {
    Settings { fleet_size, ..Settings::default() }
}

#[test]
fn share_below_one_call_in_flight_needs_pacing() {
    assert!(is_needed(1.9, 500_000.0, &settings(100)));
    assert!(!is_needed(2.0, 500_000.0, &settings(100)));
}

#[test]
fn single_forwarder_is_never_paced() {
    assert!(!is_needed(0.001, 1.0, &settings(1)));
}

#[test]
fn small_fleet_may_use_several_shares() {
    assert_eq!(max_multiple(&settings(8)), 2.0);
    assert_eq!(max_multiple(&settings(0)), 9.0);
}

#[test]
fn initial_bucket_lacks_a_random_part_of_a_call() {
    let set = settings(8);
    let mut rng = SeededRng::new(1);
    for _ in 0..100 {
        let saved = initial_bucket(0, &set, &mut rng).available(0, 0.0, 10.0);
        assert!(saved > 1.0 && saved <= 2.0, "{saved}");
    }
}

#[test]
fn rejections_lower_pace_to_a_quarter_of_the_share() {
    let mut pace = Pace::initial();
    pace.on_rejection();
    assert_eq!(pace.rate(10.0), 6.0);
    (0..10).for_each(|_| pace.on_rejection());
    assert_eq!(pace.rate(10.0), 2.5);
}

#[test]
fn pace_grows_by_half_each_second_up_to_the_maximum() {
    let set = settings(8);
    let mut pace = Pace::initial();
    let mut bucket = TokenBucket::starting(1.0, 0);
    pace.take_tokens(&mut bucket, SECOND, 1.0, 1.0, &set);
    assert_eq!(pace.rate(10.0), 15.0);
    pace.take_tokens(&mut bucket, 10 * SECOND, 1.0, 1.0, &set);
    assert_eq!(pace.rate(10.0), 20.0);
}

#[test]
fn call_takes_a_token() {
    let mut bucket = TokenBucket::starting(1.0, 0);
    Pace::initial().take_tokens(&mut bucket, 0, 0.5, 1.0, &settings(8));
    assert_eq!(bucket.opens_at(0, 0.5), 2 * SECOND);
}
