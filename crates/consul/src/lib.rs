//! Reads endpoints from Consul's catalogue and health checks, and uses Consul's sessions and locks.
//!
//! The modules that decide what to request, when to request it again and how to interpret a response open no connection
//! and read no clock: [`blocking_query`] (one blocking query and its index), [`query_schedule`] (many services over few
//! connections), [`instance_health`] (the checks of an instance as one status) and [`snapshot`] (the endpoints of all
//! services, and the delta from one response to the next). [`request`], [`response`], [`client`] and [`tls`] are the
//! HTTP client. [`source`] combines both parts into a [`Catalogue`](orchidyoke_forwarder::catalogue::Catalogue).
//! [`locks`] has sessions, locks and transactions for leases and for the policy commit point.
//!
//! Consul's HTTP API is documented at <https://developer.hashicorp.com/consul/api-docs/health> and
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
