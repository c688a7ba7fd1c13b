//! All decisions of orchidyoke; their types are in `interface.rs`. The ordinary path is the paper's adaptive
//! window (`docs/design.md`) on each route's calls in flight: a clean first try grows, a push-back halves it.

use orchidyoke_core::interface::*;
use orchidyoke_core::rng::SeededRng;
use orchidyoke_core::traffic::{RateEstimator, TokenBucket};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

const SECOND: Micros = 1_000_000;
/// Times told to this module are cut to this length (about 11 days): no sum of a few of them overflows.
const LONGEST: Micros = 1_000_000 * SECOND;
/// Growth of a window on a clean first-try success (paper: ten percent).
const GROW: f64 = 1.1;
/// Shrinking of a window on any push-back (paper: half, at once).
const SHRINK: f64 = 0.5;
/// Part of the slots that one destination may hold (design: three quarters).
const CAP: f64 = 0.75;
/// Part of the slots for a sick destination, and for all sick ones together (design: one half).
const SICK_CAP: f64 = 0.5;
/// Unreadable answers of one endpoint with no success between that count as its errors.
const SPOILT_STREAK: u32 = 3;
/// Push-backs with no success for so long mean an outage: who fails or refuses a part of its calls is up.
const OUTAGE: (u32, Micros) = (3, 1_500_000);
/// The same where all were refused, with no limit told, and with one: over it a system does that too.
const SHUT: [(u32, Micros); 2] = [(3, 4 * SECOND), (8, 6 * SECOND)];
/// A call is overdue after its usual time plus this many mean deviations (four, as TCP's RTO).
const DEVIATIONS: f64 = 4.0;
/// Usual time of a destination never heard of, in microseconds: a slow system's answer and a handshake.
const UNKNOWN_USUAL: f64 = 600_000.0;
/// Least time after which a call is overdue: short pauses of a busy system are no sickness.
const OVERDUE_MIN: Micros = 600_000;
/// A call is alone that is overdue while its endpoint answers what was sent later: its connection is dead, or
/// its message takes long. Ends and repeats tell; it is called off while fewer than this share take long.
const ALONE_LONG: f64 = 0.3;
/// Weight of each verdict in that share: one that took long stops it, until one is dead.
const ALONE_WEIGHT: f64 = 0.4;
/// A forwarder with part of a core may stand still for so long: what ends with a deadline ends sooner by it.
const STALL: Micros = 50_000;
/// Bounds of a time-out; below, a pause looks like a hang; above, a hang costs a slot for too long.
const TIMEOUT_MIN: Micros = 1_500_000;
const TIMEOUT_MAX: Micros = 6 * SECOND;
/// A time-out is this many times the overdue time, more after each time-out in a row (as TCP's backoff).
const TIMEOUT_OVER_OVERDUE: f64 = 2.0;
/// Rough weights may be half too high: the true figure is at least this part.
const ROUGH: f64 = 0.67;
/// First pause after a push-back with no wait told, doubled for each further one in a row up to the last.
const PAUSE_FIRST: Micros = 150_000;
const PAUSE_LAST: Micros = 2 * SECOND;
/// Part of the cold budget that is used; the rest is for chance: draws scatter, handshakes bunch up.
const BUDGET_SHARE: f64 = 0.8;
/// Part of max_open that is held free: a full house turns work away unseen.
const SPARE_ROOM: usize = 16;
/// How many queued messages are looked at for one that can go now; bounds the work of a step.
const LOOK: usize = 24;
/// Points that a second of a route's usual time, and a call already out, count for in comparing endpoints.
const SECOND_COST: f64 = 0.05;
const LOAD_COST: f64 = 0.01;
/// The second's points where a call takes the last slots, for each message held to a slot: all wait longer.
const SLOT_COST: f64 = 0.25;
/// Points that chance weighs there in a large fleet, and the fleet in which it weighs half: hundreds that see
/// the same fees would else send to the same endpoint while its sisters stand idle; a few mind their windows.
const SPREAD_COST: f64 = 0.05;
const SPREAD_FLEET: f64 = 16.0;

/// Below one call in flight a route is paced, in even parts of the limit told. A refusal takes two fifths;
/// it grows back by half a second to one part and so many more, shared out among the fleet, and as many
/// calls are saved up: of a few forwarders one may have nearly all that there is to send.
const PACE_SHRINK: f64 = 0.6;
const PACE_LEAST: f64 = 0.25;
const PACE_GROW: f64 = 1.5;
const PACE_FLEET: f64 = 8.0;

