//! The reference controller: all decisions of a forwarder in one module. Its types are those of `interface.rs`. Usually
//! the adaptive window of the paper (`docs/design.md`) limits the calls in flight on each route: a success at the first
//! attempt increases it, a failure or rejection halves it.

use orchidyoke_core::interface::*;
use orchidyoke_core::rng::SeededRng;
use orchidyoke_core::traffic::{RateEstimator, TokenBucket};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

const SECOND: Micros = 1_000_000;
/// Longest time span accepted from outside, about 11 days. A sum of a few such spans does not overflow.
const MAX_REPORTED_US: Micros = 1_000_000 * SECOND;
/// Factor by which a success at the first attempt increases a window (paper: ten percent).
const WINDOW_GROWTH: f64 = 1.1;
/// Factor by which a failure or rejection decreases a window (paper: half, at once).
const WINDOW_DECREASE: f64 = 0.5;
/// Share of the call slots that one destination may hold (design: three quarters).
const DESTINATION_SLOT_SHARE: f64 = 0.75;
/// Share of the call slots for a faulty destination, and for all faulty destinations together (design: one half).
const FAULTY_SLOT_SHARE: f64 = 0.5;
/// Number of invalid responses of one endpoint, without a success between them, from which they count as its errors.
const INVALID_RESPONSES_AS_FAILURE: u32 = 3;
/// Number of failures without a success, and time without a success, that mean an outage. A route that fails or rejects
/// only some of its calls is not down.
const OUTAGE_AFTER_ERRORS: (u32, Micros) = (3, 1_500_000);
/// The same values for a route whose failures are all rejections: first if no limit is known, then if one is known. A
/// route over its limit rejects many calls too.
const OUTAGE_AFTER_REJECTIONS: [(u32, Micros); 2] = [(3, 4 * SECOND), (8, 6 * SECOND)];
/// A call is overdue after the mean latency plus this many mean deviations (four, as in TCP's RTO).
const OVERDUE_DEVIATIONS: f64 = 4.0;
/// Latency assumed before the first answer, in microseconds: that of a slow system, and a handshake.
const INITIAL_LATENCY_US: f64 = 600_000.0;
/// Shortest overdue time. Short pauses of a busy system are not a fault.
const MIN_OVERDUE_US: Micros = 600_000;
/// A call is stalled if it is overdue while its endpoint answers calls sent later: its connection is dead, or its
/// message takes long. The ends of such calls and of their retries show which. Stalled calls are cancelled while less
/// than this share of them are slow messages.
const MAX_SLOW_SHARE: f64 = 0.3;
/// Gain of the moving average of that share: one slow message stops the cancelling until a connection turns out to be
/// dead.
const SLOW_SHARE_GAIN: f64 = 0.4;
/// Time for which a forwarder with part of a core may be descheduled. Everything with a deadline ends earlier by this
/// time.
const SCHEDULING_MARGIN_US: Micros = 50_000;
/// Time before the end of a deduplication window from which no repeat is sent. A pause of 150 ms before the write, less
/// the 50 ms that the protocol adds to every limit on sockets, leaves the repeat within the window.
const REPEAT_MARGIN_US: Micros = 105_000;
/// Time before that at which a first attempt ends, so that its repeat gets a connection.
const REPEAT_LEAD_US: Micros = 50_000;
/// Bounds of a time-out. With a lower bound a pause would look like a hang; with a higher one a hanging call would hold
/// its slot for too long.
const MIN_TIMEOUT_US: Micros = 1_500_000;
const MAX_TIMEOUT_US: Micros = 6 * SECOND;
/// Time-out as a multiple of the overdue time. It doubles with each consecutive time-out (as TCP's backoff).
const TIMEOUT_PER_OVERDUE: f64 = 2.0;
/// A rough capacity hint may be half too high, so the capacity is at least this fraction of it.
const ROUGH_HINT_FACTOR: f64 = 0.67;
/// First and longest backoff after a failure without a Retry-After; it doubles with each consecutive failure.
const MIN_BACKOFF_US: Micros = 150_000;
const MAX_BACKOFF_US: Micros = 2 * SECOND;
/// Fraction of the slow-start budget that is used. The rest is a margin for chance: draws scatter, and handshakes
/// coincide.
const BUDGET_FRACTION: f64 = 0.8;
/// The limit on open messages divided by this is kept free, because new messages at the limit are rejected regardless
/// of their priority.
const RESERVE_DIVISOR: usize = 16;
/// Number of queued messages that are examined for one that can be sent now; bounds the work of a step.
const QUEUE_SCAN_MESSAGES: usize = 24;
/// Cost, in points, of each second of a route's mean latency, and of each call in flight, when endpoints are compared.
const LATENCY_COST_PER_SECOND: f64 = 0.05;
const IN_FLIGHT_COST: f64 = 0.01;
/// Additional cost, in points, of each second of mean latency if the call takes the last slot. It is multiplied by the
/// number of open messages per slot, because all of them wait longer.
const LAST_SLOT_COST_PER_SECOND: f64 = 0.25;
/// Weight of chance in a large fleet, in points, and the fleet size at which it has half of that weight. Otherwise
/// hundreds of forwarders that see the same costs would choose the same endpoint while others are idle. In a small
/// fleet the windows prevent this.
const SPREAD_COST: f64 = 0.05;
const HALF_SPREAD_FLEET_SIZE: f64 = 16.0;

/// A route with a share below one call in flight is paced at a multiple of the even share of the limit. A rejection
/// reduces the multiple by two fifths. It grows by half in each second, up to one plus `EXTRA_SHARES` divided by the
/// fleet size. As many calls can be saved up, because in a small fleet one forwarder may have nearly all of the
/// traffic.
const MULTIPLE_DECREASE: f64 = 0.6;
const MIN_MULTIPLE: f64 = 0.25;
const MULTIPLE_GROWTH_PER_SECOND: f64 = 1.5;
const EXTRA_SHARES: f64 = 8.0;

type RouteId = usize;
type CallId = u64;
/// Rank in a queue: timeliness (0 in time, 1 late), due time (if late: the negated objective, so that the least late
/// goes first), number.
type Rank = (u8, Micros, MessageId);

/// A message: its class and times, its attempts so far, and its place in its queue.
#[derive(Debug, Default)]
struct Message {
    destination: DestinationId,
    class: Class,
    key: Option<u64>,
    objective_at: Micros,
    deadline: Micros,
    is_first_try: bool,
    recovered_unsent: bool,
    attempts: u32,
    in_flight: usize,
    stall_cancelled: bool,
    /// Send time, endpoint and zone of the first attempt that may have been executed.
    possible_delivery: Option<(Micros, EndpointId, usize)>,
    rank: Option<Rank>,
}

impl Message {
    /// Returns the time until which the message may be sent, which depends on its idempotency and on the first attempt
    /// that may have been executed.
    fn resendable_until(&self) -> Micros {
        match (self.possible_delivery, self.class.idempotency) {
            (None, _) | (_, Idempotency::Idempotent) => Micros::MAX,
            (Some((sent, ..)), Idempotency::IdempotencyKey { window, .. }) => {
                sent.saturating_add(window) - REPEAT_MARGIN_US
            }
            (Some(_), Idempotency::NonIdempotent) => Micros::MIN,
        }
    }
}

#[derive(Debug, Default)]
struct Call {
    endpoint: EndpointId,
    zone: usize,
    route: RouteId,
    sent: Micros,
    open: usize,
    is_first_try: bool,
    is_counted: bool,
    overdue: bool,
    /// The message if the call has only one.
    only_message: Option<MessageId>,
    is_stalled: bool,
    presumed_lost: bool,
}

