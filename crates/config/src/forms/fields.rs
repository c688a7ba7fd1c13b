//! Parses and checks the fields that several forms have: addresses, networks, durations and the token file.

use ipnet::IpNet;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The shortest and the longest duration that a field accepts, both inclusive.
#[derive(Clone, Copy)]
pub(super) struct DurationLimits {
    pub(super) min: Duration,
    pub(super) max: Duration,
}

/// Returns an error if the list is empty. `remedy` names what to write into it.
pub(super) fn check_not_empty<T>(field: &str, list: &[T], remedy: &str) -> Result<(), String> {
    if list.is_empty() {
        return Err(format!("{field}: is empty: give {remedy}"));
    }
    Ok(())
}

/// Parses the addresses of Consul agents or servers.
pub(super) fn parse_addresses(texts: &[String]) -> Result<Vec<SocketAddr>, String> {
    texts.iter().map(|text| parse_address(text)).collect()
}

fn parse_address(text: &str) -> Result<SocketAddr, String> {
    text.parse().map_err(|_| {
        format!("addresses: {text:?} is not an IP address with a port, such as 10.2.0.1:8500; names are not looked up")
    })
}

/// Parses a network in which endpoints may lie.
pub(super) fn parse_network(text: &str) -> Result<IpNet, String> {
    let network: IpNet = text.parse().map_err(|_| {
        format!("networks: {text:?} is not a network: write an address and a length, such as 10.2.0.0/16")
    })?;
    if network != network.trunc() {
        return Err(format!("networks: {text} has bits beyond its length: is {} meant?", network.trunc()));
    }
    if network.prefix_len() == 0 {
        return Err(format!("networks: {text} allows every address: name the networks of the endpoints"));
    }
    Ok(network)
}

/// Parses a duration and checks it against the limits. Returns the default if the script gives none.
pub(super) fn parse_duration(
    field: &str,
    text: Option<&String>,
    default: Duration,
    limits: DurationLimits,
) -> Result<Duration, String> {
    let Some(text) = text else { return Ok(default) };
    let parsed = humantime::parse_duration(text).ok();
    let within_limits = parsed.filter(|duration| (limits.min..=limits.max).contains(duration));
    within_limits.ok_or_else(|| {
        let min = humantime::format_duration(limits.min);
        let max = humantime::format_duration(limits.max);
        let example = humantime::format_duration(default);
        format!("{field}: {text:?} is not a duration from {min} to {max}, such as {example}")
    })
}

/// Resolves the path of the token file against the script's folder, and checks that the file contains one token.
pub(super) fn check_token_file(path: Option<&mut PathBuf>, folder: &Path) -> Result<(), String> {
    let Some(path) = path else { return Ok(()) };
    *path = folder.join(&path);
    let token =
        std::fs::read_to_string(&path).map_err(|error| format!("token_file: {}: {error}", path.display()))?;
    if token.trim().is_empty() || token.trim().contains(char::is_whitespace) {
        return Err(format!("token_file: {}: the file must contain exactly one token", path.display()));
    }
    Ok(())
}
