//! Reads the settings JSON, which the simulator and the platform both provide, into the controller's [`Settings`]. Only
//! this module maps the names of its fields.

use crate::interface::{
    CapacityHints, Class, DeduplicationScope, DestinationKind, DiscoveryMode, Idempotency, Settings,
    WeightDecay,
};
use serde::Deserialize;

/// The settings JSON. A field that holds a value of [`Settings`] or [`Class`] mostly has the name used there, and
/// `rename` gives its name in the JSON. Times are in microseconds.
#[derive(Deserialize, Default)]
#[serde(default)]
struct SettingsJson {
    /// Name of this forwarder's zone.
    #[serde(rename = "az")]
    zone: String,
    classes: Vec<ClassJson>,
    costs: CostsJson,
    #[serde(rename = "family_info")]
    family: FamilyJson,
    fleet_size: u32,
    /// Names of the kinds of destinations.
    #[serde(rename = "host_types")]
    kinds: Vec<String>,
    limits: LimitsJson,
    #[serde(rename = "over_share_worth")]
    over_quota_weight: f64,
    #[serde(rename = "registry_mode")]
    discovery_mode: String,
    rules: RulesJson,
    tenants: Vec<TenantJson>,
    #[serde(rename = "tick_us")]
    tick: i64,
    #[serde(rename = "weights")]
    capacity_hints: String,
    zones: Vec<String>,
}

#[derive(Deserialize)]
struct ClassJson {
    name: String,
    #[serde(rename = "effect")]
    idempotency: IdempotencyJson,
    #[serde(rename = "on_time_us")]
    latency_objective: i64,
    #[serde(rename = "hard_limit_us")]
    deadline: i64,
    #[serde(rename = "credit", default)]
    priority_weight: f64,
    #[serde(rename = "late_share", default)]
    late_weight_share: f64,
    /// `scope` of the idempotency key.
    #[serde(rename = "group", default)]
    scope: String,
    /// `window` of the idempotency key.
    #[serde(rename = "window_us", default)]
    window: i64,
    #[serde(default)]
    keep_order: bool,
}

