use super::*;

const SECOND: Micros = 1_000_000;

fn settings() -> Settings {
    Settings {
        overload_factor: 2.0,
        overload_window: 2 * SECOND,
        cold_capacity_share: 0.25,
        warm_up_time: 10 * SECOND,
        ..Settings::default()
    }
}

#[test]
fn healthy_route_has_no_budget() {
    assert_eq!(present_capacity(RouteHealth::Healthy, true, 0, &settings()), None);
}

#[test]
fn ejected_route_has_cold_capacity() {
    assert_eq!(present_capacity(RouteHealth::Ejected, true, 9 * SECOND, &settings()), Some(0.25));
}

#[test]
fn capacity_rises_evenly_over_the_warm_up_time() {
    let health = RouteHealth::WarmingUp(SECOND);
    let at = |now| present_capacity(health, false, now, &settings());
    assert_eq!(at(SECOND), Some(0.25));
    assert_eq!(at(6 * SECOND), Some(0.625));
    assert_eq!(at(11 * SECOND), None);
}

#[test]
fn failure_returns_ramp_to_its_start() {
    let health = RouteHealth::WarmingUp(SECOND);
    assert_eq!(present_capacity(health, true, 6 * SECOND, &settings()), Some(0.25));
}

#[test]
fn budget_is_a_fraction_of_the_overload_limit() {
    let budget = call_budget(0.5, 10.0, &settings());
    assert!((budget - 0.8 * 2.0 * 0.5 * 10.0 * 2.0).abs() < 1e-9, "{budget}");
}

#[test]
fn budget_of_whole_calls_opens_when_the_oldest_leaves_the_window() {
    let set = settings();
    let mut recent_call_budget = RecentCallBudget::initial();
    recent_call_budget.record_call(1, SECOND, &set);
    assert_eq!(recent_call_budget.opens_at(2.5, SECOND, &set), SECOND);
    recent_call_budget.record_call(1, 2 * SECOND, &set);
    assert_eq!(recent_call_budget.opens_at(2.5, 2 * SECOND, &set), 3 * SECOND);
    assert_eq!(recent_call_budget.opens_at(1.0, 2 * SECOND, &set), 4 * SECOND);
}

#[test]
fn large_batch_counts_as_several_calls() {
    let set = settings();
    let mut recent_call_budget = RecentCallBudget::initial();
    recent_call_budget.record_call(10, SECOND, &set);
    assert_eq!(recent_call_budget.opens_at(3.0, SECOND, &set), 3 * SECOND);
    assert_eq!(recent_call_budget.next_draw_at(), 4 * SECOND);
}

#[test]
fn budget_below_one_call_opens_by_a_won_draw_for_one_step() {
    let set = settings();
    let mut rng = SeededRng::new(1);
    let mut recent_call_budget = RecentCallBudget::initial();
    let mut won = 0;
    for step in 1..=1_000 {
        let now = step * SECOND;
        recent_call_budget.draw(0.5, now, &set, &mut rng);
        assert_eq!(recent_call_budget.next_draw_at(), now + SECOND, "two draws in a window of two seconds");
        let opens_at = recent_call_budget.opens_at(0.5, now, &set);
        assert!(opens_at == now || opens_at == now + SECOND);
        won += u32::from(opens_at == now);
        assert!(
            recent_call_budget.opens_at(0.5, now + 1, &set) > now + 1,
            "a won draw is valid in its step only"
        );
    }
    assert!((200..300).contains(&won), "won {won} of 1000 draws, expected a quarter");
}

#[test]
fn predicted_change_is_never_too_late() {
    let set = settings();
    let mut recent_call_budget = RecentCallBudget::initial();
    recent_call_budget.record_call(1, SECOND, &set);
    let at = |budget, varies, grows_at| recent_call_budget.changes_at(budget, varies, grows_at, SECOND, &set);
    assert_eq!(at(1.0, false, None), Some(3 * SECOND), "the call leaves the window");
    assert_eq!(at(0.5, false, None), Some(2 * SECOND), "the next draw");
    assert_eq!(at(1.0, true, None), Some(2 * SECOND), "the budget may fall below one call");
    assert_eq!(at(1.0, false, Some(0)), Some(SECOND + 1), "the time is after now");
}

#[test]
fn predicted_ramp_time_is_not_later_than_the_next_whole_call() {
    let set = settings();
    let share = 10.0;
    let budget_at = |now| {
        let capacity = present_capacity(RouteHealth::WarmingUp(0), false, now, &set).expect("still warming");
        call_budget(capacity, share, &set)
    };
    let budget = budget_at(0);
    let wait = ramp_time_to_next_call(budget, share, &set);
    assert!(budget_at(wait) < budget.floor() + 1.0, "the predicted time is not too late");
    assert!(budget_at(wait + 10) >= budget.floor() + 1.0, "the predicted time is not much too early");
    assert_eq!(ramp_time_to_next_call(0.0, 0.0, &set), set.warm_up_time, "the budget does not grow");
}

#[test]
fn ejected_route_gets_one_trial_call_at_a_time() {
    assert!(allows_trial_call(0, 0) && !allows_trial_call(1, 0));
    assert!(allows_trial_call(1, 1), "an overdue call does not block the next trial call");
}

#[test]
fn ramp_starts_after_an_outage_or_failures_within_a_ramp() {
    assert!(starts_ramp(RouteHealth::Ejected, true, true, false));
    assert!(starts_ramp(RouteHealth::Healthy, false, true, true));
    assert!(starts_ramp(RouteHealth::WarmingUp(0), true, true, false));
    assert!(!starts_ramp(RouteHealth::WarmingUp(0), true, false, false), "a ramp without failures continues");
    assert!(!starts_ramp(RouteHealth::Healthy, false, true, false), "a few failures are no outage");
}
