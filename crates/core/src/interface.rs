//! The interface of the controller: settings, events and actions. This module holds no logic. Some settings, events and
//! actions have no effect, and their doc comments say so.
//!
//! A class, tenant, zone or kind is a number: its index in a list of [`Settings`]. The forwarder chooses the numbers of
//! messages, endpoints and order keys. An event may contain an index that the settings do not have: an unknown class is
//! handled as [`Idempotency::NonIdempotent`] without a priority weight, an unknown tenant has no quota, each unknown
//! zone is a separate zone, and an unknown kind has neither batches nor separate routes.

use serde::{Deserialize, Serialize};

/// A point on the forwarder's clock, or a time span, in microseconds.
pub type Micros = i64;
/// Microseconds in a second, for rates in calls a second.
pub(crate) const SECOND_US: f64 = 1_000_000.0;
/// The number of a message. The forwarder chooses it and never uses it again.
pub type MessageId = u64;
/// The number of an endpoint, which the forwarder chooses.
pub type EndpointId = u32;
/// The number of a destination.
pub type DestinationId = u64;
/// A route, identified by the numbers of this interface: a destination, or one endpoint of a destination whose
/// endpoints are separate routes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RouteRef {
    /// The destination.
    pub destination: DestinationId,
    /// The endpoint if it is a separate route; `None` for the route that all endpoints of the destination share.
    pub endpoint: Option<EndpointId>,
}

/// An attempt that was sent before a restart and may have been executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PriorAttempt {
    /// Time since the attempt was sent.
    pub sent_ago: Micros,
    /// The endpoint that the attempt was sent to.
    pub endpoint: EndpointId,
    /// The endpoint's zone at that time.
    pub zone: usize,
}

/// How the weight of a message decreases after its latency objective.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum WeightDecay {
    /// The weight decreases linearly and reaches the late share at the deadline.
    #[default]
    Linear,
    /// The weight halves with each further latency objective, but does not fall below the late share.
    Halving,
}

/// Which endpoints of a destination drop a repeated delivery of a message with an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All endpoints.
    All,
    /// The endpoints in the zone of the first attempt.
    Zone,
    /// Only the endpoint of the first attempt.
    Endpoint,
}

/// Whether a message of a class may be delivered twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum Idempotency {
    /// A second delivery is harmless.
    Idempotent,
    /// A second delivery within the scope is dropped, for the time `window` after the first attempt that may have been
    /// executed was sent.
    IdempotencyKey {
        /// Which endpoints drop the second delivery.
        scope: DeduplicationScope,
        /// How long they drop it, in microseconds.
        window: Micros,
    },
    /// A second delivery is executed a second time.
    #[default]
    NonIdempotent,
}

/// A class of messages.
#[derive(Clone, Debug, PartialEq, Default)]
pub struct Class {
    /// A message that is delivered within this time of its arrival has its full weight.
    pub latency_objective: Micros,
    /// The message is given up when this time has passed since its arrival.
    pub deadline: Micros,
    /// Weight of a message delivered in time, in points.
    pub priority_weight: f64,
    /// Share of the weight that remains at the deadline, from 0 to 1.
    pub late_weight_share: f64,
    /// Whether a message of this class may be delivered twice.
    pub idempotency: Idempotency,
    /// Whether messages with the same order key are sent one at a time, in order of arrival.
    pub keep_order: bool,
}

/// A kind of destination.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DestinationKind {
    /// Greatest number of messages in one call; at least 1.
    pub max_batch: usize,
    /// Whether its endpoints are separate routes, each with its own limit, pace and health.
    pub separate_routes: bool,
}

/// Meaning of the capacity hints in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum CapacityHints {
    /// The hints have no meaning.
    #[default]
    None,
    /// The hint is the number of calls a second that the destination (or route) accepts from all forwarders together.
    Nominal,
    /// As [`CapacityHints::Nominal`], but the hint may be up to half too high or too low.
    Rough,
}

/// How changes of the endpoint list arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum DiscoveryMode {
    /// Changes arrive without a request.
    #[default]
    Push,
    /// Changes arrive only after [`Action::Watch`] or [`Action::PollList`].
    Poll,
}