/// The messages of one order key that have no final answer, in order of arrival, and the number of attempts in flight
/// of messages that already have one.
#[derive(Debug, Default)]
struct OrderKeyQueue {
    waiting: VecDeque<MessageId>,
    orphaned_attempts: usize,
    cooldown_until: Micros,
    cooldown_exempt: MessageId,
}

#[derive(Debug, Default)]
struct Endpoint {
    destination: DestinationId,
    route: RouteId,
    zone: usize,
    kind: DestinationKind,
    accepts_calls: bool,
    /// Whether the endpoint is no longer in the list.
    is_removed: bool,
    /// Result of the endpoint's health checks, and whether they exclude the endpoint because another one passes.
    status: HealthStatus,
    is_excluded: bool,
    in_flight: usize,
    idle_connections: Vec<Micros>,
    consecutive_failures: u32,
    /// Send time of the latest sent call that succeeded.
    latest_answered_sent_at: Micros,
    /// Number of invalid responses since the last success.
    invalid_responses: u32,
    avoid_until: Micros,
}

#[derive(Debug, Default)]
struct Destination {
    endpoints: Vec<EndpointId>,
    shared_route: Option<RouteId>,
    queue: BTreeSet<Rank>,
    in_flight: usize,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
enum RouteHealth {
    #[default]
    Healthy,
    Ejected,
    WarmingUp(Micros),
}

/// One route (a destination, or an endpoint if its endpoints are separate routes): its window, pace and health.
#[derive(Debug, Default)]
struct Route {
    window: f64,
    /// The span from which the next call is drawn after rejections, as a window below one call; 0 if none is needed.
    backoff_span: f64,
    /// The pace as a multiple of the even share, and the calls that may be sent now.
    pace_multiple: f64,
    pace_bucket: TokenBucket,
    in_flight: usize,
    /// Number of calls in flight that are overdue, and of those presumed lost when the route recovered.
    overdue: usize,
    presumed_lost: usize,
    health: RouteHealth,
    /// Number of failures since the last success, and whether one of them was more than a rejection.
    consecutive_failures: u32,
    has_errors: bool,
    timeouts: u32,
    last_success_at: Micros,
    retry_after_until: Micros,
    backoff_until: Micros,
    mean_latency: f64,
    latency_deviation: f64,
    capacity_hint: f64,
    reported_limit: f64,
    /// Times of the calls in the last `overload_window`.
    recent_calls: VecDeque<Micros>,
    /// Rate of the calls served; it starts with one call.
    served: RateEstimator,
    /// Times of the first and the latest failure since the last success.
    failure_span: Option<(Micros, Micros)>,
    /// For a budget below one call: the time of the next draw, and the time of the last draw if it allows a call in
    /// that step.
    draw_at: Micros,
    won_at: Option<Micros>,
    /// Whether no endpoint of the route passes its health checks.
    is_critical: bool,
}

impl Route {
    fn new(now: Micros, saved: f64) -> Self {
        let (mean_latency, latency_deviation) = (INITIAL_LATENCY_US, INITIAL_LATENCY_US / 2.0);
        let (served, pace_bucket) = (RateEstimator::starting(1.0, now), TokenBucket::starting(saved, now));
        Route {
            window: 1.0,
            pace_multiple: 1.0,
            pace_bucket,
            mean_latency,
            latency_deviation,
            served,
            ..Route::default()
        }
    }

    /// Returns whether the route is failing or slow: ejected, with consecutive failures, or with an overdue call.
    fn is_faulty(&self) -> bool {
        self.health == RouteHealth::Ejected || self.consecutive_failures >= 2 || self.overdue > 0
    }

    fn overdue_after(&self) -> Micros {
        ((self.mean_latency + OVERDUE_DEVIATIONS * self.latency_deviation) as Micros).max(MIN_OVERDUE_US)
    }

    /// Returns the time-out, which follows the observed latency and has a backoff.
    fn timeout(&self) -> Micros {
        let timeout_us =
            TIMEOUT_PER_OVERDUE * self.overdue_after() as f64 * f64::from(1 << self.timeouts.min(2));
        (timeout_us as Micros).clamp(MIN_TIMEOUT_US, MAX_TIMEOUT_US)
    }

    fn observe(&mut self, latency_us: f64) {
        if self.last_success_at == 0 {
            (self.mean_latency, self.latency_deviation) = (latency_us, latency_us / 2.0);
        }
        self.latency_deviation += 0.25 * ((latency_us - self.mean_latency).abs() - self.latency_deviation);
        self.mean_latency += 0.125 * (latency_us - self.mean_latency);
    }

    /// Returns this forwarder's share of the route's capacity, in calls a second: the rate at which it was served
    /// before the first failure (starting with one call, so that every forwarder may try). If a capacity is known, this
    /// is averaged with the even share.
    fn own_share(&self, now: Micros, settings: &Settings) -> f64 {
        let served_rate = self.served.rate(self.failure_span.map_or(now, |(first, _)| first));
        self.even_share(settings).map_or(served_rate, |even| (served_rate + even) / 2.0)
    }

    /// Returns the known capacity divided evenly among the fleet, in calls a second.
    fn even_share(&self, settings: &Settings) -> Option<f64> {
        let capacity = match settings.capacity_hints {
            CapacityHints::None => self.reported_limit,
            CapacityHints::Nominal => self.capacity_hint,
            CapacityHints::Rough => self.capacity_hint * ROUGH_HINT_FACTOR,
        };
        Some(capacity / f64::from(settings.fleet_size.max(1))).filter(|even| *even > 0.0)
    }

    /// Returns the paced rate if the even share is below one call in flight: with all windows at their floor the fleet
    /// would exceed the capacity.
    fn paced_rate(&self, settings: &Settings) -> Option<f64> {
        let needs_pacing = |even: &f64| settings.fleet_size > 1 && even * self.mean_latency < SECOND as f64;
        self.even_share(settings).filter(needs_pacing).map(|even| even * self.pace_multiple)
    }

    fn take_pace_tokens(&mut self, now: Micros, settings: &Settings, calls: f64) {
        let Some(rate) = self.paced_rate(settings) else { return };
        self.pace_multiple = (self.pace_multiple
            * MULTIPLE_GROWTH_PER_SECOND.powf(self.pace_bucket.seconds_since_take(now)))
        .min(max_multiple(settings));
        self.pace_bucket.take(now, rate, max_multiple(settings), calls);
    }

    /// Ejects the route if failures without a success between them mean an outage.
    fn update_outage_state(&mut self, now: Micros, settings: &Settings) {
        let (min_failures, no_success_for) = if self.has_errors {
            OUTAGE_AFTER_ERRORS
        } else {
            OUTAGE_AFTER_REJECTIONS[usize::from(self.paced_rate(settings).is_some())]
        };
        if self.consecutive_failures >= min_failures && now - self.last_success_at >= no_success_for {
            self.health = RouteHealth::Ejected;
        }
    }

