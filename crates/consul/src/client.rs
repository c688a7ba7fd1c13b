//! HTTP towards Consul: one connection, one question at a time, with bounds on time and size.

use crate::query::ResponseHead;
use crate::settings::{Consistency, Settings};
use crate::tls::FileVersions;
use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{HOST, HeaderMap, HeaderValue, RETRY_AFTER};
use hyper::{Method, Request, body::Incoming};
use hyper_util::rt::TokioIo;
use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode};
use std::cell::Cell;
use std::future::Future;
use std::net::SocketAddr;
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
/// Time that an answer may take beyond the wait that was asked for.
const RESPONSE_GRACE: Duration = Duration::from_secs(5);
/// Time for a body from its first byte to its last, and the largest that is read.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
const BODY_MAX_BYTES: usize = 16 << 20;
const TOKEN_HEADER: &str = "X-Consul-Token";
/// What stands in a path or a query as it is.
const UNESCAPED: &AsciiSet = &NON_ALPHANUMERIC.remove(b'-').remove(b'_').remove(b'.').remove(b'~');

/// Why there is no answer, in one line.
#[derive(Debug, Error)]
pub enum ClientError {
    /// No connection.
    #[error("{address}: {why}")]
    Connect {
        /// Whom it was tried with.
        address: SocketAddr,
        /// What went wrong.
        why: String,
    },
    /// TLS cannot be set up from its files.
    #[error(transparent)]
    Tls(#[from] crate::tls::TlsError),
    /// The token cannot be read.
    #[error("token: {0}")]
    Token(String),
    /// The connection ended, or what came is not HTTP.
    #[error("{0}")]
    Transport(String),
    /// Nothing came.
    #[error("silent for {} s", .0.as_secs())]
    ResponseTimeout(Duration),
    /// The body did not end in time.
    #[error("its answer did not end within {} s", BODY_TIMEOUT.as_secs())]
    BodyTimeout,
    /// The body is too large.
    #[error("its answer is larger than {} MiB", BODY_MAX_BYTES >> 20)]
    BodyTooLarge,
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

/// A key as it stands in a path: its slashes part it.
pub(crate) fn escape_key_path(key: &str) -> String {
    key.split('/').map(percent_encode).collect::<Vec<_>>().join("/")
}

fn percent_encode(part: &str) -> String {
    utf8_percent_encode(part, UNESCAPED).to_string()
}

/// What is asked, but for where and with which token.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ApiRequest {
    /// The path, whole and escaped.
    pub path: String,
    /// A filter expression.
    pub filter: Option<String>,
    /// The index to wait for; 0: the answer is wanted at once.
    pub index: u64,
    /// How long Consul may hold the question.
    pub wait: Duration,
    /// More of the query: names with values, and names alone.
    pub parameters: Vec<(&'static str, Option<String>)>,
    /// Only the leader may answer, whatever the settings allow: locks are not read from a server that is behind.
    pub leader_only: bool,
    /// A write with this body; without one a read.
    pub body: Option<Bytes>,
}

impl ApiRequest {
    /// The instances of a service, with their checks.
    pub fn service(name: &str, filter: Option<&String>, index: u64, wait: Duration) -> Self {
        ApiRequest {
            path: format!("/v1/health/service/{}", percent_encode(name)),
            filter: filter.cloned(),
            index,
            wait,
            ..ApiRequest::default()
        }
    }

    /// A fixed path that takes an index.
    pub fn read(path: &str, index: u64, wait: Duration) -> Self {
        ApiRequest { path: path.to_owned(), index, wait, ..ApiRequest::default() }
    }

    /// The keys below a path, from the leader.
    pub fn read_keys(below: &str, index: u64, wait: Duration) -> Self {
        let path = format!("/v1/kv/{}", escape_key_path(below));
        ApiRequest {
            path,
            index,
            wait,
            parameters: vec![("recurse", None)],
            leader_only: true,
            ..ApiRequest::default()
        }
    }

    /// A write of a session or a key.
    pub fn write(path: String, more: Vec<(&'static str, Option<String>)>, body: Bytes) -> Self {
        ApiRequest { path, parameters: more, leader_only: true, body: Some(body), ..ApiRequest::default() }
    }

    fn is_blocking(&self) -> bool {
        self.index > 0 && !self.wait.is_zero()
    }

    /// The path with its query.
    pub fn uri(&self, settings: &Settings) -> String {
        let mut query = Vec::new();
        if self.is_blocking() {
            query.push(format!("index={}", self.index));
            query.push(format!("wait={}ms", self.wait.as_millis()));
        }
        match settings.consistency {
            Consistency::Default => {}
            Consistency::Stale | Consistency::Consistent if self.leader_only => {}
            Consistency::Stale => query.push("stale".to_owned()),
            Consistency::Consistent => query.push("consistent".to_owned()),
        }
        for (name, value) in
            [("dc", &settings.datacenter), ("ns", &settings.namespace), ("filter", &self.filter)]
        {
            query.extend(value.iter().map(|value| format!("{name}={}", percent_encode(value))));
        }
        for (name, value) in &self.parameters {
            query.push(
                value
                    .as_ref()
                    .map_or((*name).to_owned(), |value| format!("{name}={}", percent_encode(value))),
            );
        }
        if query.is_empty() { self.path.clone() } else { format!("{}?{}", self.path, query.join("&")) }
    }

    /// How long to wait for the head of the answer. Consul adds up to a sixteenth to the wait
    /// (<https://developer.hashicorp.com/consul/api-docs/features/blocking>).
    fn timeout(&self) -> Duration {
        if self.is_blocking() { self.wait + self.wait / 16 + RESPONSE_GRACE } else { RESPONSE_GRACE }
    }
}

impl Client {
    /// A client for these settings.
    pub fn new(settings: Rc<Settings>) -> Self {
        Client { settings, address_index: Cell::new(0) }
    }

    fn address(&self) -> SocketAddr {
        self.settings.addresses[self.address_index.get() % self.settings.addresses.len()]
    }

    /// The next address from now on, unless another connection has moved on already.
    pub fn fail_over_from(&self, address: SocketAddr) {
        if self.address() == address {
            self.address_index.set(self.address_index.get() + 1);
        }
    }

    /// Opens a connection.
    pub async fn connect(&self) -> Result<Connection, ClientError> {
        let address = self.address();
        let opened = match timeout(CONNECT_TIMEOUT, self.open(address)).await {
            Ok(opened) => opened,
            Err(_) => Err(ClientError::Connect {
                address,
                why: format!("silent for {} s", CONNECT_TIMEOUT.as_secs()),
            }),
        };
        opened.inspect_err(|_| self.fail_over_from(address))
    }

    async fn open(&self, address: SocketAddr) -> Result<Connection, ClientError> {
        let failed = |why: String| ClientError::Connect { address, why };
        let stream = TcpStream::connect(address).await.map_err(|error| failed(error.to_string()))?;
        stream.set_nodelay(true).map_err(|error| failed(error.to_string()))?;
        let stamp = self.settings.tls.as_ref().map(|tls| tls.file_versions());
        let stream: Box<dyn Stream> = match &self.settings.tls {
            None => Box::new(stream),
            Some(tls) => {
                let connector = TlsConnector::from(tls.load()?);
                let spoken = connector.connect(tls.expected_server_name(address)?, stream).await;
                Box::new(spoken.map_err(|error| failed(tls.describe_handshake_error(&error, address)))?)
            }
        };
        let (sender, connection) =
            http1::handshake(TokioIo::new(stream)).await.map_err(|error| failed(error.to_string()))?;
        // How it ends shows in the question that is out.
        let driver = spawn_local(async { drop(connection.await) }).abort_handle();
        Ok(Connection { sender, driver, address, tls_file_versions: stamp })
    }

    /// Whether a connection can carry a question: it is open, to the address whose turn it is, and its certificates are
    /// those on the disk.
    pub fn is_reusable(&self, connection: &Connection) -> bool {
        !connection.sender.is_closed()
            && connection.address == self.address()
            && connection.tls_file_versions == self.settings.tls.as_ref().map(|tls| tls.file_versions())
    }

    /// Asks on a connection. Anything but a whole answer makes it useless; after one that shows that its server is cut
    /// off, the next connection goes to the next address.
    pub async fn send(
        &self,
        connection: &mut Connection,
        request: &ApiRequest,
    ) -> Result<(ResponseHead, Bytes), ClientError> {
        let answered = self.exchange(connection, request).await;
        let cut_off = match &answered {
            Ok((head, _)) => head.error().is_some_and(|refusal| refusal.is_server_fault()),
            Err(_) => true,
        };
        if cut_off {
            self.fail_over_from(connection.address);
        }
        answered
    }

    async fn exchange(
        &self,
        connection: &mut Connection,
        api_request: &ApiRequest,
    ) -> Result<(ResponseHead, Bytes), ClientError> {
        let broken = |error: hyper::Error| ClientError::Transport(error.to_string());
        let method = if api_request.body.is_some() { Method::PUT } else { Method::GET };
        let mut request = Request::builder()
            .method(method)
            .uri(api_request.uri(&self.settings))
            .header(HOST, connection.address.to_string());
        if let Some(path) = &self.settings.token_file {
            let token = std::fs::read_to_string(path);
            let token = token.map_err(|error| ClientError::Token(format!("{}: {error}", path.display())))?;
            let mut token = HeaderValue::from_str(token.trim())
                .map_err(|_| ClientError::Token(format!("{}: not one line of text", path.display())))?;
            token.set_sensitive(true);
            request = request.header(TOKEN_HEADER, token);
        }
        let request = request
            .body(Full::new(api_request.body.clone().unwrap_or_default()))
            .map_err(|error| ClientError::Transport(error.to_string()))?;
        let limit = api_request.timeout();
        with_timeout(limit, ClientError::ResponseTimeout(limit), async {
            connection.sender.ready().await.map_err(broken)
        })
        .await?;
        let answer = with_timeout(limit, ClientError::ResponseTimeout(limit), async {
            connection.sender.send_request(request).await.map_err(broken)
        })
        .await?;
        let (parts, body) = answer.into_parts();
        let body = with_timeout(BODY_TIMEOUT, ClientError::BodyTimeout, read_body(body)).await?;
        Ok((parse_head(parts.status.as_u16(), &parts.headers, &self.settings), body))
    }
}

async fn with_timeout<T>(
    span: Duration,
    late: ClientError,
    work: impl Future<Output = Result<T, ClientError>>,
) -> Result<T, ClientError> {
    timeout(span, work).await.unwrap_or(Err(late))
}

async fn read_body(mut body: Incoming) -> Result<Bytes, ClientError> {
    let mut all = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| ClientError::Transport(format!("cut short: {error}")))?;
        if let Ok(data) = frame.into_data() {
            if all.len() + data.len() > BODY_MAX_BYTES {
                return Err(ClientError::BodyTooLarge);
            }
            all.extend_from_slice(&data);
        }
    }
    Ok(all.freeze())
}

fn parse_head(status: u16, headers: &HeaderMap, settings: &Settings) -> ResponseHead {
    let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    let contact = text("X-Consul-LastContact").and_then(|ms| ms.parse().ok()).map(Duration::from_millis);
    // Only servers other than the leader may answer with old data, and only if they were allowed to.
    let stale = settings.consistency == Consistency::Stale;
    ResponseHead {
        status,
        index: text("X-Consul-Index").map(str::to_owned),
        leaderless: text("X-Consul-KnownLeader") == Some("false"),
        stale_for: contact.filter(|age| stale && *age > settings.max_stale),
        retry_after: text(RETRY_AFTER.as_str()).and_then(|value| value.trim().parse().ok()),
    }
}

#[cfg(test)]
mod tests;
