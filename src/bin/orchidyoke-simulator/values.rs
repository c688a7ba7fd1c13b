//! Maps the protocol's values to the controller's types: outcomes, endpoint states, kinds of list events, bytes.

use crate::line::{Fields, LineError};
use orchidyoke_core::interface::{EndpointState, ListEventKind, Micros, Outcome};

/// The code of a rejection, which is the only outcome with a Retry-After.
const REJECTED: &str = "2";
/// The text for an empty sequence of bytes.
const NO_BYTES: &str = "-";

/// Returns the outcome of an attempt or health check.
pub fn outcome(fields: &Fields) -> Result<Outcome, LineError> {
    Ok(match fields.number::<u8>("result")? {
        0 => Outcome::Success,
        1 => Outcome::Error,
        2 => Outcome::Rejected,
        3 => Outcome::Timeout,
        4 => Outcome::ConnectFailed,
        5 => Outcome::Reset,
        6 => Outcome::Cancelled,
        7 => Outcome::NotSent,
        other => return Err(LineError::invalid("result", &format!("unknown: {other}"))),
    })
}

/// Returns the state of an endpoint; an absent field means active.
pub fn endpoint_state(fields: &Fields) -> Result<EndpointState, LineError> {
    match fields.get("state") {
        None | Some("on") => Ok(EndpointState::Active),
        Some("fading") => Ok(EndpointState::Draining),
        Some("off") => Ok(EndpointState::Removed),
        Some(other) => Err(LineError::invalid("state", &format!("unknown: {other}"))),
    }
}

/// Returns the kind of an event of the endpoint list.
pub fn list_kind(fields: &Fields) -> Result<ListEventKind, LineError> {
    match fields.text("form")? {
        "D" => Ok(ListEventKind::Delta),
        "F" => Ok(ListEventKind::Snapshot),
        "C" => Ok(ListEventKind::Restored),
        "X" => Ok(ListEventKind::Failed),
        other => Err(LineError::invalid("form", &format!("unknown: {other}"))),
    }
}

/// Returns the order key of a message, which is written in hexadecimal; `None` if the field is absent.
pub fn order_key(fields: &Fields) -> Result<Option<u64>, LineError> {
    let Some(key) = fields.get("route_key") else { return Ok(None) };
    u64::from_str_radix(key, 16).map(Some).map_err(|_| LineError::invalid("route_key", "not hex"))
}

/// Returns the Retry-After of a rejection, in microseconds; 0 for other outcomes, for which the field has another
/// meaning.
pub fn retry_after(fields: &Fields) -> Result<Micros, LineError> {
    if fields.get("result") != Some(REJECTED) {
        return Ok(0);
    }
    Ok(fields.number_or::<Micros>("hold_ms", 0)?.saturating_mul(1000))
}

/// Returns one value of a load report; `None` if the report does not have it.
pub fn load_report(fields: &Fields, name: &str) -> Result<Option<f64>, LineError> {
    for pair in fields.get("server_stats").unwrap_or("").split(',') {
        if let Some((key, value)) = pair.split_once(':')
            && key == name
        {
            return value.parse().map(Some).map_err(|_| LineError::invalid("server_stats", pair));
        }
    }
    Ok(None)
}

/// Decodes bytes that are written in hexadecimal; returns `None` if the text is not valid.
pub fn decode_bytes(text: &str) -> Option<Vec<u8>> {
    if text == NO_BYTES {
        return Some(Vec::new());
    }
    if !text.is_ascii() || !text.len().is_multiple_of(2) {
        return None;
    }
    (0..text.len()).step_by(2).map(|i| u8::from_str_radix(&text[i..i + 2], 16).ok()).collect()
}

/// Encodes bytes for [`decode_bytes`].
pub fn encode_bytes(bytes: &[u8]) -> String {
    if bytes.is_empty() {
        return NO_BYTES.to_owned();
    }
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
