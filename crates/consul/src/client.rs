//! HTTP towards Consul: one connection, one question at a time, with bounds on time and size.

use crate::query::Head;
use crate::settings::{Consistency, Settings};
use crate::tls::Stamp;
use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{HOST, HeaderMap, HeaderValue};
use hyper::{Method, Request, body::Incoming};
use hyper_util::rt::TokioIo;
use orchidyoke_forwarder::retry_after::retry_after_whole_seconds;
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
const CONNECT: Duration = Duration::from_secs(3);
/// Time that an answer may take beyond the wait that was asked for.
const GRACE: Duration = Duration::from_secs(5);
/// Time for a body from its first byte to its last, and the largest that is read.
const BODY: Duration = Duration::from_secs(10);
const LARGEST: usize = 16 << 20;
const TOKEN: &str = "X-Consul-Token";
/// What stands in a path or a query as it is.
const PLAIN: &AsciiSet = &NON_ALPHANUMERIC.remove(b'-').remove(b'_').remove(b'.').remove(b'~');

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
    Broken(String),
    /// Nothing came.
    #[error("silent for {} s", .0.as_secs())]
    Silent(Duration),
    /// The body did not end in time.
    #[error("its answer did not end within {} s", BODY.as_secs())]
    Slow,
    /// The body is too large.
    #[error("its answer is larger than {} MiB", LARGEST >> 20)]
    Large,
}

/// Opens connections, to the next address when one fails.
#[derive(Debug)]
pub struct Client {
    settings: Rc<Settings>,
    turn: Cell<usize>,
}

trait Stream: AsyncRead + AsyncWrite + Unpin {}
impl<S: AsyncRead + AsyncWrite + Unpin> Stream for S {}

/// A connection to Consul. Dropping it closes it.
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
    address: SocketAddr,
    stamp: Option<Stamp>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// A key as it stands in a path: its slashes part it.
pub(crate) fn path(key: &str) -> String {
    key.split('/').map(text).collect::<Vec<_>>().join("/")
}

