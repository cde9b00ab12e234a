//! Pooled HTTP client connections with streaming bodies.

use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    pin::Pin,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    task::{Context, Poll},
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{
    HeaderMap, Request, Response, StatusCode,
    body::{Body as _, Frame, Incoming, SizeHint},
    client::conn::http1::{self, SendRequest},
    ext::on_informational,
    header::{CONNECTION, HeaderName, HeaderValue},
};
use hyper_util::rt::TokioIo;
use lentilshunt_core::verdict::Verdict;
use snafu::{ResultExt, Snafu};
use socket2::{SockRef, TcpKeepalive};
use tokio::{net::TcpStream, time::timeout_at};
use tokio_util::sync::CancellationToken;

use super::{
    body::{Body, Error as BodyError},
    header::is_of_another_request,
    lent_body::OnContinue,
    socket::{Socket, TCP_USER_TIMEOUT},
    yielding::Yielding,
};
use crate::executor::lock;

/// Header in which a server announces how long it keeps an idle connection.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
/// Time before the end of a server's keep-alive timeout at which a connection is discarded.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(1500);
/// Maximum number of informational responses (1xx) before the response to a request.
const MAX_INFORMATIONAL_RESPONSES: usize = 16;
/// Maximum number of idle connections per server.
const MAX_IDLE_CONNECTIONS: usize = 32;
/// Length of a request body from which a server may read it late.
const LONG_BODY_BYTES: u64 = 16 * 1024;
/// Idle time before the first TCP keep-alive probe, and interval between probes.
const TCP_KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unanswered TCP keep-alive probes after which a connection is closed.
const TCP_KEEPALIVE_RETRIES: u32 = 2;

/// Failure of an exchange, classified by whether the request was sent.
#[derive(Debug, Snafu)]
pub enum Failure {
    /// No connection could be opened, so the request was not sent.
    #[snafu(display("cannot connect to {address}"))]
    Connect {
        /// Address of the server.
        address: SocketAddr,
        /// Socket error.
        source: io::Error,
    },
    /// A connection was closed before the request was written to it.
    #[snafu(display("connection to {address} was closed before the request was sent"))]
    NotSent {
        /// Address of the server.
        address: SocketAddr,
        /// Connection error.
        source: hyper::Error,
    },
    /// The server sent informational responses (1xx) without end.
    #[snafu(display("{address} sent too many informational responses"))]
    Informational {
        /// Address of the server.
        address: SocketAddr,
    },
    /// The server sent a response that may be the one to another request, so that the connection
    /// was closed.
    #[snafu(display("{address} sent a response that may be the one to another request"))]
    OtherRequest {
        /// Address of the server.
        address: SocketAddr,
    },
    /// The connection failed after the request was sent.
    #[snafu(display("connection to {address} failed after the request was sent"))]
    ConnectionLost {
        /// Address of the server.
        address: SocketAddr,
        /// Connection error.
        source: hyper::Error,
    },
}

impl Failure {
    /// Returns whether the server may have run the request.
    #[must_use]
    pub fn verdict(&self) -> Verdict {
        match self {
            Self::Connect { .. } | Self::NotSent { .. } => Verdict::NotRun,
            Self::Informational { .. }
            | Self::OtherRequest { .. }
            | Self::ConnectionLost { .. } => Verdict::MayHaveRun,
        }
    }
}

/// Pool of client connections to several servers, each with one request at a time.
///
/// Unlike `lentilshunt_net::http::Pool`, it streams bodies and takes no deadline.
#[derive(Debug)]
pub struct Pool {
    connect_timeout: Duration,
    idle_timeout: Duration,
    /// Header of a request that servers echo in their response, if they do.
    echoed_header: Option<HeaderName>,
    servers: Mutex<HashMap<SocketAddr, Arc<IdleList>>>,
}

/// What a response is compared with.
struct Expected {
    address: SocketAddr,
    /// Value of the echoed header in the request; empty if the request does not have it.
    id: HeaderValue,
    /// Whether the connection has carried earlier requests, whose responses may be sent again.
    is_kept: bool,
}

impl Expected {
    /// Returns whether a response with the given headers is certainly that to the request.
    fn includes(&self, headers: &HeaderMap, echo: &HeaderName) -> bool {
        if self.is_kept && !headers.contains_key(echo) {
            return self.id.is_empty();
        }
        !is_of_another_request(headers, echo, self.id.as_bytes())
    }
}

/// Idle connections to one server; the most recently used one is reused first.
#[derive(Debug, Default)]
struct IdleList {
    connections: Mutex<Vec<IdleConnection>>,
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    expires_at: Instant,
}