    /// Returns the present capacity of the route as a share of the full one; `None` if slow start does not limit it.
    fn present_capacity(&self, now: Micros, settings: &Settings) -> Option<f64> {
        let warm_for = match self.health {
            RouteHealth::WarmingUp(since) if now - since >= settings.warm_up_time => return None,
            RouteHealth::WarmingUp(since) if self.failure_span.is_none() => now - since,
            RouteHealth::WarmingUp(_) | RouteHealth::Ejected => 0,
            RouteHealth::Healthy => return None,
        };
        Some(
            settings.cold_capacity_share
                + (1.0 - settings.cold_capacity_share) * warm_for as f64
                    / settings.warm_up_time.max(1) as f64,
        )
    }
}

/// The controller of one forwarder. See [`Controller::step`].
#[derive(Debug, Default)]
pub struct Controller {
    settings: Settings,
    rng: SeededRng,
    now: Micros,
    messages: BTreeMap<MessageId, Message>,
    /// Messages with an attempt that ended in this step and about which no decision has been made yet.
    ended_attempt_messages: Vec<MessageId>,
    attempts: BTreeMap<(MessageId, u32), (CallId, Option<u64>)>,
    calls: BTreeMap<CallId, Call>,
    last_number: CallId,
    order_keys: BTreeMap<u64, OrderKeyQueue>,
    destinations: BTreeMap<DestinationId, Destination>,
    endpoints: BTreeMap<EndpointId, Endpoint>,
    routes: Vec<Route>,
    message_timers: BTreeSet<(Micros, MessageId)>,
    call_timers: BTreeSet<(Micros, CallId)>,
    timer_at: Micros,
    /// Share of the stalled calls whose message was slow.
    slow_share: f64,
    /// When the forwarder stops; `None` if it is not shutting down.
    shutdown_at: Option<Micros>,
}

impl Controller {
    /// Creates a controller without any state; `seed` determines all its random draws.
    pub fn new(initial_settings: Settings, seed: u64) -> Self {
        Controller {
            settings: initial_settings,
            rng: SeededRng::new(seed),
            timer_at: Micros::MAX,
            ..Controller::default()
        }
    }

    /// Returns the routes that are ejected, failing or warming up, for [`Event::RouteState`]. If a restart lost them,
    /// messages that waited for them would overload a cold destination. A separate route is named by its endpoint.
    pub fn faulty_routes(&self) -> BTreeSet<RouteRef> {
        let needs_recovery = |route: &Route| match route.health {
            RouteHealth::Ejected => true,
            RouteHealth::WarmingUp(since) => self.now - since < self.settings.warm_up_time,
            RouteHealth::Healthy => route.has_errors && route.consecutive_failures >= 2,
        };
        let route_id = |destination, endpoint| RouteRef { destination, endpoint };
        let separate = self.endpoints.iter().filter(|(_, listed)| listed.kind.separate_routes);
        let separate = separate.map(|(id, listed)| (route_id(listed.destination, Some(*id)), listed.route));
        // A faulty destination may have no endpoint now.
        let shared =
            self.destinations.iter().filter_map(|(id, d)| d.shared_route.map(|r| (route_id(*id, None), r)));
        separate
            .chain(shared)
            .filter(|(_, route)| needs_recovery(&self.routes[*route]))
            .map(|(id, _)| id)
            .collect()
    }

    /// Returns the random number generator in its current state.
    pub fn rng(&self) -> &SeededRng {
        &self.rng
    }

    /// Returns whether an endpoint gets only trial calls or no calls now.
    pub fn gets_no_regular_calls(&self, id: EndpointId) -> bool {
        let avoided = |e: &Endpoint| {
            !e.accepts_calls || e.is_excluded || self.routes[e.route].health == RouteHealth::Ejected
        };
        self.endpoints.get(&id).is_none_or(avoided)
    }

    /// Applies all events of a step, then decides once. `now` must not decrease from one step to the next.
    pub fn step(&mut self, now: Micros, events: &[Event], actions: &mut Vec<Action>) {
        self.now = now;
        events.iter().for_each(|event| self.on_event(event));
        std::mem::take(&mut self.ended_attempt_messages)
            .into_iter()
            .for_each(|id| self.requeue_or_give_up(id, actions));
        self.run_timers(actions);
        self.shed_messages(actions);
        self.send_ready_messages(actions);
        self.drop_removed_endpoints();
        self.set_timer(actions);
    }

    fn on_event(&mut self, event: &Event) {
        match event {
            Event::Message {
                id,
                destination,
                class,
                order_key: key,
                time_left,
                is_retry: marked_as_retry,
                ..
            } => {
                let class = self.settings.classes.get(*class).cloned().unwrap_or_default();
                let deadline = self.now + (*time_left).clamp(-MAX_REPORTED_US, MAX_REPORTED_US);
                let message = Message {
                    destination: *destination,
                    key: key.filter(|_| class.keep_order),
                    objective_at: deadline
                        .saturating_sub(class.deadline)
                        .saturating_add(class.latency_objective),
                    deadline,
                    is_first_try: !marked_as_retry,
                    class,
                    ..Message::default()
                };
                if let Some(key) = message.key {
                    self.order_keys.entry(key).or_default().waiting.push_back(*id);
                }
                self.message_timers.insert((self.answer_by(&message), *id));
                self.messages.insert(*id, message);
                self.enqueue(*id);
            }
            Event::AttemptHistory { id, attempts, possible_delivery: prior } => {
                let Some(message) = self.messages.get_mut(id) else { return };
                (message.attempts, message.is_first_try) =
                    (*attempts, *attempts == 0 && message.is_first_try);
                message.recovered_unsent = *attempts == 0;
                message.possible_delivery = prior.map(|p| (self.now - p.sent_ago, p.endpoint, p.zone));
                self.ended_attempt_messages.push(*id);
            }
            Event::RouteState { destination: id, endpoint, begins_cold: is_cold, retry_after: pause } => {
                let listed_endpoints = self.destinations.get(id).map_or(&[][..], |d| &d.endpoints).iter();
                let matching =
                    listed_endpoints.filter(|listed| endpoint.is_none_or(|requested| requested == **listed));
                let mut routes: Vec<RouteId> = matching.map(|e| self.endpoints[e].route).collect();
                if routes.is_empty() && endpoint.is_none() {
                    // A destination that has no endpoints now keeps the state for endpoints that are added later.
                    routes.push(self.new_route(None));
                    self.destinations.entry(*id).or_default().shared_route = Some(routes[0]);
                }
                for id in routes {
                    let route = &mut self.routes[id];
                    route.health = if *is_cold { RouteHealth::Ejected } else { route.health };
                    route.retry_after_until =
                        route.retry_after_until.max(self.now + (*pause).clamp(0, MAX_REPORTED_US));
                }
            }
            Event::Settings(settings) => self.settings = (**settings).clone(),
            Event::ShuttingDown { time_left } => self.shutdown_at = Some(self.now + *time_left),
            Event::Withdrawn { id } => self.remove_message(*id),
            Event::AttemptEnded(answer) => {
                self.end_attempt(answer);
                if answer.message_finished || answer.outcome == Outcome::Success {
                    self.remove_message(answer.id);
                } else {
                    self.ended_attempt_messages.push(answer.id);
                }
            }
            Event::EndpointList { kind: event_kind, entries } => self.on_endpoint_list(*event_kind, entries),
            Event::Timer { .. } if self.now >= self.timer_at => self.timer_at = Micros::MAX,
            Event::Timer { .. }
            | Event::ResponseStarted { .. }
            | Event::HealthChecked { .. }
            | Event::Gossip { .. } => {}
        }
    }

    fn on_endpoint_list(&mut self, event_kind: ListEventKind, entries: &[EndpointUpdate]) {
        if matches!(event_kind, ListEventKind::Snapshot | ListEventKind::Restored) {
            self.endpoints.values_mut().for_each(|e| (e.accepts_calls, e.is_removed) = (false, true));
        }
        entries.iter().for_each(|entry| self.on_endpoint_update(entry));
        let listed_destinations: BTreeSet<DestinationId> =
            entries.iter().map(|entry| entry.destination).collect();
        listed_destinations.into_iter().for_each(|destination| self.apply_health_checks(destination));
    }

