//! The networks in which endpoints may lie. Guards against dialling an address that somebody registered elsewhere.

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

    /// Whether an address is allowed. An IPv4-mapped IPv6 address counts as the IPv4 address that it leads to.
    pub(crate) fn contains(&self, address: IpAddr) -> bool {
        match address.to_canonical() {
            IpAddr::V4(address) => self.v4.contains(&address),
            IpAddr::V6(address) => self.v6.contains(&address),
        }
    }
}