#[derive(Debug)]
struct Connection {
    sender: SendRequest<Body>,
    /// Whether the body of the request in flight is a long one, see [`Socket`].
    sends_long_body: Arc<AtomicBool>,
}

impl Connection {
    /// Prepares the connection for a request.
    fn prepare(&self, sends_long_body: bool) {
        // The request is handed to the task of the connection afterwards.
        self.sends_long_body
            .store(sends_long_body, Ordering::Relaxed);
    }
}

impl Pool {
    /// Creates a pool without connections.
    ///
    /// Idle connections are kept for up to `idle_timeout`.
    #[must_use]
    pub fn new(connect_timeout: Duration, idle_timeout: Duration) -> Self {
        Self {
            connect_timeout,
            idle_timeout,
            echoed_header: None,
            servers: Mutex::default(),
        }
    }

    /// Sets the header of a request that servers echo in their response.
    ///
    /// A response is accepted if it has the value of the request (or neither has one), or if it has
    /// none and the request is the first one on its connection. Any other may be the one to an
    /// earlier request, sent again; the connection is closed, as the next response on it would
    /// belong to another request as well.
    #[must_use]
    pub fn with_echoed_header(mut self, name: HeaderName) -> Self {
        self.echoed_header = Some(name);
        self
    }

    /// Sends a request and returns its response with a streaming body.
    ///
    /// Dropping the future, or the response body before its end, closes the
    /// connection.
    ///
    /// # Errors
    ///
    /// Returns a failure whose [`Failure::verdict`] tells whether the server may
    /// have run the request.
    pub async fn send(
        &self,
        address: SocketAddr,
        mut request: Request<Body>,
    ) -> Result<Response<Body>, Failure> {
        let idle = self.idle_list(address);
        let id = self.echoed_value(request.headers()).cloned();
        let mut expected = Expected {
            address,
            id: id.unwrap_or_else(|| HeaderValue::from_static("")),
            is_kept: true,
        };
        let too_many = limit_informational_responses(&mut request);
        let length = request.body().size_hint().upper();
        let sends_long_body = length.is_none_or(|length| length >= LONG_BODY_BYTES);
        while let Some(mut connection) = idle.pop() {
            connection.prepare(sends_long_body);
            let sent = tokio::select! {
                sent = connection.sender.try_send_request(request) => sent,
                () = too_many.cancelled() => return InformationalSnafu { address }.fail(),
            };
            match sent {
                Ok(response) => return self.accept(&expected, response, idle, connection),
                Err(mut error) => match error.take_message() {
                    // The server closed the connection while it was idle.
                    Some(unsent) => request = unsent,
                    None => {
                        return Err(error.into_error()).context(ConnectionLostSnafu { address });
                    }
                },
            }
        }
        let mut connection = self.connect(address).await?;
        connection.prepare(sends_long_body);
        expected.is_kept = false;
        let sent = tokio::select! {
            sent = connection.sender.try_send_request(request) => sent,
            () = too_many.cancelled() => return InformationalSnafu { address }.fail(),
        };
        match sent {
            Ok(response) => self.accept(&expected, response, idle, connection),
            Err(mut error) => {
                let is_unsent = error.take_message().is_some();
                let source = error.into_error();
                if is_unsent {
                    Err(source).context(NotSentSnafu { address })
                } else {
                    Err(source).context(ConnectionLostSnafu { address })
                }
            }
        }
    }

    /// Closes the idle connections to a server.
    pub fn close_idle(&self, address: SocketAddr) {
        self.idle_list(address).lock().clear();
    }

    async fn connect(&self, address: SocketAddr) -> Result<Connection, Failure> {
        let deadline = Instant::now() + self.connect_timeout;
        let connected = timeout_at(deadline.into(), TcpStream::connect(address)).await;
        let stream = connected
            .unwrap_or_else(|elapsed| Err(elapsed.into()))
            .context(ConnectSnafu { address })?;
        configure_socket(&stream).context(ConnectSnafu { address })?;
        let sends_long_body = Arc::<AtomicBool>::default();
        let socket = Socket::new(stream, Arc::clone(&sends_long_body));
        let (sender, connection) = http1::handshake(TokioIo::new(Yielding::new(socket)))
            .await
            .context(NotSentSnafu { address })?;
        // The exchange in flight receives the error of the connection.
        tokio::spawn(async move { drop(connection.await) });
        Ok(Connection {
            sender,
            sends_long_body,
        })
    }

