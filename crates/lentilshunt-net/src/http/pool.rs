//! A pool of client connections.

use std::{
    collections::HashMap,
    io,
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::{Duration, Instant},
};

use arc_swap::ArcSwap;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    Request, Response,
    body::{Body, Incoming},
    client::conn::http1,
    header::{CONTENT_LENGTH, TRANSFER_ENCODING},
};
use hyper_util::rt::TokioIo;
use snafu::{OptionExt, ResultExt};
use tokio::{
    net::{TcpSocket, TcpStream},
    time::timeout_at,
};

use super::{
    Error, Exchange,
    error::{
        ConnectSnafu, ConnectTimeoutSnafu, ConnectionLostSnafu, NotSentSnafu, TimeoutSnafu,
        TooLargeSnafu, TooManyConnectionsSnafu, UnknownLengthSnafu,
    },
    lane::{Lane, Sender, Slot},
    silence::Watch,
};

/// Connections that a node opens to one server.
const CONNECTIONS: u32 = 110;
/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Client connections to many servers, one request at a time on each.
#[derive(Debug)]
pub struct Pool {
    source: Option<IpAddr>,
    connections: u32,
    lanes: ArcSwap<HashMap<SocketAddr, Arc<Lane>>>,
}

impl Default for Pool {
    /// Creates a pool without a limit of connections.
    fn default() -> Self {
        Self {
            source: None,
            connections: u32::MAX,
            lanes: ArcSwap::default(),
        }
    }
}

/// A request that a connection gave no answer to.
struct Unanswered {
    /// The request, when it was not sent.
    unsent: Option<Request<Full<Bytes>>>,
    /// Error of the connection.
    source: hyper::Error,
}

impl Pool {
    /// Creates a pool whose connections come from an address of this instance.
    #[must_use]
    pub fn bound_to(source: IpAddr) -> Self {
        Self {
            source: Some(source),
            connections: CONNECTIONS,
            ..Self::default()
        }
    }

    /// Limits the connections that are open to one server at a time.
    #[must_use]
    pub fn with_max_connections(mut self, connections: u32) -> Self {
        self.connections = connections;
        self
    }

    /// Sends a request and returns its answer with the whole body.
    ///
    /// A truncated body is an error. Dropping the future closes the
    /// connection, which cancels the request at the server.
    ///
    /// # Errors
    ///
    /// Returns an error whose [`Error::verdict`] says whether the request may
    /// have reached the server.
    pub async fn exchange(
        &self,
        exchange: Exchange,
        request: Request<Bytes>,
    ) -> Result<Response<Bytes>, Error> {
        let lane = self.lane(exchange.address);
        let request = request.map(Full::new);
        let Some(sender) = lane.take(Instant::now()) else {
            let sender = self.connect(&lane, exchange).await?;
            return finish(&lane, exchange, sender, request).await;
        };
        let watch = Watch::new(Arc::clone(&lane), Instant::now());
        match attempt(exchange, sender, request).await? {
            (sender, Ok(answer)) => {
                let answer = receive(exchange, answer).await?;
                watch.end();
                lane.give_back(sender, Instant::now());
                Ok(answer)
            }
            (_closed, Err(unanswered)) => {
                watch.end();
                let address = exchange.address;
                let Some(unsent) = unanswered.unsent else {
                    return Err(unanswered.source).context(ConnectionLostSnafu { address });
                };
                // The connection was closed while it was idle.
                let sender = self.connect(&lane, exchange).await?;
                finish(&lane, exchange, sender, unsent).await
            }
        }
    }

    /// Sends a request as [`Pool::exchange`] does, but over a new connection.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`Pool::exchange`].
    pub async fn exchange_fresh(
        &self,
        exchange: Exchange,
        request: Request<Bytes>,
    ) -> Result<Response<Bytes>, Error> {
        let lane = self.lane(exchange.address);
        let sender = self.connect(&lane, exchange).await?;
        finish(&lane, exchange, sender, request.map(Full::new)).await
    }

    async fn connect(&self, lane: &Arc<Lane>, exchange: Exchange) -> Result<Sender, Error> {
        let address = exchange.address;
        let limit = self.connections;
        let slot = lane
            .open(limit)
            .context(TooManyConnectionsSnafu { address, limit })?;
        let opening = open(self.source, address);
        let until = exchange.deadline.min(Instant::now() + CONNECT_TIMEOUT);
        let stream = timeout_at(until.into(), opening)
            .await
            .map_err(|_elapsed| ConnectTimeoutSnafu { address }.build())?
            .context(ConnectSnafu { address })?;
        stream.set_nodelay(true).context(ConnectSnafu { address })?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .context(NotSentSnafu { address })?;
        tokio::spawn(drive(connection, slot));
        Ok(sender)
    }

