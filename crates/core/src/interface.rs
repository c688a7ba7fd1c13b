//! The interface of the controller: settings, events and actions. No logic lives here. Some of them have no effect: their
//! doc comments say so.
//!
//! Classes, tenants, zones and kinds are numbers: places in the lists of [`Settings`]. Messages, endpoints and
//! order keys are numbers that the forwarder chooses. A number with no place in the settings is legal in an
//! event: an unknown class is handled as [`Idempotency::NonIdempotent`] without a priority weight, an unknown tenant has no quota, an
//! unknown zone is a zone of its own, and an unknown kind has no batches and no separate routes.

use serde::{Deserialize, Serialize};

/// Microseconds: a point on the forwarder's clock, or a span.
pub type Micros = i64;
/// Microseconds in a second, for rates in calls a second.
pub(crate) const SECOND_US: f64 = 1_000_000.0;
/// A message, numbered by the forwarder; a number is not used again.
pub type MessageId = u64;
/// An endpoint, numbered by the forwarder.
pub type EndpointId = u32;
/// A destination.
pub type DestinationId = u64;
/// A route by the numbers of this interface: a destination, or one endpoint of it where its endpoints are separate routes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RouteRef {
    /// The destination.
    pub destination: DestinationId,
    /// The endpoint, where it is a separate route.
    pub endpoint: Option<EndpointId>,
}

/// An attempt before a restart that may have been executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PriorAttempt {
    /// Time since it was sent.
    pub sent_ago: Micros,
    /// Where it was sent.
    pub endpoint: EndpointId,
    /// The endpoint's zone at that time.
    pub zone: usize,
}

/// How the weight of a message decreases after its latency objective.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum WeightDecay {
    /// Evenly, down to the late share at the deadline.
    #[default]
    Linear,
    /// By half with each further latency objective, but not below the late share.
    Halving,
}

/// Which endpoints of a destination drop a repeat of a keyed message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All of them.
    All,
    /// Those in the zone of the first attempt.
    Zone,
    /// Only the same endpoint.
    Endpoint,
}

/// Whether a message of a class may be delivered twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum Idempotency {
    /// A second delivery does no harm.
    Idempotent,
    /// A second delivery is dropped within the scope, for `window` from the send of the first attempt that may have been
    /// executed.
    IdempotencyKey {
        /// Which endpoints drop it.
        scope: DeduplicationScope,
        /// For how long, in microseconds.
        window: Micros,
    },
    /// A second delivery has its effect twice.
    #[default]
    NonIdempotent,
}

/// A class of messages.
#[derive(Clone, Debug, PartialEq, Default)]
pub struct Class {
    /// Delivered within this time a message has its full weight.
    pub latency_objective: Micros,
    /// Given up after this time.
    pub deadline: Micros,
    /// Weight of a message delivered in time, in points.
    pub priority_weight: f64,
    /// Share of the weight that is left at the deadline.
    pub late_weight_share: f64,
    /// Whether it may be delivered twice.
    pub idempotency: Idempotency,
    /// Messages with the same order key go one at a time, in order of arrival.
    pub keep_order: bool,
}

/// A kind of destination.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DestinationKind {
    /// Messages in one call at most; 1 or more.
    pub max_batch: usize,
    /// Its endpoints are separate routes, each with a limit, a pace and a health of its own.
    pub separate_routes: bool,
}

/// What the capacity hints of the endpoint list mean.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum CapacityHints {
    /// Nothing.
    #[default]
    None,
    /// Calls a second that the destination (or route) takes from all forwarders together.
    Nominal,
    /// The same, up to half too high or too low.
    Rough,
}

/// How changes of the endpoint list arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum DiscoveryMode {
    /// Changes arrive unprompted.
    #[default]
    Push,
    /// Only after [`Action::Watch`] or [`Action::PollList`].
    Poll,
}