    /// Applies the health checks of a destination. A critical endpoint is excluded while another endpoint passes. A
    /// route without a passing endpoint is ejected until a call succeeds: a success overrules a failing health check,
    /// and a passing health check alone ends no ejection.
    fn apply_health_checks(&mut self, destination: DestinationId) {
        let Some(ids) = self.destinations.get(&destination).map(|d| d.endpoints.clone()) else { return };
        let listed_endpoints = ids.iter().map(|id| &self.endpoints[id]);
        let passing = listed_endpoints.filter(|e| e.accepts_calls && e.status != HealthStatus::Critical);
        let passing: BTreeSet<RouteId> = passing.map(|e| e.route).collect();
        for id in ids {
            let Some(listed) = self.endpoints.get_mut(&id) else { continue };
            let fails_checks = listed.status == HealthStatus::Critical;
            listed.is_excluded = fails_checks && !passing.is_empty();
            let route = &mut self.routes[listed.route];
            let is_critical = !passing.contains(&listed.route) && (fails_checks || route.is_critical);
            if is_critical && !route.is_critical {
                // This counts as a failure, so the success of a call sent before it proves nothing.
                route.health = RouteHealth::Ejected;
                route.failure_span =
                    Some((route.failure_span.map_or(self.now, |(first, _)| first), self.now));
            }
            route.is_critical = is_critical;
        }
    }

    fn on_endpoint_update(&mut self, entry: &EndpointUpdate) {
        let kind = self
            .settings
            .kinds
            .get(entry.kind)
            .copied()
            .unwrap_or(DestinationKind { max_batch: 1, separate_routes: false });
        let destination = self.destinations.entry(entry.destination).or_default();
        let shared = destination.shared_route.filter(|_| !kind.separate_routes);
        if let Some(known) = self.endpoints.get_mut(&entry.endpoint) {
            known.accepts_calls =
                entry.state == EndpointState::Active && known.destination == entry.destination;
            known.is_removed = entry.state == EndpointState::Removed;
            (known.zone, known.kind, known.status) = (entry.zone, kind, entry.health);
            known.route = shared.unwrap_or(known.route);
            self.routes[known.route].capacity_hint = entry.capacity_hint;
            return;
        }
        if entry.state == EndpointState::Removed {
            return;
        }
        let has_others = destination.endpoints.iter().any(|e| !self.endpoints[e].is_removed);
        let route = shared.filter(|_| has_others).unwrap_or_else(|| self.new_route(shared));
        let destination = self.destinations.entry(entry.destination).or_default();
        destination.shared_route = (!kind.separate_routes).then_some(route);
        destination.endpoints.push(entry.endpoint);
        let accepts_calls = entry.state == EndpointState::Active;
        self.routes[route].capacity_hint = entry.capacity_hint;
        let EndpointUpdate { destination, zone, health: status, .. } = *entry;
        let listed =
            Endpoint { destination, route, zone, kind, accepts_calls, status, ..Endpoint::default() };
        self.endpoints.insert(entry.endpoint, listed);
    }

    /// Creates a route. If a destination has no other endpoint, the route of a new endpoint does not inherit the window
    /// and the measurements of earlier endpoints. Two properties belong to the destination and are copied: its
    /// Retry-After, and that it returns cold.
    fn new_route(&mut self, before: Option<RouteId>) -> RouteId {
        // The random part keeps a large fleet that starts together from sending its first calls together.
        let mut route = Route::new(self.now, max_multiple(&self.settings) - self.rng.uniform());
        if let Some(before) = before.map(|id| &self.routes[id]) {
            route.retry_after_until = before.retry_after_until;
            route.health = if before.health == RouteHealth::Healthy {
                RouteHealth::Healthy
            } else {
                RouteHealth::WarmingUp(self.now)
            };
        }
        let used: BTreeSet<RouteId> = self.endpoints.values().map(|e| e.route).collect();
        let shared: BTreeSet<RouteId> = self.destinations.values().filter_map(|d| d.shared_route).collect();
        let is_free = |id: &RouteId| {
            let kept = shared.contains(id) && before != Some(*id);
            !kept && !used.contains(id) && self.routes[*id].in_flight == 0
        };
        let index = (0..self.routes.len()).find(is_free).unwrap_or(self.routes.len());
        self.routes.resize_with(self.routes.len().max(index + 1), Route::default);
        self.routes[index] = route;
        index
    }

    /// Drops removed endpoints that have no calls in flight and whose Retry-After has ended.
    fn drop_removed_endpoints(&mut self) {
        self.endpoints.retain(|id, listed| {
            let retry_after_until = self.routes[listed.route].retry_after_until;
            let can_be_dropped = listed.is_removed && listed.in_flight == 0 && retry_after_until <= self.now;
            if can_be_dropped && let Some(destination) = self.destinations.get_mut(&listed.destination) {
                destination.endpoints.retain(|other| other != id);
            }
            !can_be_dropped
        });
    }

    /// Returns the last time for a message's final answer: two ticks and a scheduling margin before its deadline.
    fn answer_by(&self, message: &Message) -> Micros {
        message.deadline.saturating_sub(2 * self.settings.tick + SCHEDULING_MARGIN_US)
    }

    /// Puts a message into its queue if it is its turn and it has no attempt in flight.
    fn enqueue(&mut self, id: MessageId) {
        let Some(message) = self.messages.get(&id) else { return };
        if message.in_flight > 0 || message.rank.is_some() {
            return;
        }
        if let Some(order) = message.key.and_then(|key| self.order_keys.get(&key)) {
            // Messages of an order key are sent one at a time, in turn, and after a cooldown for an attempt that may
            // still be running.
            if order.waiting.front() != Some(&id) || order.orphaned_attempts > 0 {
                return;
            }
            if self.now < order.cooldown_until && order.cooldown_exempt != id {
                self.message_timers.insert((order.cooldown_until, id));
                return;
            }
        }
        self.rank(id);
    }

    /// Gives a message its rank by the weight that can still be saved: messages in time before late ones, and within
    /// these by due time, which is earlier for messages that lose more weight by being late.
    fn rank(&mut self, id: MessageId) {
        let min_loss = self.settings.classes.iter().map(delay_loss).fold(f64::INFINITY, f64::min);
        self.unqueue(id);
        let Some(message) = self.messages.get_mut(&id) else { return };
        let urgency = (delay_loss(&message.class) / min_loss.max(1e-6)).clamp(1.0, 10.0);
        let arrived_at = message.objective_at - message.class.latency_objective;
        let timeliness = u8::from(self.now >= message.objective_at);
        // In time, the message that is due first goes first; of late messages the least late, which has lost the least
        // weight.
        let order_by = arrived_at + (message.class.latency_objective as f64 / urgency) as Micros;
        let order_by = if timeliness == 0 { order_by } else { -message.objective_at };
        let review_at = if timeliness == 0 { message.objective_at } else { message.deadline };
        self.message_timers.insert((review_at.min(message.resendable_until()), id));
        message.rank = Some((timeliness, order_by, id));
        self.destinations.entry(message.destination).or_default().queue.insert((timeliness, order_by, id));
    }

    fn unqueue(&mut self, id: MessageId) {
        let Some(message) = self.messages.get_mut(&id) else { return };
        let Some(rank) = message.rank.take() else { return };
        self.destinations.entry(message.destination).or_default().queue.remove(&rank);
    }

    /// Removes a message that has its final answer from its queue and its order key.
    fn remove_message(&mut self, id: MessageId) {
        self.unqueue(id);
        let Some(message) = self.messages.remove(&id) else { return };
        let Some(key) = message.key else { return };
        if let Some(order) = self.order_keys.get_mut(&key) {
            order.waiting.retain(|other| *other != id);
            order.orphaned_attempts += message.in_flight;
        }
        self.enqueue_next_of_key(key);
    }

    fn enqueue_next_of_key(&mut self, key: u64) {
        let Some(order) = self.order_keys.get(&key) else { return };
        if let Some(next) = order.waiting.front().copied() {
            self.enqueue(next);
        } else if order.orphaned_attempts == 0 && self.now >= order.cooldown_until {
            self.order_keys.remove(&key);
        }
    }

    /// Returns whether the message may be sent again, given its attempts so far.
    fn may_be_sent(&self, message: &Message) -> bool {
        let has_no_attempts_left =
            self.settings.max_attempts > 0 && message.attempts >= self.settings.max_attempts;
        !has_no_attempts_left && self.now < message.resendable_until()
    }

