//! An HTTP client for Consul. A connection carries one request at a time, with limits on time and size.
//!
//! A [`Client`] has a list of addresses and opens connections to the current address. It fails over to the next address
//! when a connection fails or when a response shows that the server cannot answer.

use crate::request::ApiRequest;
use crate::response::ResponseHead;
use crate::settings::{Settings, Tls};
use crate::tls::{FileVersions, TlsError};
use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{HOST, HeaderValue};
use hyper::http;
use hyper::{Method, Request, body::Incoming};
use hyper_util::rt::TokioIo;
use std::cell::Cell;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::{Instant, timeout};
use tokio_rustls::TlsConnector;

/// Time-out for opening a connection, including its TLS handshake.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);
/// Time-out for a response body, from its first byte to its last.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Time for which a connection rests after a response before it may carry a write. A copy of the response that arrives
/// meanwhile ends the connection (RFC 9112, section 9.2).
const REUSE_DELAY: Duration = Duration::from_millis(500);
const BODY_MAX_MIB: usize = 16;
const BODY_MAX_BYTES: usize = BODY_MAX_MIB << 20;
const TOKEN_HEADER: &str = "X-Consul-Token";

/// The reason why there is no response, in one line.
#[derive(Debug, Error)]
pub enum ClientError {
    /// The TCP connection was refused, or it ended.
    #[error("cannot connect to Consul at {address}: {source}")]
    Connect {
        /// The address tried.
        address: SocketAddr,
        /// The I/O error.
        source: io::Error,
    },
    /// The connection, including its TLS handshake, was not open within the time-out.
    #[error("cannot connect to Consul at {address}: no connection within {} s", CONNECT_TIMEOUT.as_secs())]
    ConnectTimeout {
        /// The address tried.
        address: SocketAddr,
    },
    /// The TLS handshake failed.
    #[error("TLS handshake with Consul at {address} failed: {explanation}")]
    Handshake {
        /// The address tried.
        address: SocketAddr,
        /// The reason of the failure, and what to do about it.
        explanation: String,
        /// The error of the TLS library.
        source: io::Error,
    },
    /// TLS cannot be set up from the files in the settings.
    #[error("cannot set up TLS towards Consul: {0}")]
    Tls(#[from] TlsError),
    /// The token cannot be read.
    #[error("cannot read the Consul token from {path}: {source}")]
    ReadToken {
        /// The token file.
        path: PathBuf,
        /// The I/O error.
        source: io::Error,
    },
    /// The token cannot be sent in a header.
    #[error("the Consul token in {path} is not one line of text")]
    InvalidToken {
        /// The token file.
        path: PathBuf,
    },
    /// The request cannot be built from its path and parameters.
    #[error("cannot build the request to Consul: {0}")]
    Request(#[from] http::Error),
    /// The connection ended, or what arrived is not HTTP.
    #[error("HTTP exchange with Consul at {address} failed: {source}")]
    Transport {
        /// The address of the connection.
        address: SocketAddr,
        /// The error of the HTTP library.
        source: hyper::Error,
    },
    /// The head of the response did not arrive within the time-out.
    #[error("no response from Consul at {address} within {} s", .limit.as_secs())]
    ResponseTimeout {
        /// The address of the connection.
        address: SocketAddr,
        /// The time-out.
        limit: Duration,
    },
    /// The body did not end within the time-out.
    #[error("the response body from Consul at {address} did not end within {} s", BODY_TIMEOUT.as_secs())]
    BodyTimeout {
        /// The address of the connection.
        address: SocketAddr,
    },
    /// The body is larger than 16 MiB.
    #[error("the response body from Consul at {address} is larger than {BODY_MAX_MIB} MiB")]
    BodyTooLarge {
        /// The address of the connection.
        address: SocketAddr,
    },
}

/// Opens connections to Consul, and fails over to the next address when one fails.
#[derive(Debug)]
pub struct Client {
    settings: Rc<Settings>,
    address_index: Cell<usize>,
}

trait Stream: AsyncRead + AsyncWrite + Unpin {}
impl<S: AsyncRead + AsyncWrite + Unpin> Stream for S {}

/// A connection to Consul. Dropping it closes it.
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
    address: SocketAddr,
    tls_file_versions: Option<FileVersions>,
    /// When the last response was complete; `None` before the first.
    answered_at: Option<Instant>,
}

impl Connection {
    /// Returns whether no response is recent enough for a copy of it to be expected.
    fn is_rested(&self) -> bool {
        self.answered_at.is_none_or(|at| at.elapsed() >= REUSE_DELAY)
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Client {
    /// Creates a client. The settings must have at least one address.
    pub fn new(settings: Rc<Settings>) -> Self {
        Client { settings, address_index: Cell::new(0) }
    }

    fn address(&self) -> SocketAddr {
        self.settings.addresses[self.address_index.get() % self.settings.addresses.len()]
    }

    fn tls_file_versions(&self) -> Option<FileVersions> {
        self.settings.tls.as_ref().map(Tls::file_versions)
    }

    /// Makes the address after `address` the current one, unless another connection has failed over already.
    pub fn fail_over_from(&self, address: SocketAddr) {
        if self.address() == address {
            self.address_index.set(self.address_index.get() + 1);
        }
    }

    /// Opens a connection to the current address. Fails over to the next address after an error.
    ///
    /// # Errors
    ///
    /// Returns [`ClientError::Connect`], [`ClientError::ConnectTimeout`], [`ClientError::Handshake`],
    /// [`ClientError::Tls`] or [`ClientError::Transport`]. After any of these errors, no request was sent.
    pub async fn connect(&self) -> Result<Connection, ClientError> {
        let address = self.address();
        let timeout_error = ClientError::ConnectTimeout { address };
        let connected = with_timeout(CONNECT_TIMEOUT, timeout_error, self.open(address)).await;
        connected.inspect_err(|_| self.fail_over_from(address))
    }

    async fn open(&self, address: SocketAddr) -> Result<Connection, ClientError> {
        let failed = |source| ClientError::Connect { address, source };
        let stream = TcpStream::connect(address).await.map_err(failed)?;
        stream.set_nodelay(true).map_err(failed)?;
        // The versions are read before the files. If a file is replaced in between, the connection counts as outdated
        // and is not reused.
        let tls_file_versions = self.tls_file_versions();
        let stream: Box<dyn Stream> = match &self.settings.tls {
            None => Box::new(stream),
            Some(tls) => Box::new(tls_handshake(tls, address, stream).await?),
        };
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|source| ClientError::Transport { address, source })?;
        // The request in flight returns the error of the connection.
        let driver = spawn_local(async { drop(connection.await) }).abort_handle();
        Ok(Connection { sender, driver, address, tls_file_versions, answered_at: None })
    }

    /// Returns whether a connection can carry a request whose response must not be confused with another one, such as a
    /// write. It must be reusable ([`is_reusable`](Self::is_reusable)) and must have rested since its last response, so
    /// that a copy of that response is not taken for the response to the request.
    pub fn is_reusable_after_rest(&self, connection: &Connection) -> bool {
        connection.is_rested() && self.is_reusable(connection)
    }

    /// Returns whether a connection can carry another request. It must be open, lead to the current address, and have
    /// been opened with the certificates that are on disk now.
    pub fn is_reusable(&self, connection: &Connection) -> bool {
        !connection.sender.is_closed()
            && connection.address == self.address()
            && connection.tls_file_versions == self.tls_file_versions()
    }

    /// Sends a request and returns its response. After an error the connection must not be used again. Fails over to
    /// the next address after an error, and after a response that shows a fault of the server.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`ClientError`] that [`connect`](Self::connect) does not return, and
    /// [`ClientError::Transport`]. A write may have taken effect despite the error.
    pub async fn send(
        &self,
        connection: &mut Connection,
        request: &ApiRequest,
    ) -> Result<(ResponseHead, Bytes), ClientError> {
        let response = self.exchange(connection, request).await;
        connection.answered_at = Some(Instant::now());
        let server_fault = match &response {
            Ok((head, _)) => head.error().is_some_and(|error| error.is_server_fault()),
            Err(_) => true,
        };
        if server_fault {
            self.fail_over_from(connection.address);
        }
        response
    }

    async fn exchange(
        &self,
        connection: &mut Connection,
        api_request: &ApiRequest,
    ) -> Result<(ResponseHead, Bytes), ClientError> {
        let address = connection.address;
        let request = self.http_request(address, api_request)?;
        let failed = |source| ClientError::Transport { address, source };
        let limit = api_request.timeout();
        let timeout_error = || ClientError::ResponseTimeout { address, limit };
        let sender = &mut connection.sender;
        with_timeout(limit, timeout_error(), async { sender.ready().await.map_err(failed) }).await?;
        let sent = async { sender.send_request(request).await.map_err(failed) };
        let (parts, body) = with_timeout(limit, timeout_error(), sent).await?.into_parts();
        let timeout_error = ClientError::BodyTimeout { address };
        let body = with_timeout(BODY_TIMEOUT, timeout_error, read_body(address, body)).await?;
        Ok((ResponseHead::parse(parts.status.as_u16(), &parts.headers, &self.settings), body))
    }

    fn http_request(
        &self,
        address: SocketAddr,
        api_request: &ApiRequest,
    ) -> Result<Request<Full<Bytes>>, ClientError> {
        let method = if api_request.body.is_some() { Method::PUT } else { Method::GET };
        let mut request = Request::builder()
            .method(method)
            .uri(api_request.uri(&self.settings))
            .header(HOST, address.to_string());
        if let Some(token) = self.read_token()? {
            request = request.header(TOKEN_HEADER, token);
        }
        Ok(request.body(Full::new(api_request.body.clone().unwrap_or_default()))?)
    }

    /// Reads the token from its file. It is read for each request, so that a replaced file takes effect at once.
    fn read_token(&self) -> Result<Option<HeaderValue>, ClientError> {
        let Some(path) = &self.settings.token_file else { return Ok(None) };
        let text = std::fs::read_to_string(path)
            .map_err(|source| ClientError::ReadToken { path: path.clone(), source })?;
        let mut token = HeaderValue::from_str(text.trim())
            .map_err(|_| ClientError::InvalidToken { path: path.clone() })?;
        token.set_sensitive(true);
        Ok(Some(token))
    }
}

async fn tls_handshake(
    tls: &Tls,
    address: SocketAddr,
    stream: TcpStream,
) -> Result<impl Stream + use<>, ClientError> {
    let connector = TlsConnector::from(tls.load()?);
    let connected = connector.connect(tls.expected_server_name(address)?, stream).await;
    connected.map_err(|source| {
        let explanation = tls.describe_handshake_error(&source, address);
        ClientError::Handshake { address, explanation, source }
    })
}

async fn with_timeout<T>(
    limit: Duration,
    timeout_error: ClientError,
    work: impl Future<Output = Result<T, ClientError>>,
) -> Result<T, ClientError> {
    timeout(limit, work).await.unwrap_or(Err(timeout_error))
}

async fn read_body(address: SocketAddr, mut body: Incoming) -> Result<Bytes, ClientError> {
    let mut all = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|source| ClientError::Transport { address, source })?;
        if let Ok(data) = frame.into_data() {
            if all.len() + data.len() > BODY_MAX_BYTES {
                return Err(ClientError::BodyTooLarge { address });
            }
            all.extend_from_slice(&data);
        }
    }
    Ok(all.freeze())
}
