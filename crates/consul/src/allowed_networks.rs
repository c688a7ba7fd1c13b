//! Checks that the address of an endpoint is in an allowed network. The check guards against dialling an address in
//! another network that somebody registered in Consul.

use ipnet::{IpNet, Ipv4Net, Ipv6Net};
use iprange::IpRange;
use std::net::IpAddr;

/// The networks that the settings allow, prepared for look-ups.
#[derive(Debug, Default)]
pub(crate) struct AllowedNetworks {
    v4: IpRange<Ipv4Net>,
    v6: IpRange<Ipv6Net>,
}

impl AllowedNetworks {
    pub(crate) fn new(networks: &[IpNet]) -> Self {
        let mut allowed = AllowedNetworks::default();
        for network in networks {
            match network {
                IpNet::V4(network) => drop(allowed.v4.add(network.trunc())),
                IpNet::V6(network) => drop(allowed.v6.add(network.trunc())),
            }
        }
        allowed.v4.simplify();
        allowed.v6.simplify();
        allowed
    }

    /// Returns whether an address is allowed. An IPv4-mapped IPv6 address counts as the IPv4 address that it contains.
    pub(crate) fn contains(&self, address: IpAddr) -> bool {
        match address.to_canonical() {
            IpAddr::V4(address) => self.v4.contains(&address),
            IpAddr::V6(address) => self.v6.contains(&address),
        }
    }
}