    /// Returns whether the message may be rejected. A rejection promises that sending it again is harmless.
    fn may_be_rejected(&self, message: &Message) -> bool {
        match message.class.idempotency {
            Idempotency::Idempotent | Idempotency::IdempotencyKey { scope: DeduplicationScope::All, .. } => {
                true
            }
            _ => message.possible_delivery.is_none() && message.in_flight == 0,
        }
    }

    /// Gives a message that is given up its final answer at once: a rejection if that is harmless, otherwise a failure.
    fn give_up(&mut self, id: MessageId, actions: &mut Vec<Action>) {
        let Some(message) = self.messages.get(&id) else { return };
        let rejection = Action::Reject { id, retry_after: self.retry_after(message.destination) };
        actions.push(if self.may_be_rejected(message) { rejection } else { Action::Fail { id } });
        self.remove_message(id);
    }

    /// Returns the Retry-After for a client: the time until the destination accepts calls again and has served what is
    /// queued now.
    fn retry_after(&self, id: DestinationId) -> Micros {
        let Some(destination) = self.destinations.get(&id) else { return 0 };
        let routes = destination.endpoints.iter().filter_map(|e| self.endpoints.get(e)).map(|e| e.route);
        let opens_in = routes.clone().map(|r| self.opens_at(r)).min().unwrap_or(self.now) - self.now;
        let times_per_message =
            routes.map(|r| self.routes[r].mean_latency / self.routes[r].window).fold(f64::INFINITY, f64::min);
        let queue_time = (destination.queue.len() as f64 * times_per_message) as Micros;
        let max_retry_after =
            Micros::from(self.settings.send_retry_after) * self.settings.max_retry_after.max(0);
        opens_in.saturating_add(queue_time).clamp(0, max_retry_after)
    }

    /// Decides after an attempt has ended without success: the message returns to its queue or gets a final answer.
    fn requeue_or_give_up(&mut self, id: MessageId, actions: &mut Vec<Action>) {
        let Some(message) = self.messages.get(&id) else { return };
        if message.in_flight > 0 {
            return;
        }
        if self.may_be_sent(message) && self.now < self.answer_by(message) {
            self.enqueue(id);
        } else {
            self.give_up(id, actions);
        }
    }

    /// Sheds the messages with the lowest priority, the last of the longest queue, because new messages at the limit
    /// are rejected regardless of their priority.
    fn shed_messages(&mut self, actions: &mut Vec<Action>) {
        let max_open = self
            .settings
            .max_open_messages
            .saturating_sub((self.settings.max_open_messages / RESERVE_DIVISOR).max(1))
            .max(1);
        while self.settings.max_open_messages > 0 && self.messages.len() > max_open {
            let Some(longest) = self.destinations.values().max_by_key(|d| d.queue.len()) else { return };
            let mut queued = longest.queue.iter().rev().take(QUEUE_SCAN_MESSAGES).map(|rank| rank.2);
            let message_to_shed = queued.find(|id| {
                self.messages.get(id).is_some_and(|m| !m.recovered_unsent && self.may_be_rejected(m))
            });
            let Some(message_to_shed) = message_to_shed else { return };
            self.give_up(message_to_shed, actions);
        }
    }

    fn end_attempt(&mut self, answer: &AttemptResult) {
        let (id, outcome) = (answer.id, answer.outcome);
        let Some((call_id, key)) = self.attempts.remove(&(id, answer.attempt)) else { return };
        let Some(call) = self.calls.get_mut(&call_id) else { return };
        let (endpoint, zone, sent) = (call.endpoint, call.zone, call.sent);
        call.open -= 1;
        let (all_ended, is_first_try, overdue) = (call.open == 0, call.is_first_try, call.overdue);
        let is_first_end = !std::mem::replace(&mut call.is_counted, true);
        let is_further_attempt = self.messages.get(&id).is_some_and(|m| m.stall_cancelled);
        if is_first_end
            && (is_further_attempt || call.is_stalled)
            && matches!(outcome, Outcome::Success | Outcome::Timeout)
        {
            let was_slow = if is_further_attempt { overdue } else { outcome == Outcome::Success };
            self.slow_share += SLOW_SHARE_GAIN * (f64::from(was_slow) - self.slow_share);
        }
        // Nothing is sent to a route during its Retry-After, and each message of a call may set one. The Retry-After of
        // a destination also applies to endpoints that have been added since.
        let shared =
            self.endpoints.get(&endpoint).and_then(|e| self.destinations.get(&e.destination)?.shared_route);
        for route in [Some(call.route), shared].into_iter().flatten() {
            let retry_after_until = &mut self.routes[route].retry_after_until;
            *retry_after_until =
                (*retry_after_until).max(self.now + answer.retry_after.clamp(0, MAX_REPORTED_US));
        }
        if is_first_end && outcome != Outcome::NotSent && !self.ignores_invalid_response(endpoint, outcome) {
            self.count_outcome(endpoint, sent, answer, is_first_try, overdue);
        }
        if all_ended {
            self.close_call(call_id, outcome);
        }
        let may_have_run = !matches!(
            outcome,
            Outcome::Success | Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent
        );
        let is_orphan = !self.messages.contains_key(&id);
        if let Some(message) = self.messages.get_mut(&id) {
            message.in_flight -= 1;
            message.is_first_try &= outcome == Outcome::Success;
            message.possible_delivery =
                message.possible_delivery.or(may_have_run.then_some((sent, endpoint, zone)));
        }
        let Some(key) = key else { return };
        let order = self.order_keys.entry(key).or_default();
        order.orphaned_attempts -= usize::from(is_orphan);
        if may_have_run && outcome != Outcome::Error {
            (order.cooldown_until, order.cooldown_exempt) = (self.now + self.settings.key_cooldown, id);
        }
        self.enqueue_next_of_key(key);
    }

    /// Counts invalid responses. A single one shows that the endpoint is there and serves, so it is ignored. Only
    /// several in a row, without a success between them, count as errors of the endpoint.
    fn ignores_invalid_response(&mut self, endpoint: EndpointId, outcome: Outcome) -> bool {
        let Some(listed) = self.endpoints.get_mut(&endpoint) else { return false };
        let is_invalid = outcome == Outcome::InvalidResponse;
        listed.invalid_responses =
            if outcome == Outcome::Success { 0 } else { listed.invalid_responses + u32::from(is_invalid) };
        is_invalid && listed.invalid_responses < INVALID_RESPONSES_AS_FAILURE
    }

    fn close_call(&mut self, id: CallId, outcome: Outcome) {
        let Some(call) = self.calls.remove(&id) else { return };
        let Some(listed) = self.endpoints.get_mut(&call.endpoint) else { return };
        listed.in_flight -= 1;
        let stays_open = matches!(outcome, Outcome::Success | Outcome::Error | Outcome::Rejected);
        if stays_open && listed.in_flight.is_multiple_of(self.settings.streams_per_connection.max(1)) {
            listed.idle_connections.push(self.now);
        }
        let route = &mut self.routes[call.route];
        route.in_flight -= 1;
        route.overdue -= usize::from(call.overdue);
        route.presumed_lost -= usize::from(call.presumed_lost);
        self.destinations.entry(listed.destination).or_default().in_flight -= 1;
    }

