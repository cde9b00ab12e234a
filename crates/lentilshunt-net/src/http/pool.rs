//! A pool of HTTP client connections.

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
    connections::{Connections, Permit, Sender},
    error::{
        ConnectSnafu, ConnectTimeoutSnafu, ConnectionLostSnafu, NotSentSnafu, TimeoutSnafu,
        TooLargeSnafu, TooManyConnectionsSnafu, UnknownLengthSnafu,
    },
    silence::Guard,
};

/// Maximum number of connections that a node opens to one server.
const MAX_CONNECTIONS: u32 = 110;
/// Maximum time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Client connections to many servers, one request at a time on each.
#[derive(Debug)]
pub struct Pool {
    local_address: Option<IpAddr>,
    max_connections: u32,
    servers: ArcSwap<HashMap<SocketAddr, Arc<Connections>>>,
}

impl Default for Pool {
    /// Creates a pool without a connection limit.
    fn default() -> Self {
        Self {
            local_address: None,
            max_connections: u32::MAX,
            servers: ArcSwap::default(),
        }
    }
}

/// Failure of a connection to send a request or to receive its response.
struct SendError {
    /// The request, if it was not sent.
    unsent: Option<Request<Full<Bytes>>>,
    /// Error of the connection.
    source: hyper::Error,
}

impl Pool {
    /// Creates a pool whose connections are bound to a local address.
    ///
    /// The number of open connections to one server is limited.
    #[must_use]
    pub fn bound_to(local_address: IpAddr) -> Self {
        Self {
            local_address: Some(local_address),
            max_connections: MAX_CONNECTIONS,
            ..Self::default()
        }
    }

    /// Limits the number of connections that are open to one server at a time.
    #[must_use]
    pub fn with_max_connections(mut self, max_connections: u32) -> Self {
        self.max_connections = max_connections;
        self
    }

    /// Sends a request and returns its response with the complete body.
    ///
    /// A truncated body is an error. Dropping the future closes the
    /// connection, which cancels the request at the server.
    ///
    /// # Errors
    ///
    /// Returns an error whose [`Error::verdict`] tells whether the request may
    /// have run on the server.
    pub async fn exchange(
        &self,
        exchange: Exchange,
        request: Request<Bytes>,
    ) -> Result<Response<Bytes>, Error> {
        let connections = self.connections(exchange.address);
        let request = request.map(Full::new);
        let Some(sender) = connections.pop_idle(Instant::now()) else {
            let sender = self.connect(&connections, exchange).await?;
            return exchange_over(&connections, exchange, sender, request).await;
        };
        let guard = Guard::new(Arc::clone(&connections), Instant::now());
        match send(exchange, sender, request).await? {
            (sender, Ok(response)) => {
                let response = receive_body(exchange, response).await?;
                guard.disarm();
                connections.push_idle(sender, Instant::now());
                Ok(response)
            }
            (_closed, Err(error)) => {
                guard.disarm();
                let address = exchange.address;
                let Some(unsent) = error.unsent else {
                    return Err(error.source).context(ConnectionLostSnafu { address });
                };
                // The server closed the connection while it was idle.
                let sender = self.connect(&connections, exchange).await?;
                exchange_over(&connections, exchange, sender, unsent).await
            }
        }
    }

    /// Does the same as [`Pool::exchange`] over a new connection.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`Pool::exchange`].
    pub async fn exchange_fresh(
        &self,
        exchange: Exchange,
        request: Request<Bytes>,
    ) -> Result<Response<Bytes>, Error> {
        let connections = self.connections(exchange.address);
        let sender = self.connect(&connections, exchange).await?;
        exchange_over(&connections, exchange, sender, request.map(Full::new)).await
    }