    fn echoed_value<'a>(&self, headers: &'a HeaderMap) -> Option<&'a HeaderValue> {
        let name = self.echoed_header.as_ref()?;
        headers.get(name)
    }

    /// Returns a response, unless it may be the one to another request.
    fn accept(
        &self,
        expected: &Expected,
        response: Response<Incoming>,
        idle: Arc<IdleList>,
        connection: Connection,
    ) -> Result<Response<Body>, Failure> {
        let echo = self.echoed_header.as_ref();
        if !echo.is_none_or(|echo| expected.includes(response.headers(), echo)) {
            let address = expected.address;
            return OtherRequestSnafu { address }.fail();
        }
        Ok(self.pooled_response(response, idle, connection))
    }

    fn pooled_response(
        &self,
        response: Response<Incoming>,
        idle: Arc<IdleList>,
        connection: Connection,
    ) -> Response<Body> {
        let expires_at = self.expires_at(response.headers());
        response.map(|body| {
            let mut pooled = PooledBody {
                body,
                idle,
                connection: expires_at.map(|expires_at| IdleConnection {
                    connection,
                    expires_at,
                }),
            };
            if pooled.body.is_end_stream() {
                pooled.release();
            }
            pooled.boxed_unsync()
        })
    }

    /// Returns when a connection expires after a response, or `None` if it cannot be reused.
    fn expires_at(&self, headers: &HeaderMap) -> Option<Instant> {
        let has = |name: &HeaderName, token: &str| {
            let values = headers.get_all(name).iter();
            let mut texts = values.filter_map(|value| value.to_str().ok());
            texts.any(|text| text.to_ascii_lowercase().contains(token))
        };
        if has(&CONNECTION, "close") {
            return None;
        }
        let value = headers
            .get(&KEEP_ALIVE)
            .and_then(|value| value.to_str().ok());
        let keep_alive = value
            .into_iter()
            .flat_map(|value| value.split(','))
            .filter_map(|part| part.trim().strip_prefix("timeout="))
            .find_map(|seconds| seconds.parse().ok())
            .map(Duration::from_secs);
        let timeout = keep_alive.map_or(self.idle_timeout, |keep_alive| {
            keep_alive
                .saturating_sub(KEEP_ALIVE_MARGIN)
                .min(self.idle_timeout)
        });
        Some(Instant::now() + timeout)
    }

    fn idle_list(&self, address: SocketAddr) -> Arc<IdleList> {
        let mut servers = lock(&self.servers);
        Arc::clone(servers.entry(address).or_default())
    }
}

impl IdleList {
    fn lock(&self) -> MutexGuard<'_, Vec<IdleConnection>> {
        lock(&self.connections)
    }

    /// Removes and returns the most recently used connection, and drops expired ones.
    fn pop(&self) -> Option<Connection> {
        let now = Instant::now();
        let mut connections = self.lock();
        connections.retain(|idle| idle.expires_at > now && !idle.connection.sender.is_closed());
        let ready = connections
            .iter()
            .rposition(|idle| idle.connection.sender.is_ready())?;
        Some(connections.remove(ready).connection)
    }

    fn push(&self, connection: IdleConnection) {
        let mut connections = self.lock();
        if connections.len() < MAX_IDLE_CONNECTIONS {
            connections.push(connection);
        }
    }
}

/// A response body that returns its connection to the pool at its end.
struct PooledBody {
    body: Incoming,
    idle: Arc<IdleList>,
    connection: Option<IdleConnection>,
}

impl PooledBody {
    fn release(&mut self) {
        if let Some(connection) = self.connection.take() {
            self.idle.push(connection);
        }
    }
}

impl hyper::body::Body for PooledBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        if matches!(polled, Poll::Ready(None)) || self.body.is_end_stream() {
            self.release();
        }
        polled.map_err(Into::into)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Returns a token that is cancelled once too many informational responses to a request arrive.
///
/// Also passes on a request to continue, if the request waits for one.
fn limit_informational_responses(request: &mut Request<Body>) -> CancellationToken {
    let too_many = CancellationToken::new();
    let count = AtomicUsize::new(0);
    let token = too_many.clone();
    let on_continue = request.extensions_mut().remove::<OnContinue>();
    on_informational(request, move |response| {
        if let Some(on_continue) = &on_continue
            && response.status() == StatusCode::CONTINUE
        {
            on_continue.grant();
        }
        if count.fetch_add(1, Ordering::Relaxed) >= MAX_INFORMATIONAL_RESPONSES {
            token.cancel();
        }
    });
    too_many
}

/// Sets the socket options that detect unresponsive connections.
pub(super) fn configure_socket(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))?;
    let keepalive = TcpKeepalive::new()
        .with_time(TCP_KEEPALIVE_INTERVAL)
        .with_interval(TCP_KEEPALIVE_INTERVAL)
        .with_retries(TCP_KEEPALIVE_RETRIES);
    socket.set_tcp_keepalive(&keepalive)
}
