use super::*;

const KNOWN: KnownCapacity = KnownCapacity { hint: 100.0, reported_limit: 40.0 };

fn settings(capacity_hints: CapacityHints, fleet_size: u32) -> Settings {
    Settings { capacity_hints, fleet_size, ..Settings::default() }
}

#[test]
fn nominal_hint_is_divided_among_fleet() {
    assert_eq!(KNOWN.even_share(&settings(CapacityHints::Nominal, 4)), Some(25.0));
}

#[test]
fn rough_hint_is_reduced_to_two_thirds() {
    assert_eq!(KNOWN.even_share(&settings(CapacityHints::Rough, 1)), Some(67.0));
}

#[test]
fn without_hints_reported_limit_is_divided_among_fleet() {
    assert_eq!(KNOWN.even_share(&settings(CapacityHints::None, 4)), Some(10.0));
}

#[test]
fn capacity_that_is_no_positive_number_gives_no_share() {
    for reported_limit in [0.0, -1.0, f64::NAN] {
        let known = KnownCapacity { hint: 0.0, reported_limit };
        assert_eq!(known.even_share(&settings(CapacityHints::None, 4)), None, "{reported_limit}");
    }
}

#[test]
fn own_share_averages_served_rate_and_even_share() {
    assert_eq!(own_share(10.0, Some(20.0)), 15.0);
    assert_eq!(own_share(10.0, None), 10.0);
}
