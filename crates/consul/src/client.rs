//! HTTP towards Consul: one connection, one request at a time, with bounds on time and size.
//!
//! A [`Client`] knows the addresses and opens connections to the current one; it moves on to the next address when a
//! connection fails or its server proves unable to answer.

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
use tokio::time::timeout;
use tokio_rustls::TlsConnector;

/// Time for a connection, its TLS handshake included.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);
/// Time for a body from its first byte to its last.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
const BODY_MAX_MIB: usize = 16;
const BODY_MAX_BYTES: usize = BODY_MAX_MIB << 20;
const TOKEN_HEADER: &str = "X-Consul-Token";

/// Why there is no response, in one line.
#[derive(Debug, Error)]
pub enum ClientError {
    /// TCP refused the connection, or it ended.
    #[error("cannot connect to Consul at {address}: {source}")]
    Connect {
        /// The address tried.
        address: SocketAddr,
        /// What went wrong.
        source: io::Error,
    },
    /// The connection, or its TLS handshake, took too long.
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
        /// What is wrong, and what to do about it.
        explanation: String,
        /// What the TLS library reports.
        source: io::Error,
    },
    /// TLS cannot be set up from its files.
    #[error("cannot set up TLS towards Consul: {0}")]
    Tls(#[from] TlsError),
    /// The token cannot be read.
    #[error("cannot read the Consul token from {path}: {source}")]
    ReadToken {
        /// The token file.
        path: PathBuf,
        /// What went wrong.
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
        /// What the HTTP library reports.
        source: hyper::Error,
    },
    /// No head of a response arrived in time.
    #[error("no response from Consul at {address} within {} s", .limit.as_secs())]
    ResponseTimeout {
        /// The address of the connection.
        address: SocketAddr,
        /// The time that was allowed.
        limit: Duration,
    },
    /// The body did not end in time.
    #[error("the response body from Consul at {address} did not end within {} s", BODY_TIMEOUT.as_secs())]
    BodyTimeout {
        /// The address of the connection.
        address: SocketAddr,
    },
    /// The body exceeds its bound.
    #[error("the response body from Consul at {address} is larger than {BODY_MAX_MIB} MiB")]
    BodyTooLarge {
        /// The address of the connection.
        address: SocketAddr,
    },
}

/// Opens connections, to the next address when one fails.
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
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Client {
    /// A client for settings with at least one address.
    pub fn new(settings: Rc<Settings>) -> Self {
        Client { settings, address_index: Cell::new(0) }
    }

    fn address(&self) -> SocketAddr {
        self.settings.addresses[self.address_index.get() % self.settings.addresses.len()]
    }

    fn tls_file_versions(&self) -> Option<FileVersions> {
        self.settings.tls.as_ref().map(Tls::file_versions)
    }

    /// Makes the address after this one the current one, unless another connection has moved on already.
    pub fn fail_over_from(&self, address: SocketAddr) {
        if self.address() == address {
            self.address_index.set(self.address_index.get() + 1);
        }
    }

    /// Opens a connection to the current address; a failure makes the next address current.
    ///
    /// # Errors
    ///
    /// [`ClientError::Connect`], [`ClientError::ConnectTimeout`], [`ClientError::Handshake`], [`ClientError::Tls`] and
    /// [`ClientError::Transport`]; nothing was sent.
    pub async fn connect(&self) -> Result<Connection, ClientError> {
        let address = self.address();
        let late = ClientError::ConnectTimeout { address };
        let connected = with_timeout(CONNECT_TIMEOUT, late, self.open(address)).await;
        connected.inspect_err(|_| self.fail_over_from(address))
    }

    async fn open(&self, address: SocketAddr) -> Result<Connection, ClientError> {
        let failed = |source| ClientError::Connect { address, source };
        let stream = TcpStream::connect(address).await.map_err(failed)?;
        stream.set_nodelay(true).map_err(failed)?;
        // Taken before the files are read: files replaced meanwhile make the connection outdated, never fresh.
        let tls_file_versions = self.tls_file_versions();
        let stream: Box<dyn Stream> = match &self.settings.tls {
            None => Box::new(stream),
            Some(tls) => Box::new(shake_hands(tls, address, stream).await?),
        };
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|source| ClientError::Transport { address, source })?;
        // An error of the connection shows in the request that is in flight.
        let driver = spawn_local(async { drop(connection.await) }).abort_handle();
        Ok(Connection { sender, driver, address, tls_file_versions })
    }

    /// Whether a connection can carry another request: it is open, leads to the current address, and was made with the
    /// certificates that are on disk.
    pub fn is_reusable(&self, connection: &Connection) -> bool {
        !connection.sender.is_closed()
            && connection.address == self.address()
            && connection.tls_file_versions == self.tls_file_versions()
    }

    /// Sends a request. After an error the connection must not be used again; after an error, and after a response that
    /// shows that its server is cut off, the next address becomes current.
    ///
    /// # Errors
    ///
    /// All of [`ClientError`] except those of [`connect`](Self::connect). A write may have taken effect all the same.
    pub async fn send(
        &self,
        connection: &mut Connection,
        request: &ApiRequest,
    ) -> Result<(ResponseHead, Bytes), ClientError> {
        let response = self.exchange(connection, request).await;
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
        let late = || ClientError::ResponseTimeout { address, limit };
        let sender = &mut connection.sender;
        with_timeout(limit, late(), async { sender.ready().await.map_err(failed) }).await?;
        let sent = async { sender.send_request(request).await.map_err(failed) };
        let (parts, body) = with_timeout(limit, late(), sent).await?.into_parts();
        let late = ClientError::BodyTimeout { address };
        let body = with_timeout(BODY_TIMEOUT, late, read_body(address, body)).await?;
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

    /// Reads the token anew for each request, so that a replaced file counts at once.
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

async fn shake_hands(
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
    late: ClientError,
    work: impl Future<Output = Result<T, ClientError>>,
) -> Result<T, ClientError> {
    timeout(limit, work).await.unwrap_or(Err(late))
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