/// The variants of [`Idempotency`], under their names in the JSON; `scope` and `window` of the key are separate fields.
#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum IdempotencyJson {
    /// [`Idempotency::Idempotent`].
    Retryable,
    /// [`Idempotency::IdempotencyKey`].
    Dedup,
    /// [`Idempotency::NonIdempotent`].
    Fragile,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct CostsJson {
    handshake: f64,
    cross_zone: f64,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct FamilyJson {
    /// `max_batch` of each kind.
    #[serde(rename = "batch_by_kind")]
    max_batch_by_kind: Vec<usize>,
    /// `separate_routes` of each kind.
    #[serde(rename = "own_limits")]
    separate_routes_by_kind: Vec<bool>,
    #[serde(rename = "loses_worth")]
    decay: String,
    #[serde(rename = "slots")]
    max_calls: usize,
    #[serde(rename = "toll")]
    zone_costs: Vec<f64>,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct LimitsJson {
    #[serde(rename = "dial_timeout_us")]
    connect_timeout: i64,
    #[serde(rename = "idle_close_us")]
    idle_timeout: i64,
    #[serde(rename = "max_open")]
    max_open_messages: usize,
    #[serde(rename = "max_retry_after_us")]
    max_retry_after: i64,
    #[serde(rename = "may_cancel")]
    allow_cancel: bool,
    #[serde(rename = "multiplex")]
    streams_per_connection: usize,
    #[serde(rename = "retry_after")]
    send_retry_after: bool,
    #[serde(rename = "second_copies")]
    allow_hedging: bool,
    #[serde(rename = "try_limit")]
    max_attempts: u32,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct RulesJson {
    #[serde(rename = "answer_slack_us")]
    final_answer_grace: i64,
    #[serde(rename = "ask_every_us")]
    max_poll_interval: i64,
    #[serde(rename = "cold_from")]
    cold_capacity_share: f64,
    #[serde(rename = "drain_grace_us")]
    drain_grace: i64,
    #[serde(rename = "fall_multiple")]
    overload_factor: f64,
    #[serde(rename = "tip_after_us")]
    overload_window: i64,
    #[serde(rename = "warm_within_us")]
    warm_up_time: i64,
    #[serde(rename = "key_quiet_us")]
    key_cooldown: i64,
}

#[derive(Deserialize)]
struct TenantJson {
    name: String,
    /// Quota in messages a second over all forwarders.
    #[serde(rename = "quota_rps", default)]
    quota: f64,
}

/// The names of classes, tenants, kinds and zones. The index of a name is its number in [`Settings`].
#[derive(Debug, Default)]
pub struct Names {
    /// Classes of messages.
    pub classes: Vec<String>,
    /// Tenants.
    pub tenants: Vec<String>,
    /// Kinds of destinations.
    pub kinds: Vec<String>,
    /// Zones.
    pub zones: Vec<String>,
}

/// Reads the settings JSON. Returns the settings and the names of their classes, tenants, kinds and zones.
///
/// # Errors
///
/// Returns an error if the text is not JSON or a field has the wrong type. An unknown word is not an error. It means
/// linear decay (`loses_worth`), no capacity hints (`weights`), push (`registry_mode`) or the scope of one endpoint
/// (`group`).
pub fn read(text: &str) -> Result<(Settings, Names), serde_json::Error> {
    let mut json: SettingsJson = serde_json::from_str(text)?;
    let zone = json.own_zone();
    let settings = json.settings(zone);
    Ok((settings, json.into_names()))
}

impl SettingsJson {
    /// Returns the index of this forwarder's zone, and adds the zone to the list if the list does not name it.
    fn own_zone(&mut self) -> usize {
        self.zones.iter().position(|zone| *zone == self.zone).unwrap_or_else(|| {
            self.zones.push(self.zone.clone());
            self.zones.len() - 1
        })
    }

    fn settings(&self, zone: usize) -> Settings {
        Settings {
            fleet_size: self.fleet_size,
            zone,
            classes: self.classes.iter().map(Class::from).collect(),
            kinds: self.destination_kinds(),
            tenant_quotas: self.tenants.iter().map(|tenant| tenant.quota).collect(),
            over_quota_weight: self.over_quota_weight,
            decay: self.decay(),
            max_calls: self.family.max_calls,
            max_open_messages: self.limits.max_open_messages,
            max_attempts: self.limits.max_attempts,
            allow_hedging: self.limits.allow_hedging,
            allow_cancel: self.limits.allow_cancel,
            send_retry_after: self.limits.send_retry_after,
            max_retry_after: self.limits.max_retry_after,
            streams_per_connection: self.limits.streams_per_connection,
            idle_timeout: self.limits.idle_timeout,
            connect_timeout: self.limits.connect_timeout,
            handshake_cost: self.costs.handshake,
            cross_zone_cost: self.costs.cross_zone,
            zone_costs: self.family.zone_costs.clone(),
            capacity_hints: self.capacity_hints(),
            discovery_mode: self.discovery_mode(),
            tick: self.tick,
            final_answer_grace: self.rules.final_answer_grace,
            max_poll_interval: self.rules.max_poll_interval,
            drain_grace: self.rules.drain_grace,
            overload_factor: self.rules.overload_factor,
            overload_window: self.rules.overload_window,
            cold_capacity_share: self.rules.cold_capacity_share,
            warm_up_time: self.rules.warm_up_time,
            key_cooldown: self.rules.key_cooldown,
        }
    }

    fn destination_kinds(&self) -> Vec<DestinationKind> {
        let family = &self.family;
        let kind = |index| DestinationKind {
            max_batch: family.max_batch_by_kind.get(index).copied().unwrap_or(1).max(1),
            separate_routes: family.separate_routes_by_kind.get(index).copied().unwrap_or(false),
        };
        (0..self.kinds.len()).map(kind).collect()
    }

    fn decay(&self) -> WeightDecay {
        match self.family.decay.as_str() {
            "halving" => WeightDecay::Halving,
            _ => WeightDecay::Linear,
        }
    }

    fn capacity_hints(&self) -> CapacityHints {
        match self.capacity_hints.as_str() {
            "nominal" => CapacityHints::Nominal,
            "rough" => CapacityHints::Rough,
            _ => CapacityHints::None,
        }
    }

    fn discovery_mode(&self) -> DiscoveryMode {
        match self.discovery_mode.as_str() {
            "on_request" => DiscoveryMode::Poll,
            _ => DiscoveryMode::Push,
        }
    }

    fn into_names(self) -> Names {
        Names {
            classes: self.classes.into_iter().map(|class| class.name).collect(),
            tenants: self.tenants.into_iter().map(|tenant| tenant.name).collect(),
            kinds: self.kinds,
            zones: self.zones,
        }
    }
}

impl From<&ClassJson> for Class {
    fn from(class: &ClassJson) -> Self {
        Class {
            latency_objective: class.latency_objective,
            deadline: class.deadline,
            priority_weight: class.priority_weight,
            late_weight_share: class.late_weight_share,
            idempotency: class.idempotency(),
            keep_order: class.keep_order,
        }
    }
}

impl ClassJson {
    fn idempotency(&self) -> Idempotency {
        match self.idempotency {
            IdempotencyJson::Retryable => Idempotency::Idempotent,
            IdempotencyJson::Fragile => Idempotency::NonIdempotent,
            IdempotencyJson::Dedup => {
                Idempotency::IdempotencyKey { scope: self.deduplication_scope(), window: self.window }
            }
        }
    }

    fn deduplication_scope(&self) -> DeduplicationScope {
        match self.scope.as_str() {
            "all" => DeduplicationScope::All,
            "zone" => DeduplicationScope::Zone,
            _ => DeduplicationScope::Endpoint,
        }
    }
}