/// Settings of a forwarder. Times are in microseconds, costs in points.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// Number of forwarders in the fleet.
    pub fleet_size: u32,
    /// The zone of this forwarder.
    pub zone: usize,
    /// Classes of messages.
    pub classes: Vec<Class>,
    /// Kinds of destinations.
    pub kinds: Vec<DestinationKind>,
    /// Quota of each tenant, in messages a second over all forwarders. Has no effect: the controller has no rule for
    /// quotas.
    pub tenant_quotas: Vec<f64>,
    /// Share of its weight that a message keeps if its tenant is over its quota. Has no effect.
    pub over_quota_weight: f64,
    /// How the weight decreases after the latency objective. Has no effect, because `queue` orders late messages by
    /// their lateness.
    pub decay: WeightDecay,
    /// Greatest number of calls in flight (call slots).
    pub max_calls: usize,
    /// Greatest number of messages without a final answer, whether sent or not; 0 means no limit.
    pub max_open_messages: usize,
    /// Greatest number of attempts for one message; 0 means no limit.
    pub max_attempts: u32,
    /// Whether a message may have two attempts in flight. Has no effect: the controller never hedges.
    pub allow_hedging: bool,
    /// Whether attempts may be cancelled.
    pub allow_cancel: bool,
    /// Whether a rejection carries a Retry-After.
    pub send_retry_after: bool,
    /// Longest Retry-After that clients honour.
    pub max_retry_after: Micros,
    /// Greatest number of concurrent calls on one connection.
    pub streams_per_connection: usize,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Micros,
    /// Time after which an attempt to connect has failed.
    pub connect_timeout: Micros,
    /// Cost of a first attempt that needs a new connection.
    pub handshake_cost: f64,
    /// Cost of a first attempt that goes to another zone.
    pub cross_zone_cost: f64,
    /// For each zone, the cost of a message that is delivered by a separate route whose endpoint is in this zone.
    pub zone_costs: Vec<f64>,
    /// Meaning of the capacity hints.
    pub capacity_hints: CapacityHints,
    /// How changes of the endpoint list arrive. Used by [`poll_schedule`](crate::poll_schedule), not by the controller.
    pub discovery_mode: DiscoveryMode,
    /// Shortest time between two steps.
    pub tick: Micros,
    /// Time after the deadline within which a final answer is still accepted as in time. Has no effect, because the
    /// controller answers before the deadline.
    pub final_answer_grace: Micros,
    /// Longest time between two requests for the endpoint list while there is no subscription; 0 means no limit. Used
    /// by [`poll_schedule`](crate::poll_schedule), not by the controller.
    pub max_poll_interval: Micros,
    /// Time within which sends to a draining endpoint must stop. The controller stops at once; the forwarder starts its
    /// subscriptions within this time.
    pub drain_grace: Micros,
    /// A cold destination is overloaded if it gets calls at more than this multiple of its present capacity over
    /// [`Self::overload_window`].
    pub overload_factor: f64,
    /// Time span in which calls are compared with [`Self::overload_factor`].
    pub overload_window: Micros,
    /// Share of its capacity that a destination has at least directly after an outage.
    pub cold_capacity_share: f64,
    /// Time after an outage until a destination has its full capacity.
    pub warm_up_time: Micros,
    /// Time for which an order key waits after an attempt that may still be running.
    pub key_cooldown: Micros,
}

/// State of an endpoint in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndpointState {
    /// The endpoint is in use. This state says nothing about its health.
    #[serde(rename = "in_service")]
    Active,
    /// The endpoint gets no new calls.
    #[serde(rename = "terminating")]
    Draining,
    /// The endpoint is no longer in the list. This state occurs only in a delta.
    #[serde(rename = "terminated")]
    Removed,
}

/// Result of an endpoint's health checks; `Passing` if it has none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HealthStatus {
    /// All health checks pass, or there are none. This alone does not end an ejection.
    #[default]
    Passing,
    /// At least one health check warns: other endpoints are preferred.
    Warning,
    /// At least one health check fails: the endpoint gets no calls while another endpoint of its destination passes. If
    /// no endpoint passes, the outcomes of calls decide.
    Critical,
}

impl HealthStatus {
    /// Returns `true` for [`HealthStatus::Passing`].
    pub fn is_passing(&self) -> bool {
        *self == HealthStatus::Passing
    }
}

/// One entry of an endpoint list event.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointUpdate {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The destination that the endpoint belongs to.
    pub destination: DestinationId,
    /// Its zone.
    pub zone: usize,
    /// The kind of its destination.
    pub kind: usize,
    /// Its state.
    pub state: EndpointState,
    /// Result of its health checks.
    pub health: HealthStatus,
    /// Capacity hint; see [`Settings::capacity_hints`] for its meaning and unit.
    pub capacity_hint: f64,
}

/// The content of an endpoint list event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListEventKind {
    /// Changed entries only.
    Delta,
    /// The whole list.
    Snapshot,
    /// The whole list as this forwarder last had it, which may be out of date.
    Restored,
    /// No entries: a request failed or the subscription broke.
    Failed,
}

/// The zone number shared by all zones that the settings do not name. Each of these zones is a separate zone.
pub const UNKNOWN_ZONE: usize = usize::MAX;

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The message was delivered.
    Success,
    /// The endpoint answered with an error; the call may have been executed.
    Error,
    /// The endpoint rejected the call before its execution.
    Rejected,
    /// No answer came in time; the call may have been executed.
    Timeout,
    /// The call did not reach the endpoint, for example because no connection could be made; it was not executed.
    ConnectFailed,
    /// The connection broke; the call may have been executed.
    Reset,
    /// The answer could not be read, or a reused connection closed during the call; the call may have been executed.
    /// Neither says much about the endpoint's health, so the first few in a row do not reduce its calls.
    InvalidResponse,
    /// The attempt was cancelled; the call may have been executed.
    Cancelled,
    /// The call was not sent, or the answer says that it was not executed and says nothing about the endpoint's health.
    NotSent,
}

