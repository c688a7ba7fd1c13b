//! The reference controller: all decisions of a forwarder in one module. Its types are those of `interface.rs`. Usually
//! the adaptive window of the paper (`docs/design.md`) limits the calls in flight on each route: a success at the first
//! attempt increases it, a failure or rejection halves it.

use orchidyoke_core::interface::*;
use orchidyoke_core::rng::SeededRng;
use orchidyoke_core::traffic::{RateEstimator, TokenBucket};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

const SECOND: Micros = 1_000_000;
/// Longest time span accepted from outside, about 11 days. A sum of a few such spans does not overflow.
const LONGEST: Micros = 1_000_000 * SECOND;
/// Factor by which a success at the first attempt increases a window (paper: ten percent).
const GROW: f64 = 1.1;
/// Factor by which a failure or rejection decreases a window (paper: half, at once).
const SHRINK: f64 = 0.5;
/// Share of the call slots that one destination may hold (design: three quarters).
const CAP: f64 = 0.75;
/// Share of the call slots for a faulty destination, and for all faulty destinations together (design: one half).
const SICK_CAP: f64 = 0.5;
/// Number of invalid responses of one endpoint, without a success between them, from which they count as its errors.
const SPOILT_STREAK: u32 = 3;
/// Number of failures without a success, and time without a success, that mean an outage. A route that fails or rejects
/// only some of its calls is not down.
const OUTAGE: (u32, Micros) = (3, 1_500_000);
/// The same if all calls were rejected: without and with a known limit. A route over its limit rejects many calls too.
const SHUT: [(u32, Micros); 2] = [(3, 4 * SECOND), (8, 6 * SECOND)];
/// A call is overdue after the mean latency plus this many mean deviations (four, as in TCP's RTO).
const DEVIATIONS: f64 = 4.0;
/// Latency assumed before the first answer, in microseconds: that of a slow system, and a handshake.
const UNKNOWN_USUAL: f64 = 600_000.0;
/// Shortest overdue time. Short pauses of a busy system are not a fault.
const OVERDUE_MIN: Micros = 600_000;
/// A call is stalled if it is overdue while its endpoint answers calls sent later: its connection is dead, or its
/// message takes long. The ends of such calls and of their retries show which. Stalled calls are cancelled while less
/// than this share of them are slow messages.
const ALONE_LONG: f64 = 0.3;
/// Gain of that share: one slow message stops the cancelling until a connection turns out to be dead.
const ALONE_WEIGHT: f64 = 0.4;
/// Time for which a forwarder with part of a core may be descheduled. Everything with a deadline ends earlier by this
/// time.
const STALL: Micros = 50_000;
/// Bounds of a time-out. With a lower bound a pause would look like a hang; with a higher one a hanging call would hold
/// its slot for too long.
const TIMEOUT_MIN: Micros = 1_500_000;
const TIMEOUT_MAX: Micros = 6 * SECOND;
/// Time-out as a multiple of the overdue time. It doubles with each consecutive time-out (as TCP's backoff).
const TIMEOUT_OVER_OVERDUE: f64 = 2.0;
/// A rough capacity hint may be half too high, so the capacity is at least this fraction of it.
const ROUGH: f64 = 0.67;
/// First and longest backoff after a failure without a Retry-After; it doubles with each consecutive failure.
const PAUSE_FIRST: Micros = 150_000;
const PAUSE_LAST: Micros = 2 * SECOND;
/// Fraction of the slow-start budget that is used. The rest is a margin for chance: draws scatter, and handshakes
/// coincide.
const BUDGET_SHARE: f64 = 0.8;
/// The limit on open messages divided by this is kept free, because new messages at the limit are rejected regardless
/// of their priority.
const SPARE_ROOM: usize = 16;
/// Number of queued messages that are examined for one that can be sent now; bounds the work of a step.
const LOOK: usize = 24;
/// Costs in points of a second of a route's mean latency, and of a call in flight, in the comparison of endpoints.
const SECOND_COST: f64 = 0.05;
const LOAD_COST: f64 = 0.01;
/// Cost of that second if the call takes the last slot, for each open message per slot, because all of them wait
/// longer.
const SLOT_COST: f64 = 0.25;
/// Weight of chance in a large fleet, in points, and the fleet size at which it has half of that weight. Otherwise
/// hundreds of forwarders that see the same costs would choose the same endpoint while others are idle. In a small
/// fleet the windows prevent this.
const SPREAD_COST: f64 = 0.05;
const SPREAD_FLEET: f64 = 16.0;

/// A route with a share below one call in flight is paced at a multiple of the even share of the limit. A rejection
/// reduces the multiple by two fifths. It grows by half in each second, up to one plus `EXTRA_SHARES` divided by the
/// fleet size. As many calls can be saved up, because in a small fleet one forwarder may have nearly all of the
/// traffic.
const PACE_SHRINK: f64 = 0.6;
const PACE_LEAST: f64 = 0.25;
const PACE_GROW: f64 = 1.5;
const PACE_FLEET: f64 = 8.0;

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
    aim_at: Micros,
    deadline: Micros,
    first_try: bool,
    kept_untried: bool,
    attempts: u32,
    out: usize,
    called_off: bool,
    /// Send time, endpoint and zone of the first attempt that may have been executed.
    may_have_run: Option<(Micros, EndpointId, usize)>,
    rank: Option<Rank>,
}

