//! Reads the body of a request into memory that is reserved for it.

use super::RequestError;
use crate::client_connections::{MemoryReservation, RegisteredConnection};
use crate::log;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::StatusCode;
use hyper::body::{Body, Incoming};
use std::time::Duration;
use tokio::time::timeout;

/// Largest body that the protocol allows, in bytes.
pub(super) const MAX_BODY_BYTES: usize = 64 << 10;
/// Bytes of a body that every connection may have without a reservation, so that small requests do not wait for large
/// ones.
const FREE_BODY_BYTES: usize = 4 << 10;
/// Limit on the time until a body has arrived. A client gives up 400 ms after it has sent its request.
const BODY_TIMEOUT: Duration = Duration::from_millis(600);
/// Longest wait for memory. It leaves time to answer the request before its client gives up.
const MEMORY_TIMEOUT: Duration = Duration::from_millis(250);

/// A body, and the memory that is reserved for it.
pub(super) struct ReceivedBody {
    pub(super) bytes: Bytes,
    /// `None` if the body is small.
    pub(super) memory: Option<MemoryReservation>,
}

/// Reads a body. Ends early if the connection is evicted.
pub(super) async fn read_body(
    body: Incoming,
    connection: &RegisteredConnection,
) -> Result<ReceivedBody, RequestError> {
    let announced_bytes = body.size_hint().lower() as usize;
    if announced_bytes > 0 {
        connection.on_receiving();
    }
    let received = tokio::select! {
        biased;
        received = timeout(BODY_TIMEOUT, receive(body, announced_bytes, connection)) => received,
        () = connection.receiving_stopped() => return Err(refusal(connection)),
    };
    let received = received.map_err(|_| RequestError::INCOMPLETE_BODY)??;
    connection.on_request();
    Ok(received)
}

/// Returns the answer to a request whose body is not waited for any more. In a shutdown, its client may send it again.
fn refusal(connection: &RegisteredConnection) -> RequestError {
    if connection.connections().has_stopped_reading() {
        RequestError::ENDING
    } else {
        RequestError::INCOMPLETE_BODY
    }
}

async fn receive(
    mut body: Incoming,
    announced_bytes: usize,
    connection: &RegisteredConnection,
) -> Result<ReceivedBody, RequestError> {
    let memory = reserve(announced_bytes, connection).await?;
    let mut bytes = Vec::with_capacity(announced_bytes);
    // Each frame is copied and dropped, because it would keep the whole read buffer in memory.
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| RequestError::bad_request("the body could not be read\n"))?;
        let Ok(data) = frame.into_data() else { continue };
        if bytes.len() + data.len() > MAX_BODY_BYTES {
            return Err(RequestError::BODY_TOO_LARGE);
        }
        bytes.extend_from_slice(&data);
    }
    Ok(ReceivedBody { bytes: bytes.into(), memory })
}

async fn reserve(
    bytes: usize,
    connection: &RegisteredConnection,
) -> Result<Option<MemoryReservation>, RequestError> {
    if bytes <= FREE_BODY_BYTES {
        return Ok(None);
    }
    let no_memory =
        RequestError { status: StatusCode::SERVICE_UNAVAILABLE, text: "no memory for the request\n" };
    tokio::select! {
        biased;
        reservation = timeout(MEMORY_TIMEOUT, connection.reserve_body(bytes)) => {
            if reservation.is_err() {
                log!("request refused, no memory: client={} bytes={bytes}", connection.id());
            }
            reservation.map(Some).map_err(|_| no_memory)
        }
        () = connection.receiving_stopped() => Err(no_memory),
    }
}