    async fn connect(
        &self,
        connections: &Arc<Connections>,
        exchange: Exchange,
    ) -> Result<Sender, Error> {
        let address = exchange.address;
        let limit = self.max_connections;
        let permit = connections
            .try_acquire(limit)
            .context(TooManyConnectionsSnafu { address, limit })?;
        let opening = open(self.local_address, address);
        let until = exchange.deadline.min(Instant::now() + CONNECT_TIMEOUT);
        let stream = timeout_at(until.into(), opening)
            .await
            .map_err(|_elapsed| ConnectTimeoutSnafu { address }.build())?
            .context(ConnectSnafu { address })?;
        stream.set_nodelay(true).context(ConnectSnafu { address })?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .context(NotSentSnafu { address })?;
        tokio::spawn(drive(connection, permit));
        Ok(sender)
    }

    fn connections(&self, address: SocketAddr) -> Arc<Connections> {
        if let Some(connections) = self.servers.load().get(&address) {
            return Arc::clone(connections);
        }
        let added = Arc::new(Connections::new());
        self.servers.rcu(|servers| {
            let mut servers = HashMap::clone(servers);
            servers.entry(address).or_insert_with(|| Arc::clone(&added));
            servers
        });
        self.servers.load().get(&address).map_or(added, Arc::clone)
    }
}

/// Opens a connection, bound to `local_address` if that is of the same IP version.
async fn open(local_address: Option<IpAddr>, address: SocketAddr) -> io::Result<TcpStream> {
    let Some(local_ip) = local_address.filter(|local| local.is_ipv4() == address.is_ipv4()) else {
        return TcpStream::connect(address).await;
    };
    let socket = match local_ip {
        IpAddr::V4(_) => TcpSocket::new_v4()?,
        IpAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.bind(SocketAddr::new(local_ip, 0))?;
    socket.connect(address).await
}

/// Runs a connection until it closes, then releases its permit.
async fn drive(connection: http1::Connection<TokioIo<TcpStream>, Full<Bytes>>, permit: Permit) {
    // The exchange in flight receives the error of a failed connection.
    drop(connection.await);
    drop(permit);
}

/// Sends a request over a new connection and returns its response with the complete body.
async fn exchange_over(
    connections: &Arc<Connections>,
    exchange: Exchange,
    sender: Sender,
    request: Request<Full<Bytes>>,
) -> Result<Response<Bytes>, Error> {
    let address = exchange.address;
    let guard = Guard::new(Arc::clone(connections), Instant::now());
    let (sender, sent) = send(exchange, sender, request).await?;
    let response = match sent {
        Ok(response) => receive_body(exchange, response).await?,
        Err(SendError { unsent, source }) => {
            guard.disarm();
            return match unsent {
                Some(_unsent) => Err(source).context(NotSentSnafu { address }),
                None => Err(source).context(ConnectionLostSnafu { address }),
            };
        }
    };
    guard.disarm();
    connections.push_idle(sender, Instant::now());
    Ok(response)
}

/// Sends a request and waits for the header of its response.
async fn send(
    exchange: Exchange,
    mut sender: Sender,
    request: Request<Full<Bytes>>,
) -> Result<(Sender, Result<Response<Incoming>, SendError>), Error> {
    let address = exchange.address;
    // A process that was suspended past the deadline must not send the abandoned request.
    if exchange.deadline <= Instant::now() {
        return ConnectTimeoutSnafu { address }.fail();
    }
    let sending = sender.try_send_request(request);
    let sent = timeout_at(exchange.deadline.into(), sending)
        .await
        .map_err(|_elapsed| TimeoutSnafu { address }.build())?;
    let response = sent.map_err(|mut error| SendError {
        unsent: error.take_message(),
        source: error.into_error(),
    });
    Ok((sender, response))
}

/// Receives the complete body of a response.
async fn receive_body(
    exchange: Exchange,
    response: Response<Incoming>,
) -> Result<Response<Bytes>, Error> {
    let Exchange {
        address,
        deadline,
        max_body_bytes: limit,
    } = exchange;
    let (parts, body) = response.into_parts();
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
                Err(_too_large) => TooLargeSnafu { address, limit }.fail(),
            };
        }
    };
    Ok(Response::from_parts(parts, body))
}