impl Message {
    /// Returns until when the message may be sent, which depends on its idempotency and on the first attempt that may
    /// have been executed.
    fn repeats_until(&self) -> Micros {
        match (self.may_have_run, self.class.idempotency) {
            (None, _) | (_, Idempotency::Idempotent) => Micros::MAX,
            (Some((sent, ..)), Idempotency::IdempotencyKey { window, .. }) => {
                sent.saturating_add(window) - STALL
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
    clean: bool,
    judged: bool,
    overdue: bool,
    /// The message if the call has only one.
    only: Option<MessageId>,
    alone: bool,
    written_off: bool,
}

/// The messages of one order key that have no final answer, in order of arrival, and the number of attempts in flight
/// of the others.
#[derive(Debug, Default)]
struct KeyLine {
    line: VecDeque<MessageId>,
    strays: usize,
    quiet_until: Micros,
    quiet_for: MessageId,
}

#[derive(Debug, Default)]
struct Endpoint {
    destination: DestinationId,
    route: RouteId,
    zone: usize,
    kind: DestinationKind,
    usable: bool,
    /// Whether it is no longer in the list.
    gone: bool,
    /// Result of its health checks, and whether they exclude it because another endpoint passes.
    report: HealthStatus,
    passed_over: bool,
    in_flight: usize,
    idle: Vec<Micros>,
    streak: u32,
    /// Send time of the latest sent call that succeeded.
    answered: Micros,
    /// Number of invalid responses since the last success.
    spoilt: u32,
    avoid_until: Micros,
}

#[derive(Debug, Default)]
struct Destination {
    endpoints: Vec<EndpointId>,
    shared: Option<RouteId>,
    queue: BTreeSet<Rank>,
    in_flight: usize,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
enum Health {
    #[default]
    Good,
    Out,
    Warming(Micros),
}

/// One route (a destination, or an endpoint if its endpoints are separate routes): its window, pace and health.
#[derive(Debug, Default)]
struct Route {
    window: f64,
    /// The span from which the next call is drawn after rejections, as a window below one call; 0 if none is needed.
    gap: f64,
    /// The pace as a multiple of the even share, and the calls that may be sent now.
    pace: f64,
    bucket: TokenBucket,
    in_flight: usize,
    /// Number of calls in flight that are overdue, and of those presumed lost when the route recovered.
    overdue: usize,
    written_off: usize,
    health: Health,
    /// Number of failures since the last success, and whether one of them was more than a rejection.
    streak: u32,
    failing: bool,
    timeouts: u32,
    last_ok: Micros,
    wait_until: Micros,
    pause_until: Micros,
    usual: f64,
    deviation: f64,
    weight: f64,
    limit: f64,
    /// Times of the calls in the last `overload_window`.
    sends: VecDeque<Micros>,
    /// Rate of the calls served; it starts with one call.
    served: RateEstimator,
    /// Times of the first and the latest failure since the last success.
    pushed: Option<(Micros, Micros)>,
    /// For a budget below one call: the time of the next draw, and the time of the last draw if it allows a call in
    /// that step.
    draw_at: Micros,
    drawn: Option<Micros>,
    /// Whether no endpoint of it passes its health checks.
    unfit: bool,
}

impl Route {
    fn new(now: Micros, saved: f64) -> Self {
        let (usual, deviation) = (UNKNOWN_USUAL, UNKNOWN_USUAL / 2.0);
        let (served, bucket) = (RateEstimator::starting(1.0, now), TokenBucket::starting(saved, now));
        Route { window: 1.0, pace: 1.0, bucket, usual, deviation, served, ..Route::default() }
    }

    /// Returns whether the route is failing or slow: ejected, with consecutive failures, or with an overdue call.
    fn sick(&self) -> bool {
        self.health == Health::Out || self.streak >= 2 || self.overdue > 0
    }

    fn overdue_after(&self) -> Micros {
        ((self.usual + DEVIATIONS * self.deviation) as Micros).max(OVERDUE_MIN)
    }

    /// Returns the time-out, which follows the observed latency and has a backoff.
    fn timeout(&self) -> Micros {
        let grown = TIMEOUT_OVER_OVERDUE * self.overdue_after() as f64 * f64::from(1 << self.timeouts.min(2));
        (grown as Micros).clamp(TIMEOUT_MIN, TIMEOUT_MAX)
    }

    fn observe(&mut self, took: f64) {
        if self.last_ok == 0 {
            (self.usual, self.deviation) = (took, took / 2.0);
        }
        self.deviation += 0.25 * ((took - self.usual).abs() - self.deviation);
        self.usual += 0.125 * (took - self.usual);
    }

    /// Returns this forwarder's share of the route's capacity, in calls a second: the rate at which it was served
    /// before the first failure (starting with one call, so that every forwarder may try). If a capacity is known, this
    /// is averaged with the even share.
    fn share(&self, now: Micros, set: &Settings) -> f64 {
        let own = self.served.rate(self.pushed.map_or(now, |(first, _)| first));
        self.even_part(set).map_or(own, |even| (own + even) / 2.0)
    }

    /// Returns the known capacity divided evenly among the fleet, in calls a second.
    fn even_part(&self, set: &Settings) -> Option<f64> {
        let told = match set.capacity_hints {
            CapacityHints::None => self.limit,
            CapacityHints::Nominal => self.weight,
            CapacityHints::Rough => self.weight * ROUGH,
        };
        Some(told / f64::from(set.fleet_size.max(1))).filter(|even| *even > 0.0)
    }

    /// Returns the paced rate if the even share is below one call in flight: with all windows at their floor the fleet
    /// would exceed the capacity.
    fn paced(&self, set: &Settings) -> Option<f64> {
        let floors = |even: &f64| set.fleet_size > 1 && even * self.usual < SECOND as f64;
        self.even_part(set).filter(floors).map(|even| even * self.pace)
    }

    fn pay(&mut self, now: Micros, set: &Settings, calls: f64) {
        let Some(rate) = self.paced(set) else { return };
        self.pace = (self.pace * PACE_GROW.powf(self.bucket.seconds_since_take(now))).min(most_parts(set));
        self.bucket.take(now, rate, most_parts(set), calls);
    }

    /// Ejects the route if failures without a success between them mean an outage.
    fn mind_outage(&mut self, now: Micros, set: &Settings) {
        let (streak, silence) =
            if self.failing { OUTAGE } else { SHUT[usize::from(self.paced(set).is_some())] };
        if self.streak >= streak && now - self.last_ok >= silence {
            self.health = Health::Out;
        }
    }

    /// Returns the present capacity of the route as a share of the full one; `None` if slow start does not limit it.
    fn sure_part(&self, now: Micros, set: &Settings) -> Option<f64> {
        let warm = match self.health {
            Health::Warming(since) if now - since >= set.warm_up_time => return None,
            Health::Warming(since) if self.pushed.is_none() => now - since,
            Health::Warming(_) | Health::Out => 0,
            Health::Good => return None,
        };
        Some(
            set.cold_capacity_share
                + (1.0 - set.cold_capacity_share) * warm as f64 / set.warm_up_time.max(1) as f64,
        )
    }
}

/// The controller of one forwarder. See [`Controller::step`].
#[derive(Debug, Default)]
pub struct Controller {
    set: Settings,
    dice: SeededRng,
    now: Micros,
    messages: BTreeMap<MessageId, Message>,
    /// Messages with an attempt that ended in this step and about which no decision has been made yet.
    unsettled: Vec<MessageId>,
    attempts: BTreeMap<(MessageId, u32), (CallId, Option<u64>)>,
    calls: BTreeMap<CallId, Call>,
    next_call: CallId,
    keys: BTreeMap<u64, KeyLine>,
    destinations: BTreeMap<DestinationId, Destination>,
    endpoints: BTreeMap<EndpointId, Endpoint>,
    routes: Vec<Route>,
    message_wakes: BTreeSet<(Micros, MessageId)>,
    call_wakes: BTreeSet<(Micros, CallId)>,
    timer_at: Micros,
    /// Share of the stalled calls whose message was slow.
    long: f64,
    /// When the forwarder stops; `None` if it is not shutting down.
    closes_at: Option<Micros>,
}

impl Controller {
    /// Creates a controller without any state; `seed` determines all its random draws.
    pub fn new(settings: Settings, seed: u64) -> Self {
        Controller {
            set: settings,
            dice: SeededRng::new(seed),
            timer_at: Micros::MAX,
            ..Controller::default()
        }
    }

    /// Returns the routes that are ejected, failing or warming up, for [`Event::RouteState`]. If a restart lost them,
    /// messages that waited for them would overload a cold destination. A separate route is named by its endpoint.
    pub fn troubled(&self) -> BTreeSet<RouteRef> {
        let troubled = |route: &Route| match route.health {
            Health::Out => true,
            Health::Warming(since) => self.now - since < self.set.warm_up_time,
            Health::Good => route.failing && route.streak >= 2,
        };
        let route_id = |destination, endpoint| RouteRef { destination, endpoint };
        let apart = self.endpoints.iter().filter(|(_, place)| place.kind.separate_routes);
        let apart = apart.map(|(id, place)| (route_id(place.destination, Some(*id)), place.route));
        // A faulty destination may have no endpoint now.
        let shared =
            self.destinations.iter().filter_map(|(id, d)| d.shared.map(|r| (route_id(*id, None), r)));
        apart.chain(shared).filter(|(_, route)| troubled(&self.routes[*route])).map(|(id, _)| id).collect()
    }

    /// Returns the random number generator in its current state.
    pub fn dice(&self) -> &SeededRng {
        &self.dice
    }

    /// Returns whether an endpoint gets only trial calls or no calls now.
    pub fn avoids(&self, id: EndpointId) -> bool {
        let avoided = |e: &Endpoint| !e.usable || e.passed_over || self.routes[e.route].health == Health::Out;
        self.endpoints.get(&id).is_none_or(avoided)
    }

    /// Applies all events of a step, then decides once. `now` must not decrease from one step to the next.
    pub fn step(&mut self, now: Micros, events: &[Event], actions: &mut Vec<Action>) {
        self.now = now;
        events.iter().for_each(|event| self.take_in(event));
        std::mem::take(&mut self.unsettled).into_iter().for_each(|id| self.go_on_with(id, actions));
        self.run_wakes(actions);
        self.make_room(actions);
        self.send_all(actions);
        self.forget_gone();
        self.set_timer(actions);
    }

    fn take_in(&mut self, event: &Event) {
        match event {
            Event::Message {
                id, destination, class, order_key: key, time_left, is_retry: repeat, ..
            } => {
                let class = self.set.classes.get(*class).cloned().unwrap_or_default();
                let deadline = self.now + (*time_left).clamp(-LONGEST, LONGEST);
                let message = Message {
                    destination: *destination,
                    key: key.filter(|_| class.keep_order),
                    aim_at: deadline.saturating_sub(class.deadline).saturating_add(class.latency_objective),
                    deadline,
                    first_try: !repeat,
                    class,
                    ..Message::default()
                };
                if let Some(key) = message.key {
                    self.keys.entry(key).or_default().line.push_back(*id);
                }
                self.message_wakes.insert((self.last_call_for(&message), *id));
                self.messages.insert(*id, message);
                self.enqueue(*id);
            }
            Event::AttemptHistory { id, attempts, possible_delivery: may_have_run } => {
                let Some(message) = self.messages.get_mut(id) else { return };
                (message.attempts, message.first_try) = (*attempts, *attempts == 0 && message.first_try);
                message.kept_untried = *attempts == 0;
                message.may_have_run = may_have_run.map(|p| (self.now - p.sent_ago, p.endpoint, p.zone));
                self.unsettled.push(*id);
            }
            Event::RouteState { destination: id, endpoint, begins_cold: out, retry_after: wait } => {
                let places = self.destinations.get(id).map_or(&[][..], |d| &d.endpoints).iter();
                let meant = places.filter(|place| endpoint.is_none_or(|only| only == **place));
                let mut routes: Vec<RouteId> = meant.map(|e| self.endpoints[e].route).collect();
                if routes.is_empty() && endpoint.is_none() {
                    // A destination that has no endpoints now keeps the state for endpoints that are added later.
                    routes.push(self.new_route(None));
                    self.destinations.entry(*id).or_default().shared = Some(routes[0]);
                }
                for id in routes {
                    let route = &mut self.routes[id];
                    route.health = if *out { Health::Out } else { route.health };
                    route.wait_until = route.wait_until.max(self.now + (*wait).clamp(0, LONGEST));
                }
            }
            Event::Settings(settings) => self.set = (**settings).clone(),
            Event::ShuttingDown { time_left } => self.closes_at = Some(self.now + *time_left),
            Event::Withdrawn { id } => self.forget(*id),
            Event::AttemptEnded(answer) => {
                self.take_outcome(answer);
                if answer.message_finished || answer.outcome == Outcome::Success {
                    self.forget(answer.id);
                } else {
                    self.unsettled.push(answer.id);
                }
            }
            Event::EndpointList { kind: form, entries } => self.take_list(*form, entries),
            Event::Timer { .. } if self.now >= self.timer_at => self.timer_at = Micros::MAX,
            Event::Timer { .. }
            | Event::ResponseStarted { .. }
            | Event::HealthChecked { .. }
            | Event::Gossip { .. } => {}
        }
    }

    fn take_list(&mut self, form: ListEventKind, entries: &[EndpointUpdate]) {
        if matches!(form, ListEventKind::Snapshot | ListEventKind::Restored) {
            self.endpoints.values_mut().for_each(|e| (e.usable, e.gone) = (false, true));
        }
        entries.iter().for_each(|entry| self.take_entry(entry));
        let told: BTreeSet<DestinationId> = entries.iter().map(|entry| entry.destination).collect();
        told.into_iter().for_each(|destination| self.mind_reports(destination));
    }

    /// Applies the health checks of a destination. A critical endpoint is excluded while another endpoint passes. A
    /// route without a passing endpoint is ejected until a call succeeds: a success overrules a failing health check,
    /// and a passing health check alone ends no ejection.
    fn mind_reports(&mut self, destination: DestinationId) {
        let Some(ids) = self.destinations.get(&destination).map(|d| d.endpoints.clone()) else { return };
        let places = ids.iter().map(|id| &self.endpoints[id]);
        let fit = places.filter(|e| e.usable && e.report != HealthStatus::Critical);
        let fit: BTreeSet<RouteId> = fit.map(|e| e.route).collect();
        for id in ids {
            let Some(place) = self.endpoints.get_mut(&id) else { continue };
            let critical = place.report == HealthStatus::Critical;
            place.passed_over = critical && !fit.is_empty();
            let route = &mut self.routes[place.route];
            let unfit = !fit.contains(&place.route) && (critical || route.unfit);
            if unfit && !route.unfit {
                // This counts as a failure, so the success of a call sent before it proves nothing.
                route.health = Health::Out;
                route.pushed = Some((route.pushed.map_or(self.now, |(first, _)| first), self.now));
            }
            route.unfit = unfit;
        }
    }

    fn take_entry(&mut self, entry: &EndpointUpdate) {
        let kind = self
            .set
            .kinds
            .get(entry.kind)
            .copied()
            .unwrap_or(DestinationKind { max_batch: 1, separate_routes: false });
        let destination = self.destinations.entry(entry.destination).or_default();
        let shared = destination.shared.filter(|_| !kind.separate_routes);
        if let Some(known) = self.endpoints.get_mut(&entry.endpoint) {
            known.usable = entry.state == EndpointState::Active && known.destination == entry.destination;
            known.gone = entry.state == EndpointState::Removed;
            (known.zone, known.kind, known.report) = (entry.zone, kind, entry.health);
            known.route = shared.unwrap_or(known.route);
            self.routes[known.route].weight = entry.capacity_hint;
            return;
        }
        if entry.state == EndpointState::Removed {
            return;
        }
        let stays = destination.endpoints.iter().any(|e| !self.endpoints[e].gone);
        let route = shared.filter(|_| stays).unwrap_or_else(|| self.new_route(shared));
        let destination = self.destinations.entry(entry.destination).or_default();
        destination.shared = (!kind.separate_routes).then_some(route);
        destination.endpoints.push(entry.endpoint);
        let usable = entry.state == EndpointState::Active;
        self.routes[route].weight = entry.capacity_hint;
        let EndpointUpdate { destination, zone, health: report, .. } = *entry;
        let place = Endpoint { destination, route, zone, kind, usable, report, ..Endpoint::default() };
        self.endpoints.insert(entry.endpoint, place);
    }

    /// Creates a route. A new endpoint without others does not inherit what the endpoints before it have shown. Two
    /// properties belong to the destination and are copied: its Retry-After, and that it returns cold.
    fn new_route(&mut self, before: Option<RouteId>) -> RouteId {
        // The random part keeps a large fleet that starts together from sending its first calls together.
        let mut new = Route::new(self.now, most_parts(&self.set) - self.dice.uniform());
        if let Some(before) = before.map(|route| &self.routes[route]) {
            new.wait_until = before.wait_until;
            new.health = if before.health == Health::Good { Health::Good } else { Health::Warming(self.now) };
        }
        let used: BTreeSet<RouteId> = self.endpoints.values().map(|e| e.route).collect();
        let shared: BTreeSet<RouteId> = self.destinations.values().filter_map(|d| d.shared).collect();
        let free = |id: &RouteId| {
            let kept = shared.contains(id) && before != Some(*id);
            !kept && !used.contains(id) && self.routes[*id].in_flight == 0
        };
        let place = (0..self.routes.len()).find(free).unwrap_or(self.routes.len());
        self.routes.resize_with(self.routes.len().max(place + 1), Route::default);
        self.routes[place] = new;
        place
    }

    /// Drops removed endpoints that have no calls in flight and whose Retry-After has ended.
    fn forget_gone(&mut self) {
        self.endpoints.retain(|id, place| {
            let wait = self.routes[place.route].wait_until;
            let over = place.gone && place.in_flight == 0 && wait <= self.now;
            if over && let Some(destination) = self.destinations.get_mut(&place.destination) {
                destination.endpoints.retain(|other| other != id);
            }
            !over
        });
    }

    /// Returns the last time for a message's final answer: two ticks and a scheduling margin before its deadline.
    fn last_call_for(&self, message: &Message) -> Micros {
        message.deadline.saturating_sub(2 * self.set.tick + STALL)
    }

    /// Puts a message into its queue if it is its turn and it has no attempt in flight.
    fn enqueue(&mut self, id: MessageId) {
        let Some(message) = self.messages.get(&id) else { return };
        if message.out > 0 || message.rank.is_some() {
            return;
        }
        if let Some(line) = message.key.and_then(|key| self.keys.get(&key)) {
            // Messages of an order key are sent one at a time, in turn, and after a cooldown for an attempt that may
            // still be running.
            if line.line.front() != Some(&id) || line.strays > 0 {
                return;
            }
            if self.now < line.quiet_until && line.quiet_for != id {
                self.message_wakes.insert((line.quiet_until, id));
                return;
            }
        }
        self.rank(id);
    }

    /// Gives a message its rank by the weight that can still be saved: messages in time before late ones, and within
    /// these by due time, which is earlier for messages that lose more weight by being late.
    fn rank(&mut self, id: MessageId) {
        let least = self.set.classes.iter().map(stake).fold(f64::INFINITY, f64::min);
        self.unqueue(id);
        let Some(message) = self.messages.get_mut(&id) else { return };
        let weight = (stake(&message.class) / least.max(1e-6)).clamp(1.0, 10.0);
        let given = message.aim_at - message.class.latency_objective;
        let stage = u8::from(self.now >= message.aim_at);
        // In time, the message that is due first goes first; of late messages the least late, which has lost the least
        // weight.
        let due = given + (message.class.latency_objective as f64 / weight) as Micros;
        let due = if stage == 0 { due } else { -message.aim_at };
        let looks = if stage == 0 { message.aim_at } else { message.deadline };
        self.message_wakes.insert((looks.min(message.repeats_until()), id));
        message.rank = Some((stage, due, id));
        self.destinations.entry(message.destination).or_default().queue.insert((stage, due, id));
    }

    fn unqueue(&mut self, id: MessageId) {
        let Some(message) = self.messages.get_mut(&id) else { return };
        let Some(rank) = message.rank.take() else { return };
        self.destinations.entry(message.destination).or_default().queue.remove(&rank);
    }

    /// Removes a message that has its final answer from its queue and its order key.
    fn forget(&mut self, id: MessageId) {
        self.unqueue(id);
        let Some(message) = self.messages.remove(&id) else { return };
        let Some(key) = message.key else { return };
        if let Some(line) = self.keys.get_mut(&key) {
            line.line.retain(|other| *other != id);
            line.strays += message.out;
        }
        self.next_of_key(key);
    }

    fn next_of_key(&mut self, key: u64) {
        let Some(line) = self.keys.get(&key) else { return };
        if let Some(next) = line.line.front().copied() {
            self.enqueue(next);
        } else if line.strays == 0 && self.now >= line.quiet_until {
            self.keys.remove(&key);
        }
    }

    /// Returns whether the message may be sent again, given its attempts so far.
    fn may_send(&self, message: &Message) -> bool {
        let spent = self.set.max_attempts > 0 && message.attempts >= self.set.max_attempts;
        !spent && self.now < message.repeats_until()
    }

    /// Returns whether the message may be rejected. A rejection promises that sending it again is harmless.
    fn may_refuse(&self, message: &Message) -> bool {
        match message.class.idempotency {
            Idempotency::Idempotent | Idempotency::IdempotencyKey { scope: DeduplicationScope::All, .. } => {
                true
            }
            _ => message.may_have_run.is_none() && message.out == 0,
        }
    }

    /// Gives a message that is given up its final answer at once: a rejection if that is harmless, otherwise a failure.
    fn give_up(&mut self, id: MessageId, actions: &mut Vec<Action>) {
        let Some(message) = self.messages.get(&id) else { return };
        let refusal = Action::Reject { id, retry_after: self.pause_advice(message.destination) };
        actions.push(if self.may_refuse(message) { refusal } else { Action::Fail { id } });
        self.forget(id);
    }

    /// Returns the Retry-After for a client: the time until the destination accepts calls again and has served what is
    /// queued now.
    fn pause_advice(&self, id: DestinationId) -> Micros {
        let Some(destination) = self.destinations.get(&id) else { return 0 };
        let routes = destination.endpoints.iter().filter_map(|e| self.endpoints.get(e)).map(|e| e.route);
        let opens = routes.clone().map(|r| self.opens_at(r)).min().unwrap_or(self.now) - self.now;
        let turns =
            routes.map(|r| self.routes[r].usual / self.routes[r].window).fold(f64::INFINITY, f64::min);
        let drain = (destination.queue.len() as f64 * turns) as Micros;
        let most = Micros::from(self.set.send_retry_after) * self.set.max_retry_after.max(0);
        opens.saturating_add(drain).clamp(0, most)
    }

    /// Decides after an attempt has ended without success: the message returns to its queue or gets a final answer.
    fn go_on_with(&mut self, id: MessageId, actions: &mut Vec<Action>) {
        let Some(message) = self.messages.get(&id) else { return };
        if message.out > 0 {
            return;
        }
        if self.may_send(message) && self.now < self.last_call_for(message) {
            self.enqueue(id);
        } else {
            self.give_up(id, actions);
        }
    }

    /// Sheds the messages with the lowest priority, the last of the longest queue, because new messages at the limit
    /// are rejected regardless of their priority.
    fn make_room(&mut self, actions: &mut Vec<Action>) {
        let most = self
            .set
            .max_open_messages
            .saturating_sub((self.set.max_open_messages / SPARE_ROOM).max(1))
            .max(1);
        while self.set.max_open_messages > 0 && self.messages.len() > most {
            let Some(longest) = self.destinations.values().max_by_key(|d| d.queue.len()) else { return };
            let mut last = longest.queue.iter().rev().take(LOOK).map(|rank| rank.2);
            let victim =
                last.find(|id| self.messages.get(id).is_some_and(|m| !m.kept_untried && self.may_refuse(m)));
            let Some(victim) = victim else { return };
            self.give_up(victim, actions);
        }
    }

    fn take_outcome(&mut self, answer: &AttemptResult) {
        let (id, outcome) = (answer.id, answer.outcome);
        let Some((call_id, key)) = self.attempts.remove(&(id, answer.attempt)) else { return };
        let Some(call) = self.calls.get_mut(&call_id) else { return };
        let (endpoint, zone, sent) = (call.endpoint, call.zone, call.sent);
        call.open -= 1;
        let (done, clean, overdue) = (call.open == 0, call.clean, call.overdue);
        let first = !std::mem::replace(&mut call.judged, true);
        let again = self.messages.get(&id).is_some_and(|m| m.called_off);
        if first && (again || call.alone) && matches!(outcome, Outcome::Success | Outcome::Timeout) {
            let long = if again { overdue } else { outcome == Outcome::Success };
            self.long += ALONE_WEIGHT * (f64::from(long) - self.long);
        }
        // Nothing is sent to a route during its Retry-After, and each message of a call may set one. The Retry-After of
        // a destination also applies to endpoints that have been added since.
        let shared =
            self.endpoints.get(&endpoint).and_then(|e| self.destinations.get(&e.destination)?.shared);
        for route in [Some(call.route), shared].into_iter().flatten() {
            let wait_until = &mut self.routes[route].wait_until;
            *wait_until = (*wait_until).max(self.now + answer.retry_after.clamp(0, LONGEST));
        }
        if first && outcome != Outcome::NotSent && !self.is_noise(endpoint, outcome) {
            self.judge(endpoint, sent, answer, clean, overdue);
        }
        if done {
            self.close_call(call_id, outcome);
        }
        let may_run = !matches!(
            outcome,
            Outcome::Success | Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent
        );
        let stray = !self.messages.contains_key(&id);
        if let Some(message) = self.messages.get_mut(&id) {
            message.out -= 1;
            message.first_try &= outcome == Outcome::Success;
            message.may_have_run = message.may_have_run.or(may_run.then_some((sent, endpoint, zone)));
        }
        let Some(key) = key else { return };
        let line = self.keys.entry(key).or_default();
        line.strays -= usize::from(stray);
        if may_run && outcome != Outcome::Error {
            (line.quiet_until, line.quiet_for) = (self.now + self.set.key_cooldown, id);
        }
        self.next_of_key(key);
    }

    /// Counts invalid responses. A single one shows that the endpoint is there and serves, so it is ignored. Only
    /// several in a row, without a success between them, count as errors of the endpoint.
    fn is_noise(&mut self, endpoint: EndpointId, outcome: Outcome) -> bool {
        let Some(place) = self.endpoints.get_mut(&endpoint) else { return false };
        let spoilt = outcome == Outcome::InvalidResponse;
        place.spoilt = if outcome == Outcome::Success { 0 } else { place.spoilt + u32::from(spoilt) };
        spoilt && place.spoilt < SPOILT_STREAK
    }

    fn close_call(&mut self, id: CallId, outcome: Outcome) {
        let Some(call) = self.calls.remove(&id) else { return };
        let Some(place) = self.endpoints.get_mut(&call.endpoint) else { return };
        place.in_flight -= 1;
        let kept = matches!(outcome, Outcome::Success | Outcome::Error | Outcome::Rejected);
        if kept && place.in_flight.is_multiple_of(self.set.streams_per_connection.max(1)) {
            place.idle.push(self.now);
        }
        let route = &mut self.routes[call.route];
        route.in_flight -= 1;
        route.overdue -= usize::from(call.overdue);
        route.written_off -= usize::from(call.written_off);
        self.destinations.entry(place.destination).or_default().in_flight -= 1;
    }

    /// Applies the outcome of one call to the window, the pauses and the health of its route.
    fn judge(
        &mut self,
        endpoint: EndpointId,
        sent: Micros,
        answer: &AttemptResult,
        clean: bool,
        was_overdue: bool,
    ) {
        let outcome = answer.outcome;
        let Some(place) = self.endpoints.get_mut(&endpoint) else { return };
        let id = place.route;
        let route = &mut self.routes[id];
        route.limit = answer.reported_limit.unwrap_or(route.limit);
        if outcome == Outcome::Success {
            (place.streak, place.avoid_until, place.answered) = (0, 0, place.answered.max(sent));
            route.observe(answer.latency as f64);
            if clean {
                route.window = (route.window * GROW).min((self.set.max_calls as f64 * CAP).max(1.0));
            }
            (route.gap, route.pause_until) = (0.0, 0);
            route.served.record(self.now);
            // The success of a call sent before the latest failure does not show that the route serves, unless that
            // failure is at least `overload_window` ago.
            if route
                .pushed
                .is_none_or(|(_, last)| sent >= last || self.now - last >= self.set.overload_window)
            {
                let cold = route.sure_part(self.now, &self.set).is_some();
                // A fleet that is rejected all at once pauses, so no later rejection shows the outage.
                let shut = !route.failing && self.set.fleet_size > 1 && route.even_part(&self.set).is_none();
                let shut = shut && route.streak >= SHUT[1].0 && self.now - route.last_ok >= SHUT[1].1;
                let back = shut || route.health == Health::Out || cold && route.pushed.is_some();
                (route.streak, route.timeouts, route.failing, route.last_ok) = (0, 0, false, self.now);
                let pushed = route.pushed.take().map_or(self.now, |(first, _)| first);
                if back {
                    route.served.exclude(self.now - pushed);
                    self.come_back(id);
                }
            }
            return;
        }
        route.pushed = Some((route.pushed.map_or(self.now, |(first, _)| first), self.now));
        if outcome == Outcome::Rejected && route.health == Health::Good {
            // The saved-up calls are discarded, and forwarders that are rejected together do not return together.
            let saved = |rate| route.bucket.available(self.now, rate, most_parts(&self.set));
            let saved = route.paced(&self.set).map_or(0.0, saved);
            route.pay(self.now, &self.set, saved.max(0.0) + self.dice.uniform());
            route.pace = (route.pace * PACE_SHRINK).max(PACE_LEAST);
        }
        let at_floor = route.window < 2.0;
        route.window = (route.window * SHRINK).max(1.0);
        let turned_away = matches!(outcome, Outcome::Rejected | Outcome::ConnectFailed);
        // If no limit is known, only failed connections hold a fleet back from a route that refuses them.
        route.failing |= !turned_away || outcome != Outcome::Rejected && route.paced(&self.set).is_none();
        route.streak += u32::from(!was_overdue);
        route.timeouts += u32::from(outcome == Outcome::Timeout);
        if at_floor && outcome != Outcome::Timeout && (turned_away || route.streak >= 2) {
            // The halving continues below one call: the next call is drawn from a span, so a fleet that failed together
            // does not return together, and fewer rejected calls use up a limit that others share. From the second
            // failure on, the span keeps to this forwarder's part of a cold budget (`call_budget`); after the first it
            // is half that. The maximum is twice that span if a limit is known, otherwise two message lifetimes.
            let life = self.set.classes.iter().map(|c| c.deadline).fold(PAUSE_FIRST, Micros::max) as f64;
            let cold = (BUDGET_SHARE / SHRINK * self.set.overload_factor * self.set.cold_capacity_share)
                .clamp(0.1, 1.0);
            let least = (SECOND as f64 / cold / route.share(self.now, &self.set).max(1e-3)).min(life);
            let most = if route.paced(&self.set).is_some() { 4.0 * least } else { 2.0 * life };
            route.gap = (route.gap / SHRINK).clamp(least, most);
            route.pause_until = self.now + (self.dice.uniform() * route.gap) as Micros;
        } else if outcome != Outcome::Timeout {
            let pause = (PAUSE_FIRST << (route.streak.saturating_sub(1)).min(8)).min(PAUSE_LAST);
            // A Retry-After is enough for a small fleet. In a large fleet the forwarders with the same Retry-After are
            // spread after it.
            let others = f64::from(self.set.fleet_size.saturating_sub(1));
            let spread = pause as f64 * others / (others + SPREAD_FLEET);
            route.pause_until = self.now
                + match answer.retry_after {
                    ..=0 => self.dice.jitter(pause),
                    told => told.min(LONGEST) + (spread * self.dice.uniform()) as Micros,
                };
        }
        if outcome != Outcome::Rejected {
            place.streak += 1;
            place.avoid_until = self.now + self.dice.jitter(SECOND << place.streak.min(4));
        }
        route.mind_outage(self.now, &self.set);
    }

    /// Starts the ramp at the first success after an outage. Calls still in flight are presumed lost.
    fn come_back(&mut self, id: RouteId) {
        let route = &mut self.routes[id];
        route.health = Health::Warming(self.now);
        for call in self.calls.values_mut().filter(|c| c.route == id && !c.judged && !c.written_off) {
            call.written_off = true;
            route.written_off += 1;
        }
    }

    fn run_wakes(&mut self, actions: &mut Vec<Action>) {
        while let Some(&(at, id)) = self.message_wakes.first()
            && at <= self.now
        {
            self.message_wakes.pop_first();
            let Some(message) = self.messages.get(&id) else { continue };
            if self.now >= self.last_call_for(message) {
                // Time is up. Attempts in flight have time-outs limited by the deadline and end by themselves.
                self.give_up(id, actions);
            } else if message.rank.is_some() {
                if self.may_send(message) { self.rank(id) } else { self.give_up(id, actions) }
            } else {
                self.enqueue(id);
            }
        }
        while let Some(&(at, id)) = self.call_wakes.first()
            && at <= self.now
        {
            self.call_wakes.pop_first();
            self.call_off(id, actions);
            // An overdue call makes its route faulty before it times out.
            let Some(call) = self.calls.get_mut(&id).filter(|c| !c.judged) else { continue };
            self.call_wakes.insert((self.now + OVERDUE_MIN / 2, id));
            if !std::mem::replace(&mut call.overdue, true) {
                let route = &mut self.routes[call.route];
                route.overdue += 1;
                route.streak += 1;
                route.failing = true;
                route.mind_outage(self.now, &self.set);
            }
        }
    }

    /// Cancels a stalled call if that helps and its message may be sent again. This frees its slot.
    fn call_off(&mut self, id: CallId, actions: &mut Vec<Action>) {
        let Some(call) = self.calls.get_mut(&id).filter(|c| !c.judged) else { return };
        let half = call.sent + (self.now - call.sent) / 2;
        call.alone = self.endpoints.get(&call.endpoint).is_some_and(|place| place.answered > half);
        let Some(id) = call.only else { return };
        let Some(message) = self.messages.get_mut(&id) else { return };
        let first = message.attempts == 1 && self.set.max_attempts != 1;
        let again = first && message.class.idempotency != Idempotency::NonIdempotent;
        if call.alone && again && self.set.allow_cancel && self.long < ALONE_LONG {
            (call.judged, message.called_off) = (true, true);
            actions.push(Action::Cancel { id, attempt: 0 });
        }
    }

    fn set_timer(&mut self, actions: &mut Vec<Action>) {
        let mut next = self.message_wakes.first().map_or(Micros::MAX, |w| w.0);
        next = next.min(self.call_wakes.first().map_or(Micros::MAX, |w| w.0));
        let waiting = self.destinations.values().filter(|d| !d.queue.is_empty());
        let opens = waiting.flat_map(|d| &d.endpoints).map(|e| self.opens_at(self.endpoints[e].route));
        next = opens.filter(|at| *at > self.now).fold(next, Micros::min);
        if next < self.timer_at {
            self.timer_at = next.max(self.now + 1);
            self.next_call += 1;
            actions.push(Action::Timer { delay: self.timer_at - self.now, token: self.next_call });
        }
    }

    /// Returns when Retry-After, backoff, pace and budget allow the next call. The window may still be full at that
    /// time.
    fn opens_at(&self, id: RouteId) -> Micros {
        let route = &self.routes[id];
        let budget = match self.budget(id) {
            Some(calls) if calls < 1.0 && route.drawn != Some(self.now) => route.draw_at.max(self.now + 1),
            Some(calls) if calls >= 1.0 && route.sends.len() >= calls as usize => {
                route.sends[route.sends.len() - calls as usize] + self.set.overload_window
            }
            _ => self.now,
        };
        let paced = route.paced(&self.set).map_or(self.now, |rate| route.bucket.opens_at(self.now, rate));
        route.wait_until.max(route.pause_until).max(budget).max(paced).max(self.now)
    }

    /// Returns the calls that this forwarder may send to an ejected or cold route in any span of `overload_window`. A
    /// route serves no more than its capacity, so the shares (`own_share`) of all forwarders add up to no more than
    /// that. The budgets, each a share of `overload_factor` x present capacity x `overload_window`, therefore add up to
    /// no more than the route can take, whichever forwarder has the messages, and for first attempts and retries alike.
    /// The capacity counts as cold until a success that was sent after the failures, and grows from then on; the actual
    /// recovery came earlier.
    fn budget(&self, id: RouteId) -> Option<f64> {
        let (route, set) = (&self.routes[id], &self.set);
        let part = route.sure_part(self.now, set)?;
        let rate = set.overload_factor * part * route.share(self.now, set);
        Some(BUDGET_SHARE * rate * set.overload_window as f64 / SECOND as f64)
    }

    /// Draws twice in `overload_window` whether a call may be sent if the budget is below one call. A pause saves up
    /// nothing.
    fn draw_budgets(&mut self) {
        let waiting = self.destinations.values().filter(|d| !d.queue.is_empty());
        for id in waiting.flat_map(|d| &d.endpoints).map(|e| self.endpoints[e].route).collect::<Vec<_>>() {
            if let Some(calls) = self.budget(id).filter(|_| self.routes[id].draw_at <= self.now) {
                self.routes[id].draw_at = self.now + (self.set.overload_window / 2).max(1);
                self.routes[id].drawn = (self.dice.uniform() < calls / 2.0).then_some(self.now);
            }
        }
    }

    /// Returns whether the route's window and state allow one more call.
    fn has_room(&self, id: RouteId, destination: &Destination) -> bool {
        let route = &self.routes[id];
        let half = ((self.set.max_calls as f64 * SICK_CAP) as usize).max(1);
        let cap = if route.sick() { half } else { ((self.set.max_calls as f64 * CAP) as usize).max(1) };
        let held = || self.routes.iter().filter(|r| r.sick()).map(|r| r.in_flight).sum::<usize>();
        // A call in flight when the forwarder stops may have been executed, and a non-idempotent message would be lost
        // with it.
        let late = self.closes_at.is_some_and(|at| self.now + route.overdue_after() > at);
        let full = late || destination.in_flight >= cap || (route.sick() && held() >= half);
        if full || self.opens_at(id) > self.now {
            return false;
        }
        if route.health == Health::Out {
            return route.in_flight <= route.overdue;
        }
        route.in_flight - route.written_off < route.window as usize
    }

    /// Returns whether an endpoint takes a call now. A draining or removed endpoint gets no new calls from the time of
    /// the event. A partial batch waits while a call is in flight (as in Nagle's algorithm), because many small calls
    /// use up a limit that other forwarders share. Where nothing is scarce this may cost one service time.
    fn takes(&self, place: &Endpoint, destination: &Destination) -> bool {
        let route = &self.routes[place.route];
        let idle = route.in_flight <= route.overdue.max(route.written_off);
        let fills = idle || destination.queue.len() >= place.kind.max_batch;
        place.usable && !place.passed_over && fills && self.has_room(place.route, destination)
    }

    fn warm(&self, place: &Endpoint) -> bool {
        !place.in_flight.is_multiple_of(self.set.streams_per_connection.max(1))
            || place.idle.last().is_some_and(|since| self.now - since < self.set.idle_timeout)
    }

    /// Iterates over the endpoints to which a message may go now: they take a call, and the attempts so far allow them.
    fn fit<'a>(&'a self, message: &'a Message) -> impl Iterator<Item = (EndpointId, &'a Endpoint)> {
        let destination = self.destinations.get(&message.destination).filter(|_| self.may_send(message));
        destination.into_iter().flat_map(move |d| {
            let places = d.endpoints.iter().map(|id| (*id, &self.endpoints[id]));
            places.filter(move |(id, place)| self.takes(place, d) && self.in_group(message, *id, place))
        })
    }

    /// Chooses the endpoint with the lowest cost. Chance alone would choose in proportion to capacity.
    fn choose(&mut self, message: MessageId) -> Option<EndpointId> {
        let mut draws = self.dice.clone();
        let message = self.messages.get(&message)?;
        let spread = SPREAD_COST / (1.0 + SPREAD_FLEET / f64::from(self.set.fleet_size.max(1)));
        let costs = self.fit(message).map(|(id, place)| {
            let chance = -draws.uniform().max(1e-9).ln() / self.routes[place.route].weight.max(1e-3);
            (self.cost(place) + spread * chance.max(1e-9).ln(), id)
        });
        let best = costs.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, id)| id);
        self.dice = draws;
        best
    }

    /// Returns the cost of a call to an endpoint in points: connection, zone, latency, calls in flight and faults.
    fn cost(&self, place: &Endpoint) -> f64 {
        let (route, set) = (&self.routes[place.route], &self.set);
        let short = f64::from(self.calls.len() + 1 >= set.max_calls);
        let held = short * SLOT_COST * self.messages.len() as f64 / set.max_calls as f64;
        let usual = if route.last_ok == 0 { 0.0 } else { route.usual };
        let (cold, far) = (!self.warm(place), place.zone != set.zone);
        let fee = set.zone_costs.get(place.zone).copied().unwrap_or(0.0);
        f64::from(cold) * set.handshake_cost
            + f64::from(far) * set.cross_zone_cost
            + f64::from(place.kind.separate_routes) * (fee + (SECOND_COST + held) * usual / SECOND as f64)
            + LOAD_COST * place.in_flight as f64
            + f64::from(route.sick())
            + f64::from(place.avoid_until > self.now || place.report == HealthStatus::Warning)
    }

    /// Returns whether a message may go to an endpoint. A message with an idempotency key that may have been executed
    /// goes only to endpoints that drop its repeat.
    fn in_group(&self, message: &Message, id: EndpointId, place: &Endpoint) -> bool {
        let Some((_, first, zone)) = message.may_have_run else { return true };
        match message.class.idempotency {
            Idempotency::IdempotencyKey { scope: DeduplicationScope::Zone, .. } => {
                zone == place.zone && (zone != UNKNOWN_ZONE || first == id)
            }
            Idempotency::IdempotencyKey { scope: DeduplicationScope::Endpoint, .. } => first == id,
            _ => true,
        }
    }

    /// Returns the first message of a queue that can be sent now.
    fn next_of(&self, destination: &Destination) -> Option<Rank> {
        if !destination.endpoints.iter().any(|e| self.takes(&self.endpoints[e], destination)) {
            return None;
        }
        let mut look = destination.queue.iter().take(LOOK);
        let free = |rank: &&Rank| self.messages.get(&rank.2).is_some_and(|m| self.fit(m).next().is_some());
        look.find(free).copied()
    }

    fn send_all(&mut self, actions: &mut Vec<Action>) {
        self.draw_budgets();
        while self.calls.len() < self.set.max_calls {
            let next = self.destinations.values().filter(|d| !d.queue.is_empty());
            let Some((_, _, id)) = next.filter_map(|d| self.next_of(d)).min() else { return };
            let Some(endpoint) = self.choose(id) else { return };
            self.send_call(id, endpoint, actions);
        }
    }

    /// Sends one call to an endpoint: the given message, and others of its queue up to the greatest batch of a call.
    fn send_call(&mut self, first: MessageId, endpoint: EndpointId, actions: &mut Vec<Action>) {
        let Some(place) = self.endpoints.get(&endpoint) else { return };
        let trial = self.routes[place.route].health == Health::Out;
        let most = if trial { 1 } else { place.kind.max_batch };
        let queue = self.destinations.get(&place.destination).map(|d| &d.queue);
        let others = queue.into_iter().flatten().map(|rank| rank.2).filter(|id| *id != first);
        let allowed = |m: &Message| self.may_send(m) && self.in_group(m, endpoint, place);
        let others = others.take(LOOK.max(most)).filter(|id| self.messages.get(id).is_some_and(allowed));
        let going: Vec<MessageId> = std::iter::once(first).chain(others).take(most).collect();
        self.open_call(endpoint, &going);
        for id in going {
            self.send_one(id, endpoint, actions);
        }
    }

    fn open_call(&mut self, endpoint: EndpointId, going: &[MessageId]) {
        let clean = going.iter().all(|id| self.messages.get(id).is_some_and(|m| m.first_try));
        let Some(place) = self.endpoints.get_mut(&endpoint) else { return };
        if place.in_flight.is_multiple_of(self.set.streams_per_connection.max(1)) {
            place.idle.retain(|since| self.now - since < self.set.idle_timeout);
            place.idle.pop();
        }
        place.in_flight += 1;
        self.destinations.entry(place.destination).or_default().in_flight += 1;
        let route = &mut self.routes[place.route];
        route.in_flight += 1;
        let weight = 1 + going.len() / 5;
        route.sends.extend(std::iter::repeat_n(self.now, weight));
        route.pay(self.now, &self.set, 1.0);
        route.draw_at = self.now + weight as Micros * self.set.overload_window / 2;
        route.drawn = None;
        let old = route.sends.partition_point(|at| self.now - at >= self.set.overload_window);
        route.sends.drain(..old);
        self.next_call += 1;
        self.call_wakes.insert((self.now + route.overdue_after(), self.next_call));
        let (route, zone, sent) = (place.route, place.zone, self.now);
        let only = going.first().copied().filter(|_| going.len() == 1);
        let call = Call { endpoint, route, zone, sent, open: going.len(), clean, only, ..Call::default() };
        self.calls.insert(self.next_call, call);
    }

    fn send_one(&mut self, id: MessageId, endpoint: EndpointId, actions: &mut Vec<Action>) {
        self.unqueue(id);
        let Some(route) = self.endpoints.get(&endpoint).map(|e| e.route) else { return };
        let Some(message) = self.messages.get_mut(&id) else { return };
        let left = (message.deadline - self.now - self.set.tick - STALL).max(1);
        // A non-idempotent message has a time-out too. It fails by it, but a hanging call would occupy its slot.
        let timeout = self.routes[route].timeout().min(left);
        self.attempts.insert((id, message.attempts), (self.next_call, message.key));
        message.attempts += 1;
        message.out += 1;
        actions.push(Action::Send { id, endpoint, timeout });
    }
}

/// Returns the weight that a message loses by being late.
fn stake(class: &Class) -> f64 {
    class.priority_weight * (1.0 - class.late_weight_share)
}

/// Returns the highest multiple of the even share at which a route is paced, which is also the most calls saved up.
fn most_parts(set: &Settings) -> f64 {
    1.0 + PACE_FLEET / f64::from(set.fleet_size.max(1))
}
