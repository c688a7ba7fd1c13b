//! Accepts client connections until the forwarder shuts down, within the limit on open connections.
//!
//! [`client_connections`](crate::client_connections) holds the open connections; `client_connection` serves one of
//! them.

use crate::client_api::ClientGateway;
use crate::client_connection::spawn_connection;
use crate::client_connections::ClientConnections;
use crate::log;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// Pause after the system has failed to accept a connection.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts connections until the forwarder shuts down. Runs in a `LocalSet`.
pub async fn listen(listener: TcpListener, gateway: Rc<ClientGateway>, connections: Rc<ClientConnections>) {
    let mut shutting_down = connections.subscribe_shutdown();
    loop {
        let accepted = tokio::select! {
            accepted = async {
                connections.make_room().await;
                listener.accept().await
            } => accepted,
            _ = shutting_down.wait_for(|shutting_down| *shutting_down) => break,
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
    accept_backlog(listener, &gateway, &connections);
}

/// Accepts the connections that the system has queued, because closing the listener would reset them.
fn accept_backlog(listener: TcpListener, gateway: &Rc<ClientGateway>, connections: &Rc<ClientConnections>) {
    let Ok(listener) = listener.into_std() else { return };
    while !connections.is_full()
        && let Ok((stream, _)) = listener.accept()
    {
        let stream = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream));
        if let Ok(stream) = stream {
            spawn_connection(stream, gateway, connections);
        }
    }
}