    /// Applies the outcome of one call to the window, the pauses and the health of its route.
    fn count_outcome(
        &mut self,
        endpoint: EndpointId,
        sent: Micros,
        answer: &AttemptResult,
        is_first_try: bool,
        was_overdue: bool,
    ) {
        let outcome = answer.outcome;
        let Some(listed) = self.endpoints.get_mut(&endpoint) else { return };
        let id = listed.route;
        let route = &mut self.routes[id];
        route.reported_limit = answer.reported_limit.unwrap_or(route.reported_limit);
        if outcome == Outcome::Success {
            (listed.consecutive_failures, listed.avoid_until, listed.latest_answered_sent_at) =
                (0, 0, listed.latest_answered_sent_at.max(sent));
            route.observe(answer.latency as f64);
            if is_first_try {
                route.window = (route.window * WINDOW_GROWTH)
                    .min((self.settings.max_calls as f64 * DESTINATION_SLOT_SHARE).max(1.0));
            }
            (route.backoff_span, route.backoff_until) = (0.0, 0);
            route.served.record(self.now);
            // The success of a call sent before the latest failure does not show that the route serves, unless that
            // failure is at least `overload_window` ago.
            if route
                .failure_span
                .is_none_or(|(_, last)| sent >= last || self.now - last >= self.settings.overload_window)
            {
                let is_capacity_reduced = route.present_capacity(self.now, &self.settings).is_some();
                // A fleet that is rejected all at once pauses, so no later rejection shows the outage.
                let was_rejection_outage = !route.has_errors
                    && self.settings.fleet_size > 1
                    && route.even_share(&self.settings).is_none();
                let was_rejection_outage = was_rejection_outage
                    && route.consecutive_failures >= OUTAGE_AFTER_REJECTIONS[1].0
                    && self.now - route.last_success_at >= OUTAGE_AFTER_REJECTIONS[1].1;
                let starts_ramp = was_rejection_outage
                    || route.health == RouteHealth::Ejected
                    || is_capacity_reduced && route.failure_span.is_some();
                (route.consecutive_failures, route.timeouts, route.has_errors, route.last_success_at) =
                    (0, 0, false, self.now);
                let first_failure_at = route.failure_span.take().map_or(self.now, |(first, _)| first);
                if starts_ramp {
                    route.served.exclude(self.now - first_failure_at);
                    self.start_warm_up(id);
                }
            }
            return;
        }
        route.failure_span = Some((route.failure_span.map_or(self.now, |(first, _)| first), self.now));
        if outcome == Outcome::Rejected && route.health == RouteHealth::Healthy {
            // The saved-up calls are discarded, and forwarders that are rejected together do not return together.
            let saved = |rate| route.pace_bucket.available(self.now, rate, max_multiple(&self.settings));
            let saved = route.paced_rate(&self.settings).map_or(0.0, saved);
            route.take_pace_tokens(self.now, &self.settings, saved.max(0.0) + self.rng.uniform());
            route.pace_multiple = (route.pace_multiple * MULTIPLE_DECREASE).max(MIN_MULTIPLE);
        }
        let was_at_floor = route.window < 2.0;
        route.window = (route.window * WINDOW_DECREASE).max(1.0);
        let was_not_executed = matches!(outcome, Outcome::Rejected | Outcome::ConnectFailed);
        // If no limit is known, only failed connections hold a fleet back from a route that refuses them.
        route.has_errors |=
            !was_not_executed || outcome != Outcome::Rejected && route.paced_rate(&self.settings).is_none();
        route.consecutive_failures += u32::from(!was_overdue);
        route.timeouts += u32::from(outcome == Outcome::Timeout);
        if was_at_floor
            && outcome != Outcome::Timeout
            && (was_not_executed || route.consecutive_failures >= 2)
        {
            // The halving continues below one call: the next call is drawn from a span, so a fleet that failed together
            // does not return together, and fewer rejected calls use up a limit that others share. From the second
            // failure on, the span keeps to this forwarder's part of a cold budget (`call_budget`); after the first it
            // is half that. The maximum is twice that span if a limit is known, otherwise two message lifetimes.
            let longest_lifetime =
                self.settings.classes.iter().map(|c| c.deadline).fold(MIN_BACKOFF_US, Micros::max) as f64;
            let capacity = (BUDGET_FRACTION / WINDOW_DECREASE
                * self.settings.overload_factor
                * self.settings.cold_capacity_share)
                .clamp(0.1, 1.0);
            let min_span = (SECOND as f64 / capacity / route.own_share(self.now, &self.settings).max(1e-3))
                .min(longest_lifetime);
            let max_span = if route.paced_rate(&self.settings).is_some() {
                4.0 * min_span
            } else {
                2.0 * longest_lifetime
            };
            route.backoff_span = (route.backoff_span / WINDOW_DECREASE).clamp(min_span, max_span);
            route.backoff_until = self.now + (self.rng.uniform() * route.backoff_span) as Micros;
        } else if outcome != Outcome::Timeout {
            let backoff =
                (MIN_BACKOFF_US << (route.consecutive_failures.saturating_sub(1)).min(8)).min(MAX_BACKOFF_US);
            // A Retry-After is enough for a small fleet. In a large fleet the forwarders with the same Retry-After are
            // spread after it.
            let others = f64::from(self.settings.fleet_size.saturating_sub(1));
            let spread = backoff as f64 * others / (others + HALF_SPREAD_FLEET_SIZE);
            route.backoff_until = self.now
                + match answer.retry_after {
                    ..=0 => self.rng.jitter(backoff),
                    retry_after => retry_after.min(MAX_REPORTED_US) + (spread * self.rng.uniform()) as Micros,
                };
        }
        if outcome != Outcome::Rejected {
            listed.consecutive_failures += 1;
            listed.avoid_until = self.now + self.rng.jitter(SECOND << listed.consecutive_failures.min(4));
        }
        route.update_outage_state(self.now, &self.settings);
    }

    /// Starts the ramp at the first success after an outage. Calls still in flight are presumed lost.
    fn start_warm_up(&mut self, id: RouteId) {
        let route = &mut self.routes[id];
        route.health = RouteHealth::WarmingUp(self.now);
        for call in self.calls.values_mut().filter(|c| c.route == id && !c.is_counted && !c.presumed_lost) {
            call.presumed_lost = true;
            route.presumed_lost += 1;
        }
    }

    fn run_timers(&mut self, actions: &mut Vec<Action>) {
        while let Some(&(at, id)) = self.message_timers.first()
            && at <= self.now
        {
            self.message_timers.pop_first();
            let Some(message) = self.messages.get(&id) else { continue };
            if self.now >= self.answer_by(message) {
                // The final answer is due. Attempts in flight end by themselves, because their time-outs are limited by
                // the deadline.
                self.give_up(id, actions);
            } else if message.rank.is_some() {
                if self.may_be_sent(message) { self.rank(id) } else { self.give_up(id, actions) }
            } else {
                self.enqueue(id);
            }
        }
        while let Some(&(at, id)) = self.call_timers.first()
            && at <= self.now
        {
            self.call_timers.pop_first();
            self.cancel_if_stalled(id, actions);
            // An overdue call makes its route faulty before it times out.
            let Some(call) = self.calls.get_mut(&id).filter(|c| !c.is_counted) else { continue };
            self.call_timers.insert((self.now + MIN_OVERDUE_US / 2, id));
            if !std::mem::replace(&mut call.overdue, true) {
                let route = &mut self.routes[call.route];
                route.overdue += 1;
                route.consecutive_failures += 1;
                route.has_errors = true;
                route.update_outage_state(self.now, &self.settings);
            }
        }
    }

    /// Cancels a stalled call if that helps and its message may be sent again. This frees its slot.
    fn cancel_if_stalled(&mut self, id: CallId, actions: &mut Vec<Action>) {
        let Some(call) = self.calls.get_mut(&id).filter(|c| !c.is_counted) else { return };
        let halfway = call.sent + (self.now - call.sent) / 2;
        call.is_stalled =
            self.endpoints.get(&call.endpoint).is_some_and(|listed| listed.latest_answered_sent_at > halfway);
        let Some(id) = call.only_message else { return };
        let Some(message) = self.messages.get_mut(&id) else { return };
        let is_first = message.attempts == 1 && self.settings.max_attempts != 1;
        let may_replace = is_first && message.class.idempotency != Idempotency::NonIdempotent;
        if call.is_stalled && may_replace && self.settings.allow_cancel && self.slow_share < MAX_SLOW_SHARE {
            (call.is_counted, message.stall_cancelled) = (true, true);
            actions.push(Action::Cancel { id, attempt: 0 });
        }
    }

