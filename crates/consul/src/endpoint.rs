//! Converts an instance of the catalogue into an endpoint with a uid, an address, a zone and its health. An instance
//! that cannot be an endpoint is rejected with a reason.

use crate::allowed_networks::AllowedNetworks;
use crate::api::ServiceEntry;
use crate::instance_health::instance_health;
use crate::settings::Service;
use orchidyoke_core::endpoint_list::EndpointEntry;
use std::net::{IpAddr, SocketAddr};
use thiserror::Error;

/// The reason why an instance of the catalogue cannot be an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub(crate) enum UnusableInstance {
    /// Its address is not an IP address. Names are not looked up, because DNS may return another host each time.
    #[error("address {0:?} is not an IP address, and names are not looked up")]
    NotAnIpAddress(String),
    /// Its port is outside 1 to 65,535.
    #[error("{0} is not a port")]
    InvalidPort(i64),
    /// Its address is outside the allowed networks.
    #[error("{0} is outside the networks that are allowed")]
    OutsideNetworks(SocketAddr),
}

/// Returns the prefix of the uids of a service's endpoints. The uids are stored with the endpoint list, so the format
/// of the prefix must not change.
pub(crate) fn uid_prefix(service: &Service) -> String {
    format!("{}.{}/", service.name, service.destination)
}

/// Returns the name of the node in the uid of an endpoint.
pub(crate) fn node_of_uid(uid: &str) -> Option<&str> {
    uid.split('/').nth(1)
}

/// Converts an instance into an endpoint. The uid contains the service, the destination, the node, the instance id and
/// the address. So the same id on another node or at another address is another endpoint, and it inherits no state.
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

/// Returns the address and port of an instance. An instance without an address has the address of its node.
fn instance_address(entry: &ServiceEntry) -> Result<SocketAddr, UnusableInstance> {
    let instance = &entry.service;
    let text = if instance.address.is_empty() { &entry.node.address } else { &instance.address };
    let address: IpAddr = text.parse().map_err(|_| UnusableInstance::NotAnIpAddress(text.clone()))?;
    let port = u16::try_from(instance.port).ok().filter(|port| *port > 0);
    Ok(SocketAddr::new(address, port.ok_or(UnusableInstance::InvalidPort(instance.port))?))
}

/// Returns the zone from the metadata of the instance, or else from the metadata of its node, or else the zone of the
/// service.
fn zone(service: &Service, entry: &ServiceEntry) -> String {
    let metadata = |key: &String| entry.service.meta.get(key).or_else(|| entry.node.meta.get(key));
    service.zone_meta.as_ref().and_then(metadata).unwrap_or(&service.zone).clone()
}
