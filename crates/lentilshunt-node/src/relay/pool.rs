//! Client connections on which bodies pass piece by piece.

use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard},
    task::{Context, Poll},
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{
    HeaderMap, Request, Response,
    body::{Body as _, Frame, Incoming, SizeHint},
    client::conn::http1::{self, SendRequest},
    header::{CONNECTION, HeaderName},
};
use hyper_util::rt::TokioIo;
use lentilshunt_core::verdict::Verdict;
use snafu::{ResultExt, Snafu};
use socket2::{SockRef, TcpKeepalive};
use tokio::{net::TcpStream, time::timeout_at};

use super::body::{Body, Error as BodyError};
use crate::executor::lock;

/// Header by which a server tells for how long it keeps an idle connection.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
/// Time before the end of a server's keep-alive at which a connection is no longer used.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(1500);
/// Idle connections that are kept for one server.
const MAX_IDLE: usize = 32;
/// Time without an answer of the other end's system after which a connection is dead.
///
/// A lost packet is sent again after 200 ms, 600 ms and 1.4 s.
const USER_TIMEOUT: Duration = Duration::from_secs(2);
/// Idle time after which the other end's system is probed, and pause between probes.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered probes after which a connection is dead.
const KEEP_ALIVE_PROBES: u32 = 2;

/// Failure of an exchange, by what it says of the request.
#[derive(Debug, Snafu)]
pub enum Failure {
    /// No connection could be opened, so the request was not sent.
    #[snafu(display("cannot connect to {address}"))]
    Connect {
        /// Address of the server.
        address: SocketAddr,
        /// Error of the socket.
        source: io::Error,
    },
    /// A connection was closed before the request was written to it.
    #[snafu(display("connection to {address} was closed before the request was sent"))]
    NotSent {
        /// Address of the server.
        address: SocketAddr,
        /// Error of the connection.
        source: hyper::Error,
    },
    /// The connection failed after the request was sent.
    #[snafu(display("connection to {address} failed after the request was sent"))]
    Broken {
        /// Address of the server.
        address: SocketAddr,
        /// Error of the connection.
        source: hyper::Error,
    },
}

impl Failure {
    /// Returns whether the request may have reached the server.
    #[must_use]
    pub fn verdict(&self) -> Verdict {
        match self {
            Self::Connect { .. } | Self::NotSent { .. } => Verdict::NotRun,
            Self::Broken { .. } => Verdict::MayHaveRun,
        }
    }
}

/// Client connections to many servers, one request at a time on each.
#[derive(Debug)]
pub struct Pool {
    connect_timeout: Duration,
    idle_time: Duration,
    lanes: Mutex<HashMap<SocketAddr, Arc<Lane>>>,
}

/// Idle connections to one server; the one used last is used first.
#[derive(Debug, Default)]
struct Lane {
    idle: Mutex<Vec<Idle>>,
}

#[derive(Debug)]
struct Idle {
    sender: SendRequest<Body>,
    expires_at: Instant,
}

impl Pool {
    /// Creates a pool that waits for connections and keeps idle ones for set times.
    #[must_use]
    pub fn new(connect_timeout: Duration, idle_time: Duration) -> Self {
        Self {
            connect_timeout,
            idle_time,
            lanes: Mutex::default(),
        }
    }

    /// Sends a request and returns the head of its answer, whose body follows.
    ///
    /// Dropping the future, or the body of the answer before its end, closes the
    /// connection.
    ///
    /// # Errors
    ///
    /// Returns a failure whose [`Failure::verdict`] says whether the request may
    /// have reached the server.
    pub async fn send(
        &self,
        address: SocketAddr,
        mut request: Request<Body>,
    ) -> Result<Response<Body>, Failure> {
        let lane = self.lane(address);
        while let Some(mut sender) = lane.take() {
            match sender.try_send_request(request).await {
                Ok(response) => return Ok(self.track(response, lane, sender)),
                Err(mut error) => match error.take_message() {
                    // The connection was closed while it was idle.
                    Some(unsent) => request = unsent,
                    None => return Err(error.into_error()).context(BrokenSnafu { address }),
                },
            }
        }
        let mut sender = self.connect(address).await?;
        match sender.try_send_request(request).await {
            Ok(response) => Ok(self.track(response, lane, sender)),
            Err(mut error) => {
                let unsent = error.take_message().is_some();
                let source = error.into_error();
                if unsent {
                    Err(source).context(NotSentSnafu { address })
                } else {
                    Err(source).context(BrokenSnafu { address })
                }
            }
        }
    }