    fn set_timer(&mut self, actions: &mut Vec<Action>) {
        let mut next = self.message_timers.first().map_or(Micros::MAX, |w| w.0);
        next = next.min(self.call_timers.first().map_or(Micros::MAX, |w| w.0));
        let waiting = self.destinations.values().filter(|d| !d.queue.is_empty());
        let openings = waiting.flat_map(|d| &d.endpoints).map(|e| self.opens_at(self.endpoints[e].route));
        next = openings.filter(|at| *at > self.now).fold(next, Micros::min);
        if next < self.timer_at {
            self.timer_at = next.max(self.now + 1);
            self.last_number += 1;
            actions.push(Action::Timer { delay: self.timer_at - self.now, token: self.last_number });
        }
    }

    /// Returns when Retry-After, backoff, pace and budget allow the next call. The window may still be full at that
    /// time.
    fn opens_at(&self, id: RouteId) -> Micros {
        let route = &self.routes[id];
        let budget_at = match self.call_budget(id) {
            Some(calls) if calls < 1.0 && route.won_at != Some(self.now) => route.draw_at.max(self.now + 1),
            Some(calls) if calls >= 1.0 && route.recent_calls.len() >= calls as usize => {
                route.recent_calls[route.recent_calls.len() - calls as usize] + self.settings.overload_window
            }
            _ => self.now,
        };
        let paced_at = route
            .paced_rate(&self.settings)
            .map_or(self.now, |rate| route.pace_bucket.opens_at(self.now, rate));
        route.retry_after_until.max(route.backoff_until).max(budget_at).max(paced_at).max(self.now)
    }

    /// Returns the calls that this forwarder may send to an ejected or cold route in any span of `overload_window`. A
    /// route serves no more than its capacity, so the shares (`own_share`) of all forwarders add up to no more than
    /// that. The budgets, each a share of `overload_factor` x present capacity x `overload_window`, therefore add up to
    /// no more than the route can take, whichever forwarder has the messages, and for first attempts and retries alike.
    /// The capacity counts as cold until a success that was sent after the failures, and grows from then on; the actual
    /// recovery came earlier.
    fn call_budget(&self, id: RouteId) -> Option<f64> {
        let (route, settings) = (&self.routes[id], &self.settings);
        let present_capacity = route.present_capacity(self.now, settings)?;
        let rate = settings.overload_factor * present_capacity * route.own_share(self.now, settings);
        Some(BUDGET_FRACTION * rate * settings.overload_window as f64 / SECOND as f64)
    }

    /// Draws twice in `overload_window` whether a call may be sent if the budget is below one call. Draws that a pause
    /// leaves out are not made later.
    fn draw_slow_start_calls(&mut self) {
        let waiting = self.destinations.values().filter(|d| !d.queue.is_empty());
        for id in waiting.flat_map(|d| &d.endpoints).map(|e| self.endpoints[e].route).collect::<Vec<_>>() {
            if let Some(calls) = self.call_budget(id).filter(|_| self.routes[id].draw_at <= self.now) {
                self.routes[id].draw_at = self.now + (self.settings.overload_window / 2).max(1);
                self.routes[id].won_at = (self.rng.uniform() < calls / 2.0).then_some(self.now);
            }
        }
    }

    /// Returns whether the route's window and state allow one more call.
    fn has_room(&self, id: RouteId, destination: &Destination) -> bool {
        let route = &self.routes[id];
        let faulty_limit = ((self.settings.max_calls as f64 * FAULTY_SLOT_SHARE) as usize).max(1);
        let limit = if route.is_faulty() {
            faulty_limit
        } else {
            ((self.settings.max_calls as f64 * DESTINATION_SLOT_SHARE) as usize).max(1)
        };
        let faulty_calls =
            || self.routes.iter().filter(|r| r.is_faulty()).map(|r| r.in_flight).sum::<usize>();
        // A call in flight when the forwarder stops may have been executed, and a non-idempotent message would be lost
        // with it.
        let outlasts_shutdown = self.shutdown_at.is_some_and(|at| self.now + route.overdue_after() > at);
        let is_full = outlasts_shutdown
            || destination.in_flight >= limit
            || (route.is_faulty() && faulty_calls() >= faulty_limit);
        if is_full || self.opens_at(id) > self.now {
            return false;
        }
        if route.health == RouteHealth::Ejected {
            return route.in_flight <= route.overdue;
        }
        route.in_flight - route.presumed_lost < route.window as usize
    }

    /// Returns whether an endpoint takes a call now. A draining or removed endpoint gets no new calls from the time of
    /// the event. A partial batch waits while a call is in flight (as in Nagle's algorithm), because many small calls
    /// use up a limit that other forwarders share. If no limit is reached, the wait may cost one service time.
    fn takes_call(&self, listed: &Endpoint, destination: &Destination) -> bool {
        let route = &self.routes[listed.route];
        let is_idle = route.in_flight <= route.overdue.max(route.presumed_lost);
        let is_batch_due = is_idle || destination.queue.len() >= listed.kind.max_batch;
        listed.accepts_calls
            && !listed.is_excluded
            && is_batch_due
            && self.has_room(listed.route, destination)
    }

    fn has_connection(&self, listed: &Endpoint) -> bool {
        !listed.in_flight.is_multiple_of(self.settings.streams_per_connection.max(1))
            || listed
                .idle_connections
                .last()
                .is_some_and(|since| self.now - since < self.settings.idle_timeout)
    }

    /// Iterates over the endpoints to which a message may go now: they take a call, and the attempts so far allow them.
    fn eligible_endpoints<'a>(
        &'a self,
        message: &'a Message,
    ) -> impl Iterator<Item = (EndpointId, &'a Endpoint)> {
        let destination = self.destinations.get(&message.destination).filter(|_| self.may_be_sent(message));
        destination.into_iter().flat_map(move |d| {
            let listed_endpoints = d.endpoints.iter().map(|id| (*id, &self.endpoints[id]));
            listed_endpoints.filter(move |(id, listed)| {
                self.takes_call(listed, d) && self.is_endpoint_allowed(message, *id, listed)
            })
        })
    }