fn text(part: &str) -> String {
    utf8_percent_encode(part, PLAIN).to_string()
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
    pub more: Vec<(&'static str, Option<String>)>,
    /// Only the leader may answer, whatever the settings allow: locks are not read from a server that is behind.
    pub leader: bool,
    /// A write with this body; without one a read.
    pub write: Option<Bytes>,
}

impl ApiRequest {
    /// The instances of a service, with their checks.
    pub fn service(name: &str, filter: Option<&String>, index: u64, wait: Duration) -> Self {
        ApiRequest {
            path: format!("/v1/health/service/{}", text(name)),
            filter: filter.cloned(),
            index,
            wait,
            ..ApiRequest::default()
        }
    }

    /// A fixed path that takes an index.
    pub fn path(path: &str, index: u64, wait: Duration) -> Self {
        ApiRequest { path: path.to_owned(), index, wait, ..ApiRequest::default() }
    }

    /// The keys below a path, from the leader.
    pub fn keys(below: &str, index: u64, wait: Duration) -> Self {
        let path = format!("/v1/kv/{}", path(below));
        ApiRequest { path, index, wait, more: vec![("recurse", None)], leader: true, ..ApiRequest::default() }
    }

    /// A write of a session or a key.
    pub fn write(path: String, more: Vec<(&'static str, Option<String>)>, body: Bytes) -> Self {
        ApiRequest { path, more, leader: true, write: Some(body), ..ApiRequest::default() }
    }

    fn holds(&self) -> bool {
        self.index > 0 && !self.wait.is_zero()
    }

    /// The path with its query.
    pub fn uri(&self, settings: &Settings) -> String {
        let mut query = Vec::new();
        if self.holds() {
            query.push(format!("index={}", self.index));
            query.push(format!("wait={}ms", self.wait.as_millis()));
        }
        match settings.consistency {
            Consistency::Default => {}
            Consistency::Stale | Consistency::Consistent if self.leader => {}
            Consistency::Stale => query.push("stale".to_owned()),
            Consistency::Consistent => query.push("consistent".to_owned()),
        }
        for (name, value) in
            [("dc", &settings.datacenter), ("ns", &settings.namespace), ("filter", &self.filter)]
        {
            query.extend(value.iter().map(|value| format!("{name}={}", text(value))));
        }
        for (name, value) in &self.more {
            query.push(value.as_ref().map_or((*name).to_owned(), |value| format!("{name}={}", text(value))));
        }
        if query.is_empty() { self.path.clone() } else { format!("{}?{}", self.path, query.join("&")) }
    }

    /// How long to wait for the head of the answer. Consul adds up to a sixteenth to the wait
    /// (<https://developer.hashicorp.com/consul/api-docs/features/blocking>).
    fn timeout(&self) -> Duration {
        if self.holds() { self.wait + self.wait / 16 + GRACE } else { GRACE }
    }
}

impl Client {
    /// A client for these settings.
    pub fn new(settings: Rc<Settings>) -> Self {
        Client { settings, turn: Cell::new(0) }
    }

    fn address(&self) -> SocketAddr {
        self.settings.addresses[self.turn.get() % self.settings.addresses.len()]
    }

    /// The next address from now on, unless another connection has moved on already.
    pub fn give_up(&self, address: SocketAddr) {
        if self.address() == address {
            self.turn.set(self.turn.get() + 1);
        }
    }

    /// Opens a connection.
    pub async fn connect(&self) -> Result<Connection, ClientError> {
        let address = self.address();
        let opened = match timeout(CONNECT, self.open(address)).await {
            Ok(opened) => opened,
            Err(_) => {
                Err(ClientError::Connect { address, why: format!("silent for {} s", CONNECT.as_secs()) })
            }
        };
        opened.inspect_err(|_| self.give_up(address))
    }

    async fn open(&self, address: SocketAddr) -> Result<Connection, ClientError> {
        let failed = |why: String| ClientError::Connect { address, why };
        let stream = TcpStream::connect(address).await.map_err(|error| failed(error.to_string()))?;
        stream.set_nodelay(true).map_err(|error| failed(error.to_string()))?;
        let stamp = self.settings.tls.as_ref().map(|tls| tls.stamp());
        let stream: Box<dyn Stream> = match &self.settings.tls {
            None => Box::new(stream),
            Some(tls) => {
                let connector = TlsConnector::from(tls.load()?);
                let spoken = connector.connect(tls.name(address)?, stream).await;
                Box::new(spoken.map_err(|error| failed(tls.explain(&error, address)))?)
            }
        };
        let (sender, connection) =
            http1::handshake(TokioIo::new(stream)).await.map_err(|error| failed(error.to_string()))?;
        // How it ends shows in the question that is out.
        let driver = spawn_local(async { drop(connection.await) }).abort_handle();
        Ok(Connection { sender, driver, address, stamp })
    }

    /// Whether a connection can carry a question: it is open, to the address whose turn it is, and its certificates are
    /// those on the disk.
    pub fn is_good(&self, connection: &Connection) -> bool {
        !connection.sender.is_closed()
            && connection.address == self.address()
            && connection.stamp == self.settings.tls.as_ref().map(|tls| tls.stamp())
    }

    /// Asks on a connection. Anything but a whole answer makes it useless; after one that shows that its server is cut
    /// off, the next connection goes to the next address.
    pub async fn ask(
        &self,
        connection: &mut Connection,
        request: &ApiRequest,
    ) -> Result<(Head, Bytes), ClientError> {
        let answered = self.exchange(connection, request).await;
        let cut_off = match &answered {
            Ok((head, _)) => head.refusal().is_some_and(|refusal| refusal.is_of_the_server()),
            Err(_) => true,
        };
        if cut_off {
            self.give_up(connection.address);
        }
        answered
    }

    async fn exchange(
        &self,
        connection: &mut Connection,
        api_request: &ApiRequest,
    ) -> Result<(Head, Bytes), ClientError> {
        let broken = |error: hyper::Error| ClientError::Broken(error.to_string());
        let method = if api_request.write.is_some() { Method::PUT } else { Method::GET };
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
            request = request.header(TOKEN, token);
        }
        let request = request
            .body(Full::new(api_request.write.clone().unwrap_or_default()))
            .map_err(|error| ClientError::Broken(error.to_string()))?;
        let limit = api_request.timeout();
        within(limit, ClientError::Silent(limit), async { connection.sender.ready().await.map_err(broken) })
            .await?;
        let answer = within(limit, ClientError::Silent(limit), async {
            connection.sender.send_request(request).await.map_err(broken)
        })
        .await?;
        let (parts, body) = answer.into_parts();
        let body = within(BODY, ClientError::Slow, read(body)).await?;
        Ok((head(parts.status.as_u16(), &parts.headers, &self.settings), body))
    }
}

async fn within<T>(
    span: Duration,
    late: ClientError,
    work: impl Future<Output = Result<T, ClientError>>,
) -> Result<T, ClientError> {
    timeout(span, work).await.unwrap_or(Err(late))
}

async fn read(mut body: Incoming) -> Result<Bytes, ClientError> {
    let mut all = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| ClientError::Broken(format!("cut short: {error}")))?;
        if let Ok(data) = frame.into_data() {
            if all.len() + data.len() > LARGEST {
                return Err(ClientError::Large);
            }
            all.extend_from_slice(&data);
        }
    }
    Ok(all.freeze())
}

fn head(status: u16, headers: &HeaderMap, settings: &Settings) -> Head {
    let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    let contact = text("X-Consul-LastContact").and_then(|ms| ms.parse().ok()).map(Duration::from_millis);
    // Only servers other than the leader may answer with old data, and only if they were allowed to.
    let stale = settings.consistency == Consistency::Stale;
    Head {
        status,
        index: text("X-Consul-Index").map(str::to_owned),
        leaderless: text("X-Consul-KnownLeader") == Some("false"),
        too_old: contact.filter(|age| stale && *age > settings.max_stale),
        retry_after: retry_after_whole_seconds(headers),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_question_says_all_that_the_settings_ask_for() {
        let mut settings = Settings::default();
        let wait = Duration::from_secs(30);
        let request = ApiRequest::service("a b/c", None, 0, wait);
        assert_eq!(request.uri(&settings), "/v1/health/service/a%20b%2Fc");
        assert_eq!(request.timeout(), GRACE);
        settings.consistency = Consistency::Stale;
        (settings.datacenter, settings.namespace) = (Some("dc1".to_owned()), Some("n s".to_owned()));
        let filter = Some("Service.Meta.v == \"2\"".to_owned());
        let request = ApiRequest::service("web", filter.as_ref(), 7, wait);
        let uri = "/v1/health/service/web?index=7&wait=30000ms&stale&dc=dc1&ns=n%20s&\
                   filter=Service.Meta.v%20%3D%3D%20%222%22";
        assert_eq!((request.uri(&settings).as_str(), request.timeout()), (uri, wait + wait / 16 + GRACE));
    }
}