    /// Closes the idle connections to a server.
    pub fn close_idle(&self, address: SocketAddr) {
        self.lane(address).lock().clear();
    }

    async fn connect(&self, address: SocketAddr) -> Result<SendRequest<Body>, Failure> {
        let until = Instant::now() + self.connect_timeout;
        let opened = timeout_at(until.into(), TcpStream::connect(address)).await;
        let stream = opened
            .unwrap_or_else(|elapsed| Err(elapsed.into()))
            .context(ConnectSnafu { address })?;
        prepare(&stream).context(ConnectSnafu { address })?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .context(NotSentSnafu { address })?;
        // The exchange in flight is told of a failure.
        tokio::spawn(async move { drop(connection.await) });
        Ok(sender)
    }

    fn track(
        &self,
        response: Response<Incoming>,
        lane: Arc<Lane>,
        sender: SendRequest<Body>,
    ) -> Response<Body> {
        let expires_at = self.expiry(response.headers());
        response.map(|body| {
            let mut tracked = Tracked {
                body,
                lane,
                kept: expires_at.map(|expires_at| Idle { sender, expires_at }),
            };
            if tracked.body.is_end_stream() {
                tracked.give_back();
            }
            tracked.boxed_unsync()
        })
    }

    /// Returns until when a connection may be used after an answer, if it may at all.
    fn expiry(&self, headers: &HeaderMap) -> Option<Instant> {
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
        let told = value
            .into_iter()
            .flat_map(|value| value.split(','))
            .filter_map(|part| part.trim().strip_prefix("timeout="))
            .find_map(|seconds| seconds.parse().ok())
            .map(Duration::from_secs);
        let kept = told.map_or(self.idle_time, |told| {
            told.saturating_sub(KEEP_ALIVE_MARGIN).min(self.idle_time)
        });
        Some(Instant::now() + kept)
    }

    fn lane(&self, address: SocketAddr) -> Arc<Lane> {
        let mut lanes = lock(&self.lanes);
        Arc::clone(lanes.entry(address).or_default())
    }
}

impl Lane {
    fn lock(&self) -> MutexGuard<'_, Vec<Idle>> {
        lock(&self.idle)
    }

    /// Takes the idle connection that was used last, and drops those that have expired.
    fn take(&self) -> Option<SendRequest<Body>> {
        let now = Instant::now();
        let mut idle = self.lock();
        idle.retain(|idle| idle.expires_at > now && !idle.sender.is_closed());
        let ready = idle.iter().rposition(|idle| idle.sender.is_ready())?;
        Some(idle.remove(ready).sender)
    }

    fn give_back(&self, idle: Idle) {
        let mut held = self.lock();
        if held.len() < MAX_IDLE {
            held.push(idle);
        }
    }
}

/// Body of an answer that gives its connection back at its end.
struct Tracked {
    body: Incoming,
    lane: Arc<Lane>,
    kept: Option<Idle>,
}

impl Tracked {
    fn give_back(&mut self) {
        if let Some(idle) = self.kept.take() {
            self.lane.give_back(idle);
        }
    }
}

impl hyper::body::Body for Tracked {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        if matches!(polled, Poll::Ready(None)) || self.body.is_end_stream() {
            self.give_back();
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

/// Sets the options by which a silent connection is noticed.
pub(super) fn prepare(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEP_ALIVE_INTERVAL)
        .with_interval(KEEP_ALIVE_INTERVAL)
        .with_retries(KEEP_ALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)
}
