//! Consul's catalogue and health checks as a source of the transport map.
//!
//! What to ask, when to ask again and what an answer means is settled in modules that open no connection and read no
//! clock: [`blocking_query`] (one blocking query and its index), [`query_schedule`] (many services over few connections),
//! [`instance_health`] (what the checks of an instance come to) and [`snapshot`] (all services, and the changes from one
//! answer to the next). [`locks`] has sessions and locks for whoever shares work over them. [`client`] and [`tls`] are
//! the sockets, and [`source`] puts both together as a [`Catalogue`](orchidyoke_forwarder::catalogue::Catalogue).
//!
//! The HTTP API is the published one: <https://developer.hashicorp.com/consul/api-docs/health> and
//! <https://developer.hashicorp.com/consul/api-docs/features/blocking>.

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
