//! Consul's catalogue and health checks as a source of endpoints, and its sessions and locks.
//!
//! What to request, when to request it again and what a response means is decided in modules that open no connection and
//! read no clock: [`blocking_query`] (one blocking query and its index), [`query_schedule`] (many services over few
//! connections), [`instance_health`] (what the checks of an instance come to) and [`snapshot`] (all services, and the
//! delta from one response to the next). [`request`], [`response`], [`client`] and [`tls`] are the HTTP client, and
//! [`source`] puts both together as a [`Catalogue`](orchidyoke_forwarder::catalogue::Catalogue). [`locks`] has sessions,
//! locks and transactions for leases and for the policy commit point.
//!
//! The HTTP API is the published one: <https://developer.hashicorp.com/consul/api-docs/health> and
//! <https://developer.hashicorp.com/consul/api-docs/features/blocking>.

#![deny(missing_docs)]

mod allowed_networks;
pub mod api;
mod backoff;
pub mod blocking_query;
pub mod client;
mod endpoint;
pub mod instance_health;
pub mod locks;
pub mod query_schedule;
pub mod request;
pub mod response;
pub mod settings;
pub mod snapshot;
pub mod source;
pub mod tls;

pub use settings::Settings;
pub use source::EndpointSource;
