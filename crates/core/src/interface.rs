//! The interface of the decision module: settings, events and actions. No logic lives here.
//!
//! Classes, tenants, zones and kinds are numbers: places in the lists of [`Settings`]. Messages, endpoints and
//! order keys are numbers that the forwarder chooses. A number with no place in the settings is legal in an
//! event: an unknown class is handled as [`Idempotency::NonIdempotent`] with no worth, an unknown tenant has no quota, an
//! unknown zone is a zone apart, and an unknown kind is plain (no batches, endpoints not apart).

use serde::{Deserialize, Serialize};

/// Microseconds: a point on the forwarder's clock, or a span.
pub type Micros = i64;
/// A message, numbered by the forwarder; a number is not used again.
pub type MessageId = u64;
/// An endpoint, numbered by the forwarder.
pub type EndpointId = u32;
/// A destination.
pub type DestinationId = u64;
/// A route in trouble: a destination, or one endpoint of it where they are routes apart.
pub type FaultyRouteId = (DestinationId, Option<EndpointId>);

/// How worth falls after the aim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum WeightDecay {
    /// Evenly, down to the late share at the deadline.
    #[default]
    Linear,
    /// By half with each further aim, but not under the late share.
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

/// What a second delivery of a message of this class would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum Idempotency {
    /// No harm.
    Idempotent,
    /// It is dropped within the group, for `window` from the send of the first attempt that may have run.
    IdempotencyKey {
        /// Who drops it.
        scope: DeduplicationScope,
        /// For how long.
        window: Micros,
    },
    /// Harm: the effect happens twice.
    #[default]
    NonIdempotent,
}

/// A class of messages.
#[derive(Clone, Debug, PartialEq, Default)]
pub struct Class {
    /// Delivered within this time it earns its full worth.
    pub latency_objective: Micros,
    /// Given up after this time.
    pub deadline: Micros,
    /// Worth of one message.
    pub priority_weight: f64,
    /// Share of the worth that is left at the deadline.
    pub late_weight_share: f64,
    /// What a repeat does.
    pub idempotency: Idempotency,
    /// Messages with one key go one at a time, in the order of their taking.
    pub keep_order: bool,
}

/// A kind of destination.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DestinationKind {
    /// Messages in one call at most; 1 or more.
    pub max_batch: usize,
    /// Endpoints are separate routes, each with limit, pace and outages of its own.
    pub separate_routes: bool,
}

/// What the weights of the list mean.
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

/// Who starts the news of the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum DiscoveryMode {
    /// Changes arrive unprompted.
    #[default]
    Push,
    /// Only after [`Action::Watch`] or [`Action::PollList`].
    Poll,
}

/// What a forwarder is told at its start.
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
    /// Messages a second within its share, for each tenant, over all forwarders.
    pub tenant_quotas: Vec<f64>,
    /// Part of the worth that a message over its tenant's share keeps.
    pub over_quota_weight: f64,
    /// How worth falls.
    pub decay: WeightDecay,
    /// Calls out at once.
    pub max_calls: usize,
    /// Messages held at once, sent or not; 0 means any number.
    pub max_open_messages: usize,
    /// Attempts for one message; 0 means any number.
    pub max_attempts: u32,
    /// A message may have two attempts out together.
    pub allow_hedging: bool,
    /// Attempts may be cancelled.
    pub allow_cancel: bool,
    /// Refused clients get pause advice.
    pub send_retry_after: bool,
    /// The longest pause that a client follows.
    pub max_retry_after: Micros,
    /// Calls that one connection carries at once.
    pub streams_per_connection: usize,
    /// An idle connection closes after this time.
    pub idle_timeout: Micros,
    /// A connection not up by then has failed.
    pub connect_timeout: Micros,
    /// Points for a fresh connection, by first try.
    pub handshake_cost: f64,
    /// Points for an attempt into another zone, by first try.
    pub cross_zone_cost: f64,
    /// Points for a message taken on by a route apart, for each zone.
    pub zone_costs: Vec<f64>,
    /// What weights mean.
    pub capacity_hints: CapacityHints,
    /// Who starts the news of the list.
    pub discovery_mode: DiscoveryMode,
    /// Least time between two steps.
    pub tick: Micros,
    /// A final answer counts until this long after the deadline.
    pub final_answer_grace: Micros,
    /// Without a subscription the list must be asked for within this time; 0 means never.
    pub max_poll_interval: Micros,
    /// Sends to a draining endpoint must stop within this time.
    pub drain_grace: Micros,
    /// A cold destination falls over at more than this multiple of its present capacity ...
    pub overload_factor: f64,
    /// ... kept up for this long.
    pub overload_window: Micros,
    /// After an outage a destination has this share of its capacity or more ...
    pub cold_capacity_share: f64,
    /// ... and all of it after this time.
    pub warm_up_time: Micros,
    /// A key rests this long after an attempt that may still be running.
    pub key_cooldown: Micros,
}

/// What the list says of an endpoint.
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

/// What health checks say of an endpoint, where somebody makes any.
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