/// Settings of a forwarder. Times are in microseconds, costs in points.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// How many forwarders there are.
    pub fleet_size: u32,
    /// The zone of this forwarder.
    pub zone: usize,
    /// Classes of messages.
    pub classes: Vec<Class>,
    /// Kinds of destinations.
    pub kinds: Vec<DestinationKind>,
    /// Messages a second within its share, for each tenant, over all forwarders. Has no effect: the controller has no rule
    /// for quotas.
    pub tenant_quotas: Vec<f64>,
    /// Share of its weight that a message over its tenant's quota keeps. Has no effect.
    pub over_quota_weight: f64,
    /// How the weight decreases after the latency objective. Has no effect: `queue` orders late messages by their lateness.
    pub decay: WeightDecay,
    /// Calls in flight at once (call slots).
    pub max_calls: usize,
    /// Messages without a final answer at once, sent or not; 0 means any number.
    pub max_open_messages: usize,
    /// Attempts for one message; 0 means any number.
    pub max_attempts: u32,
    /// A message may have two attempts in flight. Has no effect: the controller never hedges.
    pub allow_hedging: bool,
    /// Attempts may be cancelled.
    pub allow_cancel: bool,
    /// Rejections carry a Retry-After.
    pub send_retry_after: bool,
    /// Longest Retry-After that a client follows.
    pub max_retry_after: Micros,
    /// Calls that one connection carries at once.
    pub streams_per_connection: usize,
    /// An idle connection closes after this time.
    pub idle_timeout: Micros,
    /// A connection not up by then has failed.
    pub connect_timeout: Micros,
    /// Cost of a new connection for a first attempt.
    pub handshake_cost: f64,
    /// Cost of a first attempt into another zone.
    pub cross_zone_cost: f64,
    /// Cost of a message delivered by a separate route, for each zone.
    pub zone_costs: Vec<f64>,
    /// What the capacity hints mean.
    pub capacity_hints: CapacityHints,
    /// How changes of the endpoint list arrive; for [`poll_schedule`](crate::poll_schedule), not the controller.
    pub discovery_mode: DiscoveryMode,
    /// Least time between two steps.
    pub tick: Micros,
    /// A final answer counts until this long after the deadline. Has no effect: the controller answers
    /// before the deadline.
    pub final_answer_grace: Micros,
    /// Without a subscription the list has to be polled within this time; 0 means never. For
    /// [`poll_schedule`](crate::poll_schedule), not the controller.
    pub max_poll_interval: Micros,
    /// Sends to a draining endpoint must stop within this time. The controller stops at once; the forwarder starts
    /// its subscriptions within it.
    pub drain_grace: Micros,
    /// A cold destination is overloaded by more than this multiple of its present capacity ...
    pub overload_factor: f64,
    /// ... over this time.
    pub overload_window: Micros,
    /// After an outage a destination has at least this share of its capacity ...
    pub cold_capacity_share: f64,
    /// ... and all of it after this time.
    pub warm_up_time: Micros,
    /// An order key waits this long after an attempt that may still be running.
    pub key_cooldown: Micros,
}

/// State of an endpoint in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndpointState {
    /// In use; says nothing of its health.
    #[serde(rename = "in_service")]
    Active,
    /// No new call may go there.
    #[serde(rename = "terminating")]
    Draining,
    /// No longer in the list; only in a delta.
    #[serde(rename = "terminated")]
    Removed,
}

/// Result of an endpoint's health checks, where there are any.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HealthStatus {
    /// All pass, or there are none. By itself this does not end an ejection.
    #[default]
    Passing,
    /// At least one warns: other endpoints go before it.
    Warning,
    /// At least one fails: nothing goes there while another endpoint of its destination passes. Where none does, its
    /// calls decide.
    Critical,
}

impl HealthStatus {
    /// Whether nothing is wrong.
    pub fn is_passing(&self) -> bool {
        *self == HealthStatus::Passing
    }
}

/// A line of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointUpdate {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The destination that it belongs to.
    pub destination: DestinationId,
    /// Its zone.
    pub zone: usize,
    /// The kind of its destination.
    pub kind: usize,
    /// Its state.
    pub state: EndpointState,
    /// Result of its health checks.
    pub health: HealthStatus,
    /// See [`Settings::capacity_hints`].
    pub capacity_hint: f64,
}

/// What a list event contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListEventKind {
    /// Changed entries only.
    Delta,
    /// The whole list.
    Snapshot,
    /// The whole list as this forwarder had it last, which may be out of date.
    Restored,
    /// A request failed or the subscription broke.
    Failed,
}

/// The number of a zone that the settings do not name: each such zone is one by itself.
pub const UNKNOWN_ZONE: usize = usize::MAX;

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Delivered.
    Success,
    /// Answered with an error; may have been executed.
    Error,
    /// Rejected before execution.
    Rejected,
    /// No answer in time; may have been executed.
    Timeout,
    /// The call was not delivered, as where no connection was made; not executed.
    ConnectFailed,
    /// The connection broke; may have been executed.
    Reset,
    /// An unreadable answer, or a reused connection that closed during the call; may have been executed. Neither says much of
    /// the endpoint by itself, so the first few in a row push nothing back.
    InvalidResponse,
    /// Cancelled; may have been executed.
    Cancelled,
    /// Not sent, or answered in a way that says the call was not executed and nothing of the endpoint's health.
    NotSent,
}

