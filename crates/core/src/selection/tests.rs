use super::*;
use crate::rng::SeededRng;

const IDLE: CostInputs = CostInputs {
    needs_connection: false,
    is_cross_zone: false,
    zone: 1,
    is_separate_route: false,
    latency_us: 2_000_000.0,
    in_flight: 0,
    is_faulty: false,
    is_suspect: false,
};
const NO_PRESSURE: SlotPressure = SlotPressure { calls: 0, open_messages: 10 };

fn settings() -> Settings {
    Settings {
        handshake_cost: 0.1,
        cross_zone_cost: 0.2,
        zone_costs: vec![0.0, 0.4],
        max_calls: 10,
        ..Settings::default()
    }
}

fn cost_of(inputs: CostInputs) -> f64 {
    cost(&inputs, NO_PRESSURE, &settings())
}

#[test]
fn idle_endpoint_costs_nothing() {
    assert_eq!(cost_of(IDLE), 0.0);
}

#[test]
fn connection_and_zone_costs_come_from_the_settings() {
    assert_eq!(cost_of(CostInputs { needs_connection: true, ..IDLE }), 0.1);
    assert_eq!(cost_of(CostInputs { is_cross_zone: true, ..IDLE }), 0.2);
}

#[test]
fn separate_route_costs_its_zone_and_its_latency() {
    let inputs = CostInputs { is_separate_route: true, ..IDLE };
    assert_eq!(cost_of(inputs), 0.4 + 0.1);
    assert_eq!(cost_of(CostInputs { zone: 9, ..inputs }), 0.1, "an unknown zone has no cost");
}

#[test]
fn last_slot_raises_the_latency_cost() {
    let inputs = CostInputs { is_separate_route: true, ..IDLE };
    let last = SlotPressure { calls: 9, ..NO_PRESSURE };
    assert_eq!(cost(&inputs, last, &settings()), 0.4 + (0.05 + 0.25) * 2.0);
}

#[test]
fn faults_outweigh_all_other_costs() {
    for inputs in [CostInputs { is_faulty: true, ..IDLE }, CostInputs { is_suspect: true, ..IDLE }] {
        assert_eq!(cost_of(inputs), 1.0);
    }
    assert_eq!(cost_of(CostInputs { in_flight: 3, ..IDLE }), 0.03);
}

#[test]
fn equal_endpoints_are_chosen_in_proportion_to_capacity() {
    let mut rng = SeededRng::new(5);
    let mut chosen = 0;
    for _ in 0..10_000 {
        let small = random_cost(rng.uniform(), 10.0, 100);
        let large = random_cost(rng.uniform(), 30.0, 100);
        chosen += u32::from(large < small);
    }
    assert!((7_300..7_700).contains(&chosen), "three in four: {chosen}");
}

#[test]
fn random_cost_is_finite_at_the_bounds_of_draw_and_capacity() {
    for uniform in [0.0, 1.0 - f64::EPSILON] {
        assert!(random_cost(uniform, 0.0, 0).is_finite());
    }
}
