//! Models the capacity of a destination: its rise while the destination warms up after an outage, the admission of
//! calls above the capacity, and the overload that makes a cold destination collapse.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// How a destination handles a call above its capacity.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum OverloadBehavior {
    /// Answers 503 at once. Admits bursts of as many calls as the capacity allows in one second.
    #[default]
    Reject,
    /// Queues the call and serves it in its turn. The queue has no limit.
    Queue,
}

/// The capacity of a destination, shared by its endpoints.
#[derive(Clone, Copy, Debug)]
pub struct CapacityModel {
    /// The capacity of a warm destination, in calls a second; 0 means no limit.
    pub capacity_rps: f64,
    /// The share of that capacity right after a recovery. The capacity then rises linearly.
    pub cold_capacity_share: f64,
    /// The time from a recovery until the destination is warm.
    pub warm_up_time: Duration,
    /// A destination that warms up collapses when calls arrive at more than this multiple of its present capacity, on
    /// average over `overload_window`.
    pub overload_factor: f64,
    /// The time over which arrivals are averaged.
    pub overload_window: Duration,
    /// The time that a call takes.
    pub service_time: Duration,
    /// How calls above the capacity are handled.
    pub overload_behavior: OverloadBehavior,
}

impl Default for CapacityModel {
    fn default() -> Self {
        CapacityModel {
            capacity_rps: 0.0,
            cold_capacity_share: 0.18,
            warm_up_time: Duration::from_micros(9_400_000),
            overload_factor: 2.0,
            overload_window: Duration::from_secs(2),
            service_time: Duration::from_millis(5),
            overload_behavior: OverloadBehavior::Reject,
        }
    }
}

/// The state from which the present capacity is computed.
#[derive(Debug, Default)]
pub(super) struct CapacityState {
    /// When the destination last recovered; `None` if it has not recovered since its start or its last collapse.
    recovered_at: Option<Instant>,
    /// Times of arrivals within the overload window, while the destination warms up.
    recent_arrivals: VecDeque<Instant>,
    /// The number of calls that may be admitted at once.
    permits: f64,
    permits_updated_at: Option<Instant>,
}

impl CapacityState {
    /// Starts to warm up.
    pub(super) fn recover(&mut self, now: Instant) {
        self.recovered_at = Some(now);
        self.recent_arrivals.clear();
    }

    /// Ends the warm-up with a collapse.
    pub(super) fn collapse(&mut self) {
        self.recovered_at = None;
        self.recent_arrivals.clear();
    }

    /// Returns the present capacity, in calls a second.
    pub(super) fn current_rps(&self, model: &CapacityModel, now: Instant) -> f64 {
        let Some(recovered_at) = self.recovered_at else { return model.capacity_rps };
        let warm_up_s = model.warm_up_time.as_secs_f64().max(1e-9);
        let warm_up_progress = (now - recovered_at).as_secs_f64() / warm_up_s;
        let cold_share = model.cold_capacity_share;
        model.capacity_rps * (cold_share + (1.0 - cold_share) * warm_up_progress.min(1.0))
    }

    /// Takes a permit for a call. Returns `false` if there is no permit.
    pub(super) fn try_admit(&mut self, model: &CapacityModel, now: Instant) -> bool {
        let current_rps = self.current_rps(model, now);
        if current_rps <= 0.0 {
            return true;
        }
        let last_update = self.permits_updated_at.replace(now);
        let elapsed_s = last_update.map_or(1.0, |last_update| (now - last_update).as_secs_f64());
        self.permits = (self.permits + elapsed_s * current_rps).min(current_rps);
        let admitted = self.permits >= 1.0;
        if admitted {
            self.permits -= 1.0;
        }
        admitted
    }

    /// Counts an arrival. Returns whether it makes the destination collapse.
    pub(super) fn arrival_overloads(&mut self, model: &CapacityModel, now: Instant) -> bool {
        let warming_up =
            self.recovered_at.is_some_and(|recovered_at| now - recovered_at < model.warm_up_time);
        if model.capacity_rps <= 0.0 || !warming_up {
            return false;
        }
        self.recent_arrivals.push_back(now);
        while self.recent_arrivals.front().is_some_and(|at| now - *at > model.overload_window) {
            self.recent_arrivals.pop_front();
        }
        let window_s = model.overload_window.as_secs_f64();
        let max_arrivals = model.overload_factor * self.current_rps(model, now) * window_s;
        self.recent_arrivals.len() as f64 > max_arrivals
    }
}
