//! An instance of the catalogue as an endpoint: its uid, address, zone and health, or why it cannot be one.

use crate::allowed_networks::AllowedNetworks;
use crate::api::ServiceEntry;
use crate::instance_health::instance_health;
use crate::settings::Service;
use orchidyoke_core::endpoint_list::EndpointEntry;
use std::net::{IpAddr, SocketAddr};
use thiserror::Error;

/// Why an instance of the catalogue cannot be an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub(crate) enum UnusableInstance {
    /// Its address is not an IP address. Names are not looked up: DNS may name another host with each answer.
    #[error("address {0:?} is not an IP address, and names are not looked up")]
    NotAnIpAddress(String),
    /// Its port is outside 1 to 65,535.
    #[error("{0} is not a port")]
    InvalidPort(i64),
    /// Its address is outside the allowed networks.
    #[error("{0} is outside the networks that are allowed")]
    OutsideNetworks(SocketAddr),
}

/// What the uids of a service's endpoints begin with. It is stored with the endpoint list, so its form never changes.
pub(crate) fn uid_prefix(service: &Service) -> String {
    format!("{}.{}/", service.name, service.destination)
}

/// The node in the uid of an endpoint.
pub(crate) fn node_of_uid(uid: &str) -> Option<&str> {
    uid.split('/').nth(1)
}

/// An instance as an endpoint. Its uid holds all that identifies it, so the same id on another node or at another address
/// is another endpoint and inherits nothing.
pub(crate) fn endpoint_entry(
    service: &Service,
    networks: &AllowedNetworks,
    entry: &ServiceEntry,
) -> Result<EndpointEntry, UnusableInstance> {
    let address = instance_address(entry)?;
    if !networks.contains(address.ip()) {
        return Err(UnusableInstance::OutsideNetworks(address));
    }
    let health = instance_health(entry);
    Ok(EndpointEntry {
        uid: format!("{}{}/{}@{address}", uid_prefix(service), entry.node.node, entry.service.id),
        address,
        zone: zone(service, entry),
        kind: service.kind.clone(),
        destination: service.destination,
        state: health.state,
        capacity_hint: service.capacity,
        health: health.checks,
    })
}

/// The instance's own address and port; the address of its node where it has none.
fn instance_address(entry: &ServiceEntry) -> Result<SocketAddr, UnusableInstance> {
    let instance = &entry.service;
    let text = if instance.address.is_empty() { &entry.node.address } else { &instance.address };
    let address: IpAddr = text.parse().map_err(|_| UnusableInstance::NotAnIpAddress(text.clone()))?;
    let port = u16::try_from(instance.port).ok().filter(|port| *port > 0);
    Ok(SocketAddr::new(address, port.ok_or(UnusableInstance::InvalidPort(instance.port))?))
}

/// The zone in the metadata of the instance, or else of its node; the service's zone where neither has one.
fn zone(service: &Service, entry: &ServiceEntry) -> String {
    let metadata = |key: &String| entry.service.meta.get(key).or_else(|| entry.node.meta.get(key));
    service.zone_meta.as_ref().and_then(metadata).unwrap_or(&service.zone).clone()
}