/// The outcome of an attempt, and what its answer reported.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptResult {
    /// The message.
    pub id: MessageId,
    /// Number of the attempt, from 0.
    pub attempt: u32,
    /// How it ended.
    pub outcome: Outcome,
    /// Time from the send to the end of the attempt.
    pub latency: Micros,
    /// Whether the message now has its final answer.
    pub message_finished: bool,
    /// Retry-After of the answer, whatever the outcome; 0 if there is none.
    pub retry_after: Micros,
    /// Limit that the answer reported, in calls a second; `None` if it reported none.
    pub reported_limit: Option<f64>,
    /// What the answer reported as remaining of the limit; `None` if it reported nothing.
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
        /// Its order key, which has an effect only if its class keeps an order. The controller does not know
        /// idempotency keys.
        order_key: Option<u64>,
        /// Time left until its deadline.
        time_left: Micros,
        /// Whether the client marked the message as a retry.
        is_retry: bool,
    },
    /// The attempts that a message had before a restart. Follows its [`Event::Message`] directly.
    AttemptHistory {
        /// The number of the message.
        id: MessageId,
        /// Number of attempts made before the restart.
        attempts: u32,
        /// The first attempt that may have been executed; `None` if there is none.
        possible_delivery: Option<PriorAttempt>,
    },
    /// The state of a destination that an earlier process of this forwarder knew, that an operator has set, or that
    /// this forwarder gets as the destination's new owner.
    RouteState {
        /// The number of the destination.
        destination: DestinationId,
        /// The endpoint to which the state applies if the destination's endpoints are separate routes; `None` means all
        /// of them.
        endpoint: Option<EndpointId>,
        /// Whether its routes start as after an outage: they get trial calls, and after a success a ramp. If `false`,
        /// they stay as they are.
        begins_cold: bool,
        /// Time left of its Retry-After; 0 if there is none.
        retry_after: Micros,
    },
    /// New settings. The endpoint list is sent again directly after them.
    Settings(Box<Settings>),
    /// The forwarder is shutting down. Calls that cannot end before it stops are not started.
    ShuttingDown {
        /// Time left until the forwarder stops.
        time_left: Micros,
    },
    /// The client has withdrawn a message.
    Withdrawn {
        /// The number of the message.
        id: MessageId,
    },
    /// An attempt has ended.
    AttemptEnded(AttemptResult),
    /// The response to an attempt has started, and the attempt belongs to the client from now on. The controller
    /// ignores this.
    ResponseStarted {
        /// The message.
        id: MessageId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// A timer requested with [`Action::Timer`] is due.
    Timer {
        /// The number of the timer, from [`Action::Timer`].
        token: u64,
    },
    /// A change of the endpoint list.
    EndpointList {
        /// What the entries contain.
        kind: ListEventKind,
        /// The entries.
        entries: Vec<EndpointUpdate>,
    },
    /// A health check has ended. The controller ignores this, because results come with the endpoint list.
    HealthChecked {
        /// The endpoint.
        endpoint: EndpointId,
        /// How it ended.
        outcome: Outcome,
    },
    /// Gossip from another forwarder. The controller ignores this.
    Gossip {
        /// The number of the sending forwarder.
        from: u32,
        /// The bytes.
        bytes: Vec<u8>,
    },
}

/// An output of the controller: an instruction to the forwarder.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Call an endpoint with a message. The first attempt of a message has number 0, the next 1, and so on.
    Send {
        /// The message.
        id: MessageId,
        /// The endpoint to call.
        endpoint: EndpointId,
        /// Time after which the attempt fails with a time-out.
        timeout: Micros,
    },
    /// End the message undelivered; the client may safely send it again.
    Reject {
        /// The message.
        id: MessageId,
        /// Retry-After for the client; 0 means that the rejection carries none.
        retry_after: Micros,
    },
    /// End the message undelivered; it may have been executed.
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
    /// Request an [`Event::Timer`].
    Timer {
        /// Time from now until the timer is due.
        delay: Micros,
        /// The number of the timer, which its event repeats.
        token: u64,
    },
    /// Start or stop the subscription to changes of the endpoint list. The controller never emits this.
    Watch {
        /// `true` to subscribe, `false` to stop.
        on: bool,
    },
    /// Request the whole endpoint list once. The controller never emits this.
    PollList,
    /// Send a health check to an endpoint. The controller never emits this.
    HealthCheck {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Close idle connections to an endpoint. The controller never emits this.
    CloseIdle {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Send gossip to one forwarder, or to all. The controller never emits this.
    Gossip {
        /// The number of the receiving forwarder; `None` means all.
        to: Option<u32>,
        /// The bytes.
        bytes: Vec<u8>,
    },
    /// Write a line to the forwarder's log. The controller never emits this.
    Log {
        /// The line.
        text: String,
    },
}