    /// Chooses the endpoint with the lowest cost. Chance alone would choose in proportion to capacity.
    fn choose_endpoint(&mut self, message: MessageId) -> Option<EndpointId> {
        let mut draws = self.rng.clone();
        let message = self.messages.get(&message)?;
        let spread =
            SPREAD_COST / (1.0 + HALF_SPREAD_FLEET_SIZE / f64::from(self.settings.fleet_size.max(1)));
        let costs = self.eligible_endpoints(message).map(|(id, listed)| {
            let chance = -draws.uniform().max(1e-9).ln() / self.routes[listed.route].capacity_hint.max(1e-3);
            (self.cost(listed) + spread * chance.max(1e-9).ln(), id)
        });
        let cheapest = costs.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, id)| id);
        self.rng = draws;
        cheapest
    }

    /// Returns the cost of a call to an endpoint in points: connection, zone, latency, calls in flight and faults.
    fn cost(&self, listed: &Endpoint) -> f64 {
        let (route, settings) = (&self.routes[listed.route], &self.settings);
        let takes_last_slot = f64::from(self.calls.len() + 1 >= settings.max_calls);
        let slot_cost = takes_last_slot * LAST_SLOT_COST_PER_SECOND * self.messages.len() as f64
            / settings.max_calls as f64;
        let mean_latency = if route.last_success_at == 0 { 0.0 } else { route.mean_latency };
        let (needs_connection, is_cross_zone) = (!self.has_connection(listed), listed.zone != settings.zone);
        let zone_cost = settings.zone_costs.get(listed.zone).copied().unwrap_or(0.0);
        f64::from(needs_connection) * settings.handshake_cost
            + f64::from(is_cross_zone) * settings.cross_zone_cost
            + f64::from(listed.kind.separate_routes)
                * (zone_cost + (LATENCY_COST_PER_SECOND + slot_cost) * mean_latency / SECOND as f64)
            + IN_FLIGHT_COST * listed.in_flight as f64
            + f64::from(route.is_faulty())
            + f64::from(listed.avoid_until > self.now || listed.status == HealthStatus::Warning)
    }

    /// Returns whether a message may go to an endpoint. A message with an idempotency key that may have been executed
    /// goes only to endpoints that drop its repeat.
    fn is_endpoint_allowed(&self, message: &Message, id: EndpointId, listed: &Endpoint) -> bool {
        let Some((_, first_endpoint, first_zone)) = message.possible_delivery else { return true };
        match message.class.idempotency {
            Idempotency::IdempotencyKey { scope: DeduplicationScope::Zone, .. } => {
                first_zone == listed.zone && (first_zone != UNKNOWN_ZONE || first_endpoint == id)
            }
            Idempotency::IdempotencyKey { scope: DeduplicationScope::Endpoint, .. } => first_endpoint == id,
            _ => true,
        }
    }

    /// Returns the first message of a queue that can be sent now.
    fn first_sendable(&self, destination: &Destination) -> Option<Rank> {
        if !destination.endpoints.iter().any(|e| self.takes_call(&self.endpoints[e], destination)) {
            return None;
        }
        let mut scanned = destination.queue.iter().take(QUEUE_SCAN_MESSAGES);
        let can_be_sent = |rank: &&Rank| {
            self.messages.get(&rank.2).is_some_and(|m| self.eligible_endpoints(m).next().is_some())
        };
        scanned.find(can_be_sent).copied()
    }

    fn send_ready_messages(&mut self, actions: &mut Vec<Action>) {
        self.draw_slow_start_calls();
        while self.calls.len() < self.settings.max_calls {
            let next = self.destinations.values().filter(|d| !d.queue.is_empty());
            let Some((_, _, id)) = next.filter_map(|d| self.first_sendable(d)).min() else { return };
            let Some(endpoint) = self.choose_endpoint(id) else { return };
            self.send_call(id, endpoint, actions);
        }
    }

    /// Sends one call to an endpoint: the given message, and others of its queue up to the greatest batch of a call.
    fn send_call(&mut self, first: MessageId, endpoint: EndpointId, actions: &mut Vec<Action>) {
        let Some(listed) = self.endpoints.get(&endpoint) else { return };
        let is_trial = self.routes[listed.route].health == RouteHealth::Ejected;
        let max_messages = if is_trial { 1 } else { listed.kind.max_batch };
        let queue = self.destinations.get(&listed.destination).map(|d| &d.queue);
        let others = queue.into_iter().flatten().map(|rank| rank.2).filter(|id| *id != first);
        let allowed = |m: &Message| self.may_be_sent(m) && self.is_endpoint_allowed(m, endpoint, listed);
        let others = others
            .take(QUEUE_SCAN_MESSAGES.max(max_messages))
            .filter(|id| self.messages.get(id).is_some_and(allowed));
        let batch: Vec<MessageId> = std::iter::once(first).chain(others).take(max_messages).collect();
        self.open_call(endpoint, &batch);
        for id in batch {
            self.send_attempt(id, endpoint, actions);
        }
    }

    fn open_call(&mut self, endpoint: EndpointId, batch: &[MessageId]) {
        let is_first_try = batch.iter().all(|id| self.messages.get(id).is_some_and(|m| m.is_first_try));
        let Some(listed) = self.endpoints.get_mut(&endpoint) else { return };
        if listed.in_flight.is_multiple_of(self.settings.streams_per_connection.max(1)) {
            listed.idle_connections.retain(|since| self.now - since < self.settings.idle_timeout);
            listed.idle_connections.pop();
        }
        listed.in_flight += 1;
        self.destinations.entry(listed.destination).or_default().in_flight += 1;
        let route = &mut self.routes[listed.route];
        route.in_flight += 1;
        let counted_calls = 1 + batch.len() / 5;
        route.recent_calls.extend(std::iter::repeat_n(self.now, counted_calls));
        route.take_pace_tokens(self.now, &self.settings, 1.0);
        route.draw_at = self.now + counted_calls as Micros * self.settings.overload_window / 2;
        route.won_at = None;
        let expired = route.recent_calls.partition_point(|at| self.now - at >= self.settings.overload_window);
        route.recent_calls.drain(..expired);
        self.last_number += 1;
        self.call_timers.insert((self.now + route.overdue_after(), self.last_number));
        let (route, zone, sent) = (listed.route, listed.zone, self.now);
        let only_message = batch.first().copied().filter(|_| batch.len() == 1);
        let call = Call {
            endpoint,
            route,
            zone,
            sent,
            open: batch.len(),
            is_first_try,
            only_message,
            ..Call::default()
        };
        self.calls.insert(self.last_number, call);
    }

    fn send_attempt(&mut self, id: MessageId, endpoint: EndpointId, actions: &mut Vec<Action>) {
        self.unqueue(id);
        let Some(route) = self.endpoints.get(&endpoint).map(|e| e.route) else { return };
        let Some(message) = self.messages.get(&id) else { return };
        let time_left = (message.deadline - self.now - self.settings.tick - SCHEDULING_MARGIN_US).max(1);
        // The call of a non-idempotent message has a time-out too. The time-out makes the message fail, but without it
        // a hanging call would occupy its slot.
        let mut timeout = self.routes[route].timeout().min(time_left);
        let overdue_after = self.routes[route].overdue_after();
        // The first attempt ends in time for its repeat at another endpoint, unless the route is usually that slow.
        if let Idempotency::IdempotencyKey { window, .. } = message.class.idempotency
            && message.possible_delivery.is_none()
        {
            let in_time = window - REPEAT_MARGIN_US - self.settings.tick - REPEAT_LEAD_US;
            let attempts_left =
                self.settings.max_attempts == 0 || message.attempts + 1 < self.settings.max_attempts;
            let first = &self.endpoints[&endpoint];
            let tried = Message {
                possible_delivery: Some((self.now, endpoint, first.zone)),
                class: message.class.clone(),
                ..Message::default()
            };
            let elsewhere = || {
                self.destinations.get(&message.destination).is_some_and(|destination| {
                    destination.endpoints.iter().any(|id| {
                        let other = &self.endpoints[id];
                        *id != endpoint
                            && other.accepts_calls
                            && !other.is_excluded
                            && self.is_endpoint_allowed(&tried, *id, other)
                    })
                })
            };
            let is_usual_timeout = in_time >= overdue_after && in_time >= MIN_TIMEOUT_US;
            if is_usual_timeout && in_time < timeout && attempts_left && elsewhere() {
                timeout = in_time;
            }
        }
        let Some(message) = self.messages.get_mut(&id) else { return };
        self.attempts.insert((id, message.attempts), (self.last_number, message.key));
        message.attempts += 1;
        message.in_flight += 1;
        actions.push(Action::Send { id, endpoint, timeout });
    }
}

/// Returns the weight that a message loses by being late.
fn delay_loss(class: &Class) -> f64 {
    class.priority_weight * (1.0 - class.late_weight_share)
}

/// Returns the highest multiple of the even share at which a route is paced, which is also the most calls saved up.
fn max_multiple(settings: &Settings) -> f64 {
    1.0 + EXTRA_SHARES / f64::from(settings.fleet_size.max(1))
}