    fn lane(&self, address: SocketAddr) -> Arc<Lane> {
        if let Some(lane) = self.lanes.load().get(&address) {
            return Arc::clone(lane);
        }
        let added = Arc::new(Lane::new());
        self.lanes.rcu(|lanes| {
            let mut lanes = HashMap::clone(lanes);
            lanes.entry(address).or_insert_with(|| Arc::clone(&added));
            lanes
        });
        self.lanes.load().get(&address).map_or(added, Arc::clone)
    }
}

/// Opens a connection, from the address `source` if there is one.
async fn open(source: Option<IpAddr>, address: SocketAddr) -> io::Result<TcpStream> {
    let Some(source) = source.filter(|source| source.is_ipv4() == address.is_ipv4()) else {
        return TcpStream::connect(address).await;
    };
    let socket = match source {
        IpAddr::V4(_) => TcpSocket::new_v4()?,
        IpAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.bind(SocketAddr::new(source, 0))?;
    socket.connect(address).await
}

/// Runs a connection to its end, which frees its place.
async fn drive(connection: http1::Connection<TokioIo<TcpStream>, Full<Bytes>>, slot: Slot) {
    // The exchange in flight is told of a failure.
    drop(connection.await);
    drop(slot);
}

/// Sends a request over a new connection and returns its answer with the whole body.
async fn finish(
    lane: &Arc<Lane>,
    exchange: Exchange,
    sender: Sender,
    request: Request<Full<Bytes>>,
) -> Result<Response<Bytes>, Error> {
    let address = exchange.address;
    let watch = Watch::new(Arc::clone(lane), Instant::now());
    let (sender, sent) = attempt(exchange, sender, request).await?;
    let answer = match sent {
        Ok(answer) => receive(exchange, answer).await?,
        Err(Unanswered { unsent, source }) => {
            watch.end();
            return match unsent {
                Some(_unsent) => Err(source).context(NotSentSnafu { address }),
                None => Err(source).context(ConnectionLostSnafu { address }),
            };
        }
    };
    watch.end();
    lane.give_back(sender, Instant::now());
    Ok(answer)
}

/// Sends a request and waits for the head of its answer.
async fn attempt(
    exchange: Exchange,
    mut sender: Sender,
    request: Request<Full<Bytes>>,
) -> Result<(Sender, Result<Response<Incoming>, Unanswered>), Error> {
    let address = exchange.address;
    // A process that was paused meanwhile must not send what is given up.
    if exchange.deadline <= Instant::now() {
        return ConnectTimeoutSnafu { address }.fail();
    }
    let sending = sender.try_send_request(request);
    let sent = timeout_at(exchange.deadline.into(), sending)
        .await
        .map_err(|_elapsed| TimeoutSnafu { address }.build())?;
    let answer = sent.map_err(|mut error| Unanswered {
        unsent: error.take_message(),
        source: error.into_error(),
    });
    Ok((sender, answer))
}

/// Receives the whole body of an answer.
async fn receive(exchange: Exchange, answer: Response<Incoming>) -> Result<Response<Bytes>, Error> {
    let Exchange {
        address,
        deadline,
        max_body_bytes: limit,
    } = exchange;
    let (parts, body) = answer.into_parts();
    let has_length = [CONTENT_LENGTH, TRANSFER_ENCODING]
        .iter()
        .any(|name| parts.headers.contains_key(name));
    if !has_length && !body.is_end_stream() {
        return UnknownLengthSnafu { address }.fail();
    }
    let collected = timeout_at(deadline.into(), Limited::new(body, limit).collect()).await;
    let collected = collected.map_err(|_elapsed| TimeoutSnafu { address }.build())?;
    let body = match collected {
        Ok(body) => body.to_bytes(),
        Err(error) => {
            return match error.downcast::<hyper::Error>() {
                Ok(error) => Err(*error).context(ConnectionLostSnafu { address }),
                Err(_too_long) => TooLargeSnafu { address, limit }.fail(),
            };
        }
    };
    Ok(Response::from_parts(parts, body))
}