/// How an attempt ended, and what its answer reported.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptResult {
    /// The message.
    pub id: MessageId,
    /// Number of the attempt, from 0.
    pub attempt: u32,
    /// How it ended.
    pub outcome: Outcome,
    /// Time since it was sent.
    pub latency: Micros,
    /// The message has its final answer.
    pub message_finished: bool,
    /// Retry-After of the answer, whatever the outcome; 0: none.
    pub retry_after: Micros,
    /// Reported limit in calls a second, if any.
    pub reported_limit: Option<f64>,
    /// Reported remainder of the limit, if any.
    pub reported_remaining: Option<f64>,
}

/// An input of the controller.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A new message.
    Message {
        /// Its number.
        id: MessageId,
        /// Its destination.
        destination: DestinationId,
        /// Its class.
        class: usize,
        /// Its tenant; has no effect.
        tenant: usize,
        /// Its order key, where its class keeps an order; an idempotency key is no concern of the controller.
        order_key: Option<u64>,
        /// Time until its deadline.
        time_left: Micros,
        /// The client marked it as a retry.
        is_retry: bool,
    },
    /// The attempts of a message before a restart; comes right after its [`Event::Message`].
    AttemptHistory {
        /// Its number.
        id: MessageId,
        /// Attempts used up.
        attempts: u32,
        /// The first attempt that may have been executed.
        possible_delivery: Option<PriorAttempt>,
    },
    /// State of a destination known from an earlier process of this forwarder, set by an operator, or new to this forwarder
    /// as its owner.
    RouteState {
        /// Its number.
        destination: DestinationId,
        /// The endpoint that it is about, where its endpoints are separate routes; none: all of them.
        endpoint: Option<EndpointId>,
        /// Its routes start as after an outage: they get trial calls, and after a success a ramp. Otherwise they stay as
        /// they are.
        begins_cold: bool,
        /// What is left of its Retry-After; 0: none.
        retry_after: Micros,
    },
    /// New settings; the endpoint list comes again right after.
    Settings(Box<Settings>),
    /// The forwarder shuts down: calls that cannot end by then are not begun.
    ShuttingDown {
        /// How long it still runs.
        time_left: Micros,
    },
    /// The client has withdrawn a message.
    Withdrawn {
        /// Its number.
        id: MessageId,
    },
    /// An attempt has ended.
    AttemptEnded(AttemptResult),
    /// The response to an attempt has started; the attempt belongs to the client from now on. Ignored.
    ResponseStarted {
        /// The message.
        id: MessageId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// A timer has come due.
    Timer {
        /// Its number.
        token: u64,
    },
    /// A change of the endpoint list.
    EndpointList {
        /// What the entries are.
        kind: ListEventKind,
        /// The entries.
        entries: Vec<EndpointUpdate>,
    },
    /// A health check has ended. Ignored: results come with the endpoint list.
    HealthChecked {
        /// The endpoint.
        endpoint: EndpointId,
        /// How it ended.
        outcome: Outcome,
    },
    /// Gossip from another forwarder. Ignored.
    Gossip {
        /// Its number.
        from: u32,
        /// The bytes.
        bytes: Vec<u8>,
    },
}

/// An output of the controller: what the forwarder has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Call an endpoint with a message. The first send of a message is attempt 0, the next 1, and so on.
    Send {
        /// The message.
        id: MessageId,
        /// Where to.
        endpoint: EndpointId,
        /// Time after which the attempt fails.
        timeout: Micros,
    },
    /// End the message undelivered; the client may safely send it again.
    Reject {
        /// The message.
        id: MessageId,
        /// Retry-After for the client; 0: none.
        retry_after: Micros,
    },
    /// End the message undelivered; whether it was executed is not known.
    Fail {
        /// The message.
        id: MessageId,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The message.
        id: MessageId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Ask for an [`Event::Timer`].
    Timer {
        /// How long from now.
        delay: Micros,
        /// Its number.
        token: u64,
    },
    /// Subscribe to changes of the list, or stop. The controller never asks for it.
    Watch {
        /// Subscribe.
        on: bool,
    },
    /// Request the whole list once. The controller never asks for it.
    PollList,
    /// Send a health check to an endpoint. The controller never asks for it.
    HealthCheck {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Close idle connections to an endpoint. The controller never asks for it.
    CloseIdle {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Send gossip to one forwarder, or to all. The controller never asks for it.
    Gossip {
        /// Its number; `None`: all.
        to: Option<u32>,
        /// The bytes.
        bytes: Vec<u8>,
    },
    /// A line for the forwarder's log. The controller never writes one.
    Log {
        /// The line.
        text: String,
    },
}
