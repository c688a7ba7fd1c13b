//! The settings JSON, as the simulator and the platform both give it, read into the module's settings.

use crate::interface::{
    CapacityHints, Class, DeduplicationScope, DestinationKind, DiscoveryMode, Idempotency, Settings,
    WeightDecay,
};
use serde::Deserialize;

#[derive(Deserialize, Default)]
#[serde(default)]
struct Options {
    az: String,
    classes: Vec<WireClass>,
    costs: Costs,
    family_info: Family,
    fleet_size: u32,
    host_types: Vec<String>,
    limits: Limits,
    over_share_worth: f64,
    registry_mode: String,
    rules: Rules,
    tenants: Vec<Tenant>,
    tick_us: i64,
    weights: String,
    zones: Vec<String>,
}

#[derive(Deserialize)]
struct WireClass {
    name: String,
    effect: WireEffect,
    on_time_us: i64,
    hard_limit_us: i64,
    #[serde(default)]
    credit: f64,
    #[serde(default)]
    late_share: f64,
    #[serde(default)]
    group: String,
    #[serde(default)]
    window_us: i64,
    #[serde(default)]
    keep_order: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum WireEffect {
    Retryable,
    Dedup,
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
    own_limits: Vec<bool>,
    loses_worth: String,
    slots: usize,
    toll: Vec<f64>,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct Limits {
    dial_timeout_us: i64,
    idle_close_us: i64,
    max_open: usize,
    max_retry_after_us: i64,
    may_cancel: bool,
    multiplex: usize,
    retry_after: bool,
    second_copies: bool,
    try_limit: u32,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct Rules {
    answer_slack_us: i64,
    ask_every_us: i64,
    cold_from: f64,
    drain_grace_us: i64,
    fall_multiple: f64,
    tip_after_us: i64,
    warm_within_us: i64,
    key_quiet_us: i64,
}

#[derive(Deserialize)]
struct Tenant {
    name: String,
    #[serde(default)]
    quota_rps: f64,
}

/// The names behind the numbers of the settings.
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

/// Reads the settings and the names in them.
pub fn read(text: &str) -> Result<(Settings, Names), serde_json::Error> {
    let options: Options = serde_json::from_str(text)?;
    let mut zones = options.zones;
    let zone = zones.iter().position(|z| *z == options.az).unwrap_or_else(|| {
        zones.push(options.az);
        zones.len() - 1
    });
    let family = options.family_info;
    let kinds = options.host_types.iter().enumerate();
    let kinds = kinds.map(|(k, _)| DestinationKind {
        max_batch: family.batch_by_kind.get(k).copied().unwrap_or(1).max(1),
        separate_routes: family.own_limits.get(k).copied().unwrap_or(false),
    });
    let settings = Settings {
        fleet_size: options.fleet_size,
        zone,
        classes: options.classes.iter().map(class).collect(),
        kinds: kinds.collect(),
        tenant_quotas: options.tenants.iter().map(|t| t.quota_rps).collect(),
        over_quota_weight: options.over_share_worth,
        decay: if family.loses_worth == "halving" { WeightDecay::Halving } else { WeightDecay::Linear },
        max_calls: family.slots,
        max_open_messages: options.limits.max_open,
        max_attempts: options.limits.try_limit,
        allow_hedging: options.limits.second_copies,
        allow_cancel: options.limits.may_cancel,
        send_retry_after: options.limits.retry_after,
        max_retry_after: options.limits.max_retry_after_us,
        streams_per_connection: options.limits.multiplex,
        idle_timeout: options.limits.idle_close_us,
        connect_timeout: options.limits.dial_timeout_us,
        handshake_cost: options.costs.handshake,
        cross_zone_cost: options.costs.cross_zone,
        zone_costs: family.toll,
        capacity_hints: match options.weights.as_str() {
            "nominal" => CapacityHints::Nominal,
            "rough" => CapacityHints::Rough,
            _ => CapacityHints::None,
        },
        discovery_mode: match options.registry_mode.as_str() {
            "on_request" => DiscoveryMode::Poll,
            _ => DiscoveryMode::Push,
        },
        tick: options.tick_us,
        final_answer_grace: options.rules.answer_slack_us,
        max_poll_interval: options.rules.ask_every_us,
        drain_grace: options.rules.drain_grace_us,
        overload_factor: options.rules.fall_multiple,
        overload_window: options.rules.tip_after_us,
        cold_capacity_share: options.rules.cold_from,
        warm_up_time: options.rules.warm_within_us,
        key_cooldown: options.rules.key_quiet_us,
    };
    let names = Names {
        classes: options.classes.into_iter().map(|c| c.name).collect(),
        tenants: options.tenants.into_iter().map(|t| t.name).collect(),
        kinds: options.host_types,
        zones,
    };
    Ok((settings, names))
}

fn class(class: &WireClass) -> Class {
    Class {
        latency_objective: class.on_time_us,
        deadline: class.hard_limit_us,
        priority_weight: class.credit,
        late_weight_share: class.late_share,
        idempotency: match class.effect {
            WireEffect::Retryable => Idempotency::Idempotent,
            WireEffect::Fragile => Idempotency::NonIdempotent,
            WireEffect::Dedup => Idempotency::IdempotencyKey {
                scope: match class.group.as_str() {
                    "all" => DeduplicationScope::All,
                    "zone" => DeduplicationScope::Zone,
                    _ => DeduplicationScope::Endpoint,
                },
                window: class.window_us,
            },
        },
        keep_order: class.keep_order,
    }
}
