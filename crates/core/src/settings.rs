//! Reads the settings JSON, which the simulator and the platform both provide, into the controller's [`Settings`]. Only
//! this module maps the names of its fields.

use crate::interface::{
    CapacityHints, Class, DeduplicationScope, DestinationKind, DiscoveryMode, Idempotency, Settings,
    WeightDecay,
};
use serde::Deserialize;

/// The settings JSON.
#[derive(Deserialize, Default)]
#[serde(default)]
struct Options {
    /// `zone`, by its name.
    az: String,
    classes: Vec<WireClass>,
    costs: Costs,
    family_info: Family,
    fleet_size: u32,
    host_types: Vec<String>,
    limits: Limits,
    /// `over_quota_weight`.
    over_share_worth: f64,
    /// `discovery_mode`.
    registry_mode: String,
    rules: Rules,
    tenants: Vec<Tenant>,
    tick_us: i64,
    /// `capacity_hints`.
    weights: String,
    zones: Vec<String>,
}

#[derive(Deserialize)]
struct WireClass {
    name: String,
    effect: WireEffect,
    /// `latency_objective`.
    on_time_us: i64,
    /// `deadline`.
    hard_limit_us: i64,
    /// `priority_weight`.
    #[serde(default)]
    credit: f64,
    #[serde(default)]
    late_share: f64,
    /// `scope` of the idempotency key.
    #[serde(default)]
    group: String,
    /// `window` of the idempotency key.
    #[serde(default)]
    window_us: i64,
    #[serde(default)]
    keep_order: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum WireEffect {
    /// Idempotent.
    Retryable,
    /// With an idempotency key.
    Dedup,
    /// Not idempotent.
    Fragile,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct Costs {
    handshake: f64,
    cross_zone: f64,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct Family {
    batch_by_kind: Vec<usize>,
    /// `separate_routes`, for each kind.
    own_limits: Vec<bool>,
    /// `decay`.
    loses_worth: String,
    /// `max_calls`.
    slots: usize,
    /// `zone_costs`.
    toll: Vec<f64>,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct Limits {
    /// `connect_timeout`.
    dial_timeout_us: i64,
    /// `idle_timeout`.
    idle_close_us: i64,
    max_open: usize,
    max_retry_after_us: i64,
    /// `allow_cancel`.
    may_cancel: bool,
    /// `streams_per_connection`.
    multiplex: usize,
    retry_after: bool,
    /// `allow_hedging`.
    second_copies: bool,
    /// `max_attempts`.
    try_limit: u32,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct Rules {
    /// `final_answer_grace`.
    answer_slack_us: i64,
    /// `max_poll_interval`.
    ask_every_us: i64,
    /// `cold_capacity_share`.
    cold_from: f64,
    drain_grace_us: i64,
    /// `overload_factor`.
    fall_multiple: f64,
    /// `overload_window`.
    tip_after_us: i64,
    /// `warm_up_time`.
    warm_within_us: i64,
    /// `key_cooldown`.
    key_quiet_us: i64,
}

#[derive(Deserialize)]
struct Tenant {
    name: String,
    #[serde(default)]
    quota_rps: f64,
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
    let mut options: Options = serde_json::from_str(text)?;
    let zone = options.own_zone();
    let settings = options.settings(zone);
    Ok((settings, options.into_names()))
}

impl Options {
    /// Returns the index of this forwarder's zone, and adds the zone to the list if the list does not name it.
    fn own_zone(&mut self) -> usize {
        self.zones.iter().position(|zone| *zone == self.az).unwrap_or_else(|| {
            self.zones.push(self.az.clone());
            self.zones.len() - 1
        })
    }

    fn settings(&self, zone: usize) -> Settings {
        Settings {
            fleet_size: self.fleet_size,
            zone,
            classes: self.classes.iter().map(Class::from).collect(),
            kinds: self.destination_kinds(),
            tenant_quotas: self.tenants.iter().map(|tenant| tenant.quota_rps).collect(),
            over_quota_weight: self.over_share_worth,
            decay: self.decay(),
            max_calls: self.family_info.slots,
            max_open_messages: self.limits.max_open,
            max_attempts: self.limits.try_limit,
            allow_hedging: self.limits.second_copies,
            allow_cancel: self.limits.may_cancel,
            send_retry_after: self.limits.retry_after,
            max_retry_after: self.limits.max_retry_after_us,
            streams_per_connection: self.limits.multiplex,
            idle_timeout: self.limits.idle_close_us,
            connect_timeout: self.limits.dial_timeout_us,
            handshake_cost: self.costs.handshake,
            cross_zone_cost: self.costs.cross_zone,
            zone_costs: self.family_info.toll.clone(),
            capacity_hints: self.capacity_hints(),
            discovery_mode: self.discovery_mode(),
            tick: self.tick_us,
            final_answer_grace: self.rules.answer_slack_us,
            max_poll_interval: self.rules.ask_every_us,
            drain_grace: self.rules.drain_grace_us,
            overload_factor: self.rules.fall_multiple,
            overload_window: self.rules.tip_after_us,
            cold_capacity_share: self.rules.cold_from,
            warm_up_time: self.rules.warm_within_us,
            key_cooldown: self.rules.key_quiet_us,
        }
    }

    fn destination_kinds(&self) -> Vec<DestinationKind> {
        let family = &self.family_info;
        let kind = |place| DestinationKind {
            max_batch: family.batch_by_kind.get(place).copied().unwrap_or(1).max(1),
            separate_routes: family.own_limits.get(place).copied().unwrap_or(false),
        };
        (0..self.host_types.len()).map(kind).collect()
    }

    fn decay(&self) -> WeightDecay {
        match self.family_info.loses_worth.as_str() {
            "halving" => WeightDecay::Halving,
            _ => WeightDecay::Linear,
        }
    }

    fn capacity_hints(&self) -> CapacityHints {
        match self.weights.as_str() {
            "nominal" => CapacityHints::Nominal,
            "rough" => CapacityHints::Rough,
            _ => CapacityHints::None,
        }
    }

    fn discovery_mode(&self) -> DiscoveryMode {
        match self.registry_mode.as_str() {
            "on_request" => DiscoveryMode::Poll,
            _ => DiscoveryMode::Push,
        }
    }

    fn into_names(self) -> Names {
        Names {
            classes: self.classes.into_iter().map(|class| class.name).collect(),
            tenants: self.tenants.into_iter().map(|tenant| tenant.name).collect(),
            kinds: self.host_types,
            zones: self.zones,
        }
    }
}

impl From<&WireClass> for Class {
    fn from(class: &WireClass) -> Self {
        Class {
            latency_objective: class.on_time_us,
            deadline: class.hard_limit_us,
            priority_weight: class.credit,
            late_weight_share: class.late_share,
            idempotency: class.idempotency(),
            keep_order: class.keep_order,
        }
    }
}

impl WireClass {
    fn idempotency(&self) -> Idempotency {
        match self.effect {
            WireEffect::Retryable => Idempotency::Idempotent,
            WireEffect::Fragile => Idempotency::NonIdempotent,
            WireEffect::Dedup => {
                Idempotency::IdempotencyKey { scope: self.deduplication_scope(), window: self.window_us }
            }
        }
    }

    fn deduplication_scope(&self) -> DeduplicationScope {
        match self.group.as_str() {
            "all" => DeduplicationScope::All,
            "zone" => DeduplicationScope::Zone,
            _ => DeduplicationScope::Endpoint,
        }
    }
}