type RouteId = usize;
type CallId = u64;
/// Place in a queue: stage (0 in time, 1 late), due time (late: how late, the least first), number.
type Rank = (u8, Micros, MessageId);

/// One message: what it is, what may have become of it so far, and where it stands in its queue.
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
    /// Send time, endpoint and zone of the first attempt that may have run.
    may_have_run: Option<(Micros, EndpointId, usize)>,
    rank: Option<Rank>,
}

impl Message {
    /// Rule of effects: until when it may be sent, given what may have run of it so far.
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
    /// The message, where it is the only one; whether the call is alone.
    only: Option<MessageId>,
    alone: bool,
    written_off: bool,
}

/// Messages of one order key: those not over in order, and what is still out of those that are.
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
    /// The list names it no more.
    gone: bool,
    /// What health checks report, and whether they call a sister fitter.
    report: HealthStatus,
    passed_over: bool,
    in_flight: usize,
    idle: Vec<Micros>,
    streak: u32,
    /// When the latest of the calls was sent that it has answered well.
    answered: Micros,
    /// Unreadable answers since the last success.
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

/// One route (a destination, or an endpoint where they are apart): window, pace, health.
#[derive(Debug, Default)]
struct Route {
    window: f64,
    /// After refusals: time between calls, as a window below one; 0 where none is needed.
    gap: f64,
    /// Calls a second in even parts of the limit, and those that may go now.
    pace: f64,
    bucket: TokenBucket,
    in_flight: usize,
    /// Calls out that are overdue, and those given up as lost when the route came back.
    overdue: usize,
    written_off: usize,
    health: Health,
    /// Push-backs since the last success, and whether any was more than a refusal.
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
    /// Calls of the last `tip_after`.
    sends: VecDeque<Micros>,
    /// Calls served, and one to come.
    served: RateEstimator,
    /// The first push-back since the last success, and the last.
    pushed: Option<(Micros, Micros)>,
    /// Where the budget is under one call: the next draw, and whether the last lets a call go in this step.
    draw_at: Micros,
    drawn: Option<Micros>,
    /// Health checks have left it no endpoint that is fit.
    unfit: bool,
}

impl Route {
    fn new(now: Micros, saved: f64) -> Self {
        let (usual, deviation) = (UNKNOWN_USUAL, UNKNOWN_USUAL / 2.0);
        let (served, bucket) = (RateEstimator::starting(1.0, now), TokenBucket::starting(saved, now));
        Route { window: 1.0, pace: 1.0, bucket, usual, deviation, served, ..Route::default() }
    }

    /// Failing or slow: push-backs in a row, or a call overdue before its time-out has ended.
    fn sick(&self) -> bool {
        self.health == Health::Out || self.streak >= 2 || self.overdue > 0
    }

    fn overdue_after(&self) -> Micros {
        ((self.usual + DEVIATIONS * self.deviation) as Micros).max(OVERDUE_MIN)
    }

    /// Follows the observed service time, with backoff.
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

    /// This forwarder's part of what the route can do, in calls a second: what it was served before it was
    /// pushed back (and one, so that all may try); where a capacity is told, half that and half an even part.
    fn share(&self, now: Micros, set: &Settings) -> f64 {
        let own = self.served.rate(self.pushed.map_or(now, |(first, _)| first));
        self.even_part(set).map_or(own, |even| (own + even) / 2.0)
    }

    /// An even part of the capacity that is told, in calls a second.
    fn even_part(&self, set: &Settings) -> Option<f64> {
        let told = match set.capacity_hints {
            CapacityHints::None => self.limit,
            CapacityHints::Nominal => self.weight,
            CapacityHints::Rough => self.weight * ROUGH,
        };
        Some(told / f64::from(set.fleet_size.max(1))).filter(|even| *even > 0.0)
    }

    /// Calls a second where its even part is under one in flight: all windows at their floor would be more.
    fn paced(&self, set: &Settings) -> Option<f64> {
        let floors = |even: &f64| set.fleet_size > 1 && even * self.usual < SECOND as f64;
        self.even_part(set).filter(floors).map(|even| even * self.pace)
    }

    fn pay(&mut self, now: Micros, set: &Settings, calls: f64) {
        let Some(rate) = self.paced(set) else { return };
        self.pace = (self.pace * PACE_GROW.powf(self.bucket.seconds_since_take(now))).min(most_parts(set));
        self.bucket.take(now, rate, most_parts(set), calls);
    }