/// A line of the list.
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
    /// What health checks say of it.
    pub health: HealthStatus,
    /// See [`Settings::capacity_hints`].
    pub capacity_hint: f64,
}

/// What kind of news a list event is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListEventKind {
    /// Changed entries only.
    Delta,
    /// The whole list.
    Snapshot,
    /// The whole list as this forwarder had it last; it may be old.
    Restored,
    /// Asking failed or the subscription broke.
    Failed,
}

/// The number of a zone that the settings do not name: each such zone is one by itself.
pub const UNKNOWN_ZONE: usize = usize::MAX;

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Delivered.
    Success,
    /// Answered with an error; may have taken effect.
    Error,
    /// Turned away unseen.
    Rejected,
    /// No answer in time; may have taken effect.
    Timeout,
    /// No connection was made; never ran.
    ConnectFailed,
    /// The connection broke; may have taken effect.
    Reset,
    /// Spoilt on the way back: an answer came that cannot be read, or a kept connection closed under the call;
    /// may have taken effect.
    InvalidResponse,
    /// Called off; may have taken effect.
    Cancelled,
    /// Not sent at all.
    NotSent,
}

/// How an attempt ended, and what was told with it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptResult {
    /// The message.
    pub id: MessageId,
    /// Number of the attempt, from 0.
    pub attempt: u32,
    /// How it ended.
    pub outcome: Outcome,
    /// Time since the send.
    pub latency: Micros,
    /// The message is over.
    pub message_finished: bool,
    /// Told to wait this long, whatever the outcome; 0: nothing told.
    pub retry_after: Micros,
    /// Reported limit in calls a second, if any.
    pub reported_limit: Option<f64>,
    /// Reported share of the limit that is left, if any.
    pub reported_remaining: Option<f64>,
}

/// What has happened.
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
        /// Its tenant.
        tenant: usize,
        /// Its key of order, where its class keeps one; a key that has repeats dropped is not the module's.
        order_key: Option<u64>,
        /// Time until it is given up.
        time_left: Micros,
        /// The client marked it as a repeat.
        is_retry: bool,
    },
    /// What became of a message before a restart; comes right after its [`Event::Message`].
    AttemptHistory {
        /// Its number.
        id: MessageId,
        /// Attempts used up.
        attempts: u32,
        /// The first attempt that may have run: how long ago, where to, and the endpoint's zone at that time.
        possible_delivery: Option<(Micros, EndpointId, usize)>,
    },
    /// What is known of a destination from elsewhere: an earlier process of this forwarder, or an operator.
    RouteState {
        /// Its number.
        destination: DestinationId,
        /// The endpoint that it is about, where they are routes apart; none: all of them.
        endpoint: Option<EndpointId>,
        /// It is in trouble (see [`faulty_routes`](crate::Controller::faulty_routes)), or comes back cold.
        ejected: bool,
        /// It told to wait, so much longer; 0: nothing told.
        retry_after: Micros,
    },
    /// Other settings hold from now on; the list comes again right after.
    Settings(Box<Settings>),
    /// The forwarder stops: what cannot end by then is not begun.
    ShuttingDown {
        /// How long it still runs.
        time_left: Micros,
    },
    /// Nobody wants this message any more.
    Withdrawn {
        /// Its number.
        id: MessageId,
    },
    /// An attempt has ended.
    AttemptEnded(AttemptResult),
    /// The answer to an attempt has started to flow; the attempt is the client's from now on.
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
    /// News of the list.
    EndpointList {
        /// What kind of news.
        kind: ListEventKind,
        /// The entries.
        entries: Vec<EndpointUpdate>,
    },
    /// A probe has ended.
    HealthChecked {
        /// The endpoint.
        endpoint: EndpointId,
        /// How it ended.
        outcome: Outcome,
    },
    /// Bytes from another forwarder.
    Gossip {
        /// Its number.
        from: u32,
        /// The bytes.
        bytes: Vec<u8>,
    },
}

/// What the forwarder is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Call an endpoint with a message. The first send of a message is attempt 0, the next 1, and so on.
    Send {
        /// The message.
        id: MessageId,
        /// Where to.
        endpoint: EndpointId,
        /// Time-out.
        timeout: Micros,
    },
    /// End the message undelivered; the client may safely hand it in again after `pause`.
    Reject {
        /// The message.
        id: MessageId,
        /// Advice on when to come back; 0: none.
        retry_after: Micros,
    },
    /// End the message undelivered, with no promise about its effect.
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
    /// Subscribe to changes of the list, or stop.
    Watch {
        /// Subscribe.
        on: bool,
    },
    /// Ask for the whole list once.
    PollList,
    /// Send a check to an endpoint.
    HealthCheck {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Close idle connections to an endpoint.
    CloseIdle {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Send bytes to one forwarder, or to all.
    Gossip {
        /// Its number; `None`: all.
        to: Option<u32>,
        /// The bytes.
        bytes: Vec<u8>,
    },
    /// A line for the forwarder's log.
    Log {
        /// The line.
        text: String,
    },
}
