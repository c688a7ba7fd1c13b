//! State of the decision module: messages, calls, endpoints, destinations and routes. Nothing is decided here.

use crate::control::UNKNOWN_USUAL;
use crate::interface::*;
use crate::traffic::{RateEstimator, TokenBucket};
use std::collections::{BTreeSet, VecDeque};
use std::ops::{Deref, DerefMut};

/// Place in the table of routes.
pub(crate) type RouteId = usize;
/// Number of a call.
pub(crate) type CallId = u64;
/// Place in a queue: stage (0 in time, 1 late), due time (late: how late, the least first), number.
pub(crate) type Rank = (u8, Micros, MessageId);

/// One message: what it is, what may have become of it so far, and where it stands in its queue.
#[derive(Debug, Default)]
pub(crate) struct Message {
    pub destination: DestinationId,
    pub class: Class,
    pub key: Option<u64>,
    pub aim_at: Micros,
    pub deadline: Micros,
    pub first_try: bool,
    pub kept_untried: bool,
    pub attempts: u32,
    pub out: usize,
    pub called_off: bool,
    /// Send time, endpoint and zone of the first attempt that may have run.
    pub may_have_run: Option<(Micros, EndpointId, usize)>,
    pub rank: Option<Rank>,
}

/// One call to an endpoint, with one message or several.
#[derive(Debug, Default)]
pub(crate) struct Call {
    pub endpoint: EndpointId,
    pub zone: usize,
    pub route: RouteId,
    pub sent: Micros,
    pub open: usize,
    pub clean: bool,
    pub judged: bool,
    pub overdue: bool,
    /// The message, where it is the only one; whether the call is alone.
    pub only: Option<MessageId>,
    pub alone: bool,
    pub written_off: bool,
}

/// Messages of one order key: those not over in order, and what is still out of those that are.
#[derive(Debug, Default)]
pub(crate) struct KeyLine {
    pub line: VecDeque<MessageId>,
    pub strays: usize,
    pub quiet_until: Micros,
    pub quiet_for: MessageId,
}

/// One endpoint of the list: what is told of it, and its traffic so far.
#[derive(Debug, Default)]
pub(crate) struct Endpoint {
    pub destination: DestinationId,
    pub route: RouteId,
    pub zone: usize,
    pub kind: DestinationKind,
    pub usable: bool,
    /// The list names it no more.
    pub gone: bool,
    /// What health checks report, and whether they call a sister fitter.
    pub report: HealthStatus,
    pub passed_over: bool,
    /// Kept from the first call on.
    pub traffic: Option<Box<EndpointTraffic>>,
}

/// What the calls to an endpoint have shown.
#[derive(Debug)]
pub(crate) struct EndpointTraffic {
    pub in_flight: usize,
    pub idle: Vec<Micros>,
    pub streak: u32,
    /// When the latest of the calls was sent that it has answered well.
    pub answered: Micros,
    /// Unreadable answers since the last success.
    pub spoilt: u32,
    pub avoid_until: Micros,
}

/// The traffic of an endpoint that has had none.
static NO_ENDPOINT_TRAFFIC: EndpointTraffic = EndpointTraffic::none();

impl EndpointTraffic {
    const fn none() -> Self {
        EndpointTraffic { in_flight: 0, idle: Vec::new(), streak: 0, answered: 0, spoilt: 0, avoid_until: 0 }
    }
}

impl Deref for Endpoint {
    type Target = EndpointTraffic;

    fn deref(&self) -> &EndpointTraffic {
        self.traffic.as_deref().unwrap_or(&NO_ENDPOINT_TRAFFIC)
    }
}

impl DerefMut for Endpoint {
    fn deref_mut(&mut self) -> &mut EndpointTraffic {
        self.traffic.get_or_insert_with(|| Box::new(EndpointTraffic::none()))
    }
}

/// A destination and the messages that wait for it.
#[derive(Debug, Default)]
pub(crate) struct Destination {
    pub endpoints: Vec<EndpointId>,
    pub shared: Option<RouteId>,
    pub queue: BTreeSet<Rank>,
    pub in_flight: usize,
}

/// Whether a route serves.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) enum Health {
    #[default]
    /// As far as is known.
    Good,
    /// Only trial calls go there.
    Out,
    /// Back since then, with part of its capacity.
    Warming(Micros),
}

/// One route (a destination, or an endpoint where they are apart): what is known of it, and its traffic so far.
#[derive(Debug, Default)]
pub(crate) struct Route {
    pub weight: f64,
    pub wait_until: Micros,
    pub health: Health,
    /// Health checks have left it no endpoint that is fit.
    pub unfit: bool,
    /// Calls that may go now, where the route is paced.
    pub bucket: TokenBucket,
    /// Calls served, and one to come.
    pub served: RateEstimator,
    /// Kept from the first call on: most routes of a long list have had none.
    pub traffic: Option<Box<RouteTraffic>>,
}

/// What the calls to a route have shown: window, pace, push-backs.
#[derive(Debug)]
pub(crate) struct RouteTraffic {
    pub window: f64,
    /// After refusals: time between calls, as a window below one; 0 where none is needed.
    pub gap: f64,
    /// Calls a second in even parts of the limit.
    pub pace: f64,
    pub in_flight: usize,
    /// Calls out that are overdue, and those given up as lost when the route came back.
    pub overdue: usize,
    pub written_off: usize,
    /// Push-backs since the last success, and whether any was more than a refusal.
    pub streak: u32,
    pub failing: bool,
    pub timeouts: u32,
    pub last_ok: Micros,
    pub pause_until: Micros,
    pub usual: f64,
    pub deviation: f64,
    pub limit: f64,
    /// Calls of the last `tip_after`.
    pub sends: VecDeque<Micros>,
    /// The first push-back since the last success, and the last.
    pub pushed: Option<(Micros, Micros)>,
    /// Where the budget is under one call: the next draw, and whether the last lets a call go in this step.
    pub draw_at: Micros,
    pub drawn: Option<Micros>,
    /// Its part of the count of calls on sick routes.
    pub sick_calls: usize,
}

/// The traffic of a route that has had none.
static NO_ROUTE_TRAFFIC: RouteTraffic = RouteTraffic::none();

impl RouteTraffic {
    const fn none() -> Self {
        RouteTraffic {
            window: 1.0,
            gap: 0.0,
            pace: 1.0,
            in_flight: 0,
            overdue: 0,
            written_off: 0,
            streak: 0,
            failing: false,
            timeouts: 0,
            last_ok: 0,
            pause_until: 0,
            usual: UNKNOWN_USUAL,
            deviation: UNKNOWN_USUAL / 2.0,
            limit: 0.0,
            sends: VecDeque::new(),
            pushed: None,
            draw_at: 0,
            drawn: None,
            sick_calls: 0,
        }
    }
}

impl Deref for Route {
    type Target = RouteTraffic;

    fn deref(&self) -> &RouteTraffic {
        self.traffic.as_deref().unwrap_or(&NO_ROUTE_TRAFFIC)
    }
}

impl DerefMut for Route {
    fn deref_mut(&mut self) -> &mut RouteTraffic {
        self.traffic.get_or_insert_with(|| Box::new(RouteTraffic::none()))
    }
}