    /// Push-backs with no success between mean an outage: from here on only trial calls.
    fn mind_outage(&mut self, now: Micros, set: &Settings) {
        let (streak, silence) =
            if self.failing { OUTAGE } else { SHUT[usize::from(self.paced(set).is_some())] };
        if self.streak >= streak && now - self.last_ok >= silence {
            self.health = Health::Out;
        }
    }

    /// Present capacity that the route is sure to have, as a part of its own; none where nothing binds.
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

/// One controller for one forwarder. See [`Controller::step`].
#[derive(Debug, Default)]
pub struct Controller {
    set: Settings,
    dice: SeededRng,
    now: Micros,
    messages: BTreeMap<MessageId, Message>,
    /// Messages with an attempt that ended in this batch, still to be decided on.
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
    /// Share of the calls alone whose message took long.
    long: f64,
    /// When the forwarder stops, once that is known.
    closes_at: Option<Micros>,
}

impl Controller {
    /// A controller that has seen nothing; `seed` is its only source of chance.
    pub fn new(settings: Settings, seed: u64) -> Self {
        Controller {
            set: settings,
            dice: SeededRng::new(seed),
            timer_at: Micros::MAX,
            ..Controller::default()
        }
    }

    /// Routes that are out, failing, or back but cold, for [`Event::RouteState`]: forgotten in a restart, messages
    /// that waited for them would break the rule of returns. An endpoint stands for a route apart.
    pub fn troubled(&self) -> BTreeSet<RouteRef> {
        let troubled = |route: &Route| match route.health {
            Health::Out => true,
            Health::Warming(since) => self.now - since < self.set.warm_up_time,
            Health::Good => route.failing && route.streak >= 2,
        };
        let route_id = |destination, endpoint| RouteRef { destination, endpoint };
        let apart = self.endpoints.iter().filter(|(_, place)| place.kind.separate_routes);
        let apart = apart.map(|(id, place)| (route_id(place.destination, Some(*id)), place.route));
        // A destination in trouble may have no endpoint just now.
        let shared =
            self.destinations.iter().filter_map(|(id, d)| d.shared.map(|r| (route_id(*id, None), r)));
        apart.chain(shared).filter(|(_, route)| troubled(&self.routes[*route])).map(|(id, _)| id).collect()
    }

    /// The source of chance, as it stands.
    pub fn dice(&self) -> &SeededRng {
        &self.dice
    }

    /// Whether nothing but trial calls goes to an endpoint now.
    pub fn avoids(&self, id: EndpointId) -> bool {
        let avoided = |e: &Endpoint| !e.usable || e.passed_over || self.routes[e.route].health == Health::Out;
        self.endpoints.get(&id).is_none_or(avoided)
    }

    /// Takes in all events of a batch, then decides once. `now` never goes back.
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
                    // One without endpoints just now keeps what is known for those to come.
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

    /// Health checks: a critical endpoint is passed over while its destination has a fit one. A route left
    /// with none is out until a call ends well: calls overrule a bad report, and no good one opens it.
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
                // As a push-back: a call sent before it shows nothing by ending well.
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

