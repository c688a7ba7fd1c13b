//! Accepts client connections until the forwarder shuts down, within the limit on open connections.
//!
//! [`client_connections`](crate::client_connections) holds the open connections; `client_connection` serves one of
//! them.

use crate::client_api::ClientGateway;
use crate::client_connection::spawn_connection;
use crate::client_connections::{ClientConnections, ClientService};
use crate::input::Input;
use crate::log;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// Pause after the system has failed to accept a connection.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts connections until the forwarder shuts down. Runs in a `LocalSet`.
pub async fn listen(listener: TcpListener, gateway: Rc<ClientGateway>, connections: Rc<ClientConnections>) {
    loop {
        let accepted = tokio::select! {
            accepted = async {
                connections.make_room().await;
                listener.accept().await
            } => accepted,
            () = connections.reduced_to(ClientService::RequestsInProgress) => break,
        };
        match accepted {
            Ok((stream, _)) => spawn_connection(stream, &gateway, &connections),
            Err(error) => {
                log!("client listener: cannot accept a connection: error={error}");
                connections.evict();
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    accept_backlog(listener, &gateway, &connections).await;
    gateway.report(Input::ListenerClosed);
}

/// Accepts the connections that the system has queued, because closing the listener would reset them. At the limit on
/// connections, waits for others to close, until the forwarder reads no more requests.
async fn accept_backlog(
    listener: TcpListener,
    gateway: &Rc<ClientGateway>,
    connections: &Rc<ClientConnections>,
) {
    let Ok(listener) = listener.into_std() else { return };
    loop {
        tokio::select! {
            biased;
            () = connections.make_room() => {}
            () = connections.reduced_to(ClientService::AnswersOnly) => return,
        }
        match listener.accept().and_then(|(stream, _)| into_nonblocking(stream)) {
            Ok(stream) => spawn_connection(stream, gateway, connections),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
            Err(error) => {
                log!("client listener: cannot accept a queued connection: error={error}");
                if connections.has_stopped_reading() {
                    return;
                }
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

fn into_nonblocking(stream: std::net::TcpStream) -> io::Result<TcpStream> {
    stream.set_nonblocking(true)?;
    TcpStream::from_std(stream)
}