    /// A new endpoint with no other beside it starts anew: what those before it did is not its doing.
    /// Two things are the destination's own: a wait that it told, and that it comes back cold.
    fn new_route(&mut self, before: Option<RouteId>) -> RouteId {
        // A large fleet that starts together does not send its first calls together.
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

    /// Endpoints that are gone are forgotten once nothing of theirs is out and no wait of theirs runs.
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

    /// A message's last moment for an answer: two ticks and a stall before its deadline.
    fn last_call_for(&self, message: &Message) -> Micros {
        message.deadline.saturating_sub(2 * self.set.tick + STALL)
    }

    /// Puts a message into its queue, if it is its turn and nothing of it is out.
    fn enqueue(&mut self, id: MessageId) {
        let Some(message) = self.messages.get(&id) else { return };
        if message.out > 0 || message.rank.is_some() {
            return;
        }
        if let Some(line) = message.key.and_then(|key| self.keys.get(&key)) {
            // Rule of order: one at a time, in turn, after a rest for what may still be running.
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

    /// Order of worth still to be saved: in time before late; within these by due time, drawn nearer for
    /// what loses more by being late.
    fn rank(&mut self, id: MessageId) {
        let least = self.set.classes.iter().map(stake).fold(f64::INFINITY, f64::min);
        self.unqueue(id);
        let Some(message) = self.messages.get_mut(&id) else { return };
        let weight = (stake(&message.class) / least.max(1e-6)).clamp(1.0, 10.0);
        let given = message.aim_at - message.class.latency_objective;
        let stage = u8::from(self.now >= message.aim_at);
        // In time the first due goes first; of those that are late the last, which has lost least.
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

    /// A message is over: out of its queue and its key's line.
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

    /// Rule of effects: may this message be sent again, given what became of it so far?
    fn may_send(&self, message: &Message) -> bool {
        let spent = self.set.max_attempts > 0 && message.attempts >= self.set.max_attempts;
        !spent && self.now < message.repeats_until()
    }

    /// Rule of effects: a refusal promises that trying again is harmless.
    fn may_refuse(&self, message: &Message) -> bool {
        match message.class.idempotency {
            Idempotency::Idempotent | Idempotency::IdempotencyKey { scope: DeduplicationScope::All, .. } => {
                true
            }
            _ => message.may_have_run.is_none() && message.out == 0,
        }
    }

    /// The one final answer of a message that is given up, at once: a refusal where it is harmless.
    fn give_up(&mut self, id: MessageId, actions: &mut Vec<Action>) {
        let Some(message) = self.messages.get(&id) else { return };
        let refusal = Action::Reject { id, retry_after: self.pause_advice(message.destination) };
        actions.push(if self.may_refuse(message) { refusal } else { Action::Fail { id } });
        self.forget(id);
    }

    /// When a client should come back: after the wait, and after what is queued now is served.
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

    /// After an attempt has ended without success: back into the queue, or a final answer.
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

    /// A full house turns work away unseen, so the least worth goes first: from the longest queue, its last.
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
        // Rule of waits: told to wait, nothing goes to this route; each message of a call may tell. A
        // destination's wait holds for the endpoints that have come since, too.
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

    /// An answer that cannot be read shows that the endpoint is there and serves: it pushes nothing
    /// back. Only several in a row, with no success between, are laid to it as errors are.
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

    /// One verdict for one call: the window, the waits and the health of its route.
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
            // A call sent before the last push-back tells nothing of the time after it, unless it took long.
            if route
                .pushed
                .is_none_or(|(_, last)| sent >= last || self.now - last >= self.set.overload_window)
            {
                let cold = route.sure_part(self.now, &self.set).is_some();
                // Refused all at once, then in a pause: no later refusal came that would show the outage.
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
            // What was saved up is gone, and those refused together do not come back together.
            let saved = |rate| route.bucket.available(self.now, rate, most_parts(&self.set));
            let saved = route.paced(&self.set).map_or(0.0, saved);
            route.pay(self.now, &self.set, saved.max(0.0) + self.dice.uniform());
            route.pace = (route.pace * PACE_SHRINK).max(PACE_LEAST);
        }
        let at_floor = route.window < 2.0;
        route.window = (route.window * SHRINK).max(1.0);
        let turned_away = matches!(outcome, Outcome::Rejected | Outcome::ConnectFailed);
        // Where no limit is told, nothing else holds a fleet back from what refused connections.
        route.failing |= !turned_away || outcome != Outcome::Rejected && route.paced(&self.set).is_none();
        route.streak += u32::from(!was_overdue);
        route.timeouts += u32::from(outcome == Outcome::Timeout);
        if at_floor && outcome != Outcome::Timeout && (turned_away || route.streak >= 2) {
            // Halving goes on below one call: the next is drawn from a span, so a fleet pushed back together
            // does not return together, and refused calls leave a limit for others. From the second push-back
            // on the span keeps to this forwarder's part of a cold budget (`budget`); after the first it is
            // half that. Twice that span is enough where a limit is told; else it is two message lives.
            let life = self.set.classes.iter().map(|c| c.deadline).fold(PAUSE_FIRST, Micros::max) as f64;
            let cold = (BUDGET_SHARE / SHRINK * self.set.overload_factor * self.set.cold_capacity_share)
                .clamp(0.1, 1.0);
            let least = (SECOND as f64 / cold / route.share(self.now, &self.set).max(1e-3)).min(life);
            let most = if route.paced(&self.set).is_some() { 4.0 * least } else { 2.0 * life };
            route.gap = (route.gap / SHRINK).clamp(least, most);
            route.pause_until = self.now + (self.dice.uniform() * route.gap) as Micros;
        } else if outcome != Outcome::Timeout {
            let pause = (PAUSE_FIRST << (route.streak.saturating_sub(1)).min(8)).min(PAUSE_LAST);
            // A wait told is enough for a few; of many, those told the same come after it one by one.
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

    /// The first success after an outage: what is still out is taken as lost, and the ramp starts.
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
                // Rule of answers: time is up; what is out is cut to the deadline and answers by itself.
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
            // A hang shows before its time-out: an overdue call marks its route sick at once.
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

    /// Calls off a call that is alone, where that helps and its message may go again: its slot is free.
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

    /// When a route's waits, pauses and budget let the next call go (its window may still be full).
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

    /// Calls that this forwarder may send to a route that is out or cold, in any span of `tip_after`.
    /// Return rule, argued from the settings: a route serves no more than it can, so the parts (`share`)
    /// sum to no more than that, and these parts of `fall_multiple` x present capacity x `tip_after` to no
    /// more than the rule allows, whoever holds messages, be they retries or turned away.
    /// Capacity is cold until a success that is news, and has risen since: the return came before it.
    fn budget(&self, id: RouteId) -> Option<f64> {
        let (route, set) = (&self.routes[id], &self.set);
        let part = route.sure_part(self.now, set)?;
        let rate = set.overload_factor * part * route.share(self.now, set);
        Some(BUDGET_SHARE * rate * set.overload_window as f64 / SECOND as f64)
    }

    /// Under one call, chance decides, twice in a span of `tip_after`; a lull saves up nothing for later.
    fn draw_budgets(&mut self) {
        let waiting = self.destinations.values().filter(|d| !d.queue.is_empty());
        for id in waiting.flat_map(|d| &d.endpoints).map(|e| self.endpoints[e].route).collect::<Vec<_>>() {
            if let Some(calls) = self.budget(id).filter(|_| self.routes[id].draw_at <= self.now) {
                self.routes[id].draw_at = self.now + (self.set.overload_window / 2).max(1);
                self.routes[id].drawn = (self.dice.uniform() < calls / 2.0).then_some(self.now);
            }
        }
    }

    /// Whole calls that the route's window and its state still allow.
    fn has_room(&self, id: RouteId, destination: &Destination) -> bool {
        let route = &self.routes[id];
        let half = ((self.set.max_calls as f64 * SICK_CAP) as usize).max(1);
        let cap = if route.sick() { half } else { ((self.set.max_calls as f64 * CAP) as usize).max(1) };
        let held = || self.routes.iter().filter(|r| r.sick()).map(|r| r.in_flight).sum::<usize>();
        // A call still out when the forwarder stops may have run: an unsafe message would be lost with it.
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

    /// Rule of drains: nothing new to an endpoint that drains or is gone, from the moment it was told.
    /// Where calls carry batches, part of one waits while a call is out (as Nagle's rule): many small calls
    /// use up a limit for other forwarders too. It may hurt by one service time where nothing is short.
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

    /// Endpoints for a message now: usable, with room, allowed by what became of it so far.
    fn fit<'a>(&'a self, message: &'a Message) -> impl Iterator<Item = (EndpointId, &'a Endpoint)> {
        let destination = self.destinations.get(&message.destination).filter(|_| self.may_send(message));
        destination.into_iter().flat_map(move |d| {
            let places = d.endpoints.iter().map(|id| (*id, &self.endpoints[id]));
            places.filter(move |(id, place)| self.takes(place, d) && self.in_group(message, *id, place))
        })
    }

    /// The best of these by cost and chance; chance alone would go by weight.
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

    /// Points that a call there costs: handshake, zone, fee, slowness; load and sickness weigh in too.
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

    /// Rule of effects: a keyed message that may have run goes only where its repeat is dropped.
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

    /// The first message of a queue that can go now.
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

    /// One call to an endpoint: the message given, and others of its queue as far as a call takes them.
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
        // An unsafe message too: timed out it has failed, but a hung one would keep a slot from all others.
        let timeout = self.routes[route].timeout().min(left);
        self.attempts.insert((id, message.attempts), (self.next_call, message.key));
        message.attempts += 1;
        message.out += 1;
        actions.push(Action::Send { id, endpoint, timeout });
    }
}

/// What a message loses by coming late.
fn stake(class: &Class) -> f64 {
    class.priority_weight * (1.0 - class.late_weight_share)
}

/// Even parts of a limit that a route is paced at, and calls that it saves up, at most.
fn most_parts(set: &Settings) -> f64 {
    1.0 + PACE_FLEET / f64::from(set.fleet_size.max(1))
}
