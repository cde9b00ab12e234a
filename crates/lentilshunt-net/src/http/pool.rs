//! A pool of client connections.

use std::{
    collections::HashMap,
    io,
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::Instant,
};

use arc_swap::ArcSwap;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Request, Response, client::conn::http1};
use hyper_util::rt::TokioIo;
use snafu::ResultExt;
use tokio::{
    net::{TcpSocket, TcpStream},
    time::timeout_at,
};

use super::{
    Error, Exchange,
    error::{
        BrokenSnafu, ConnectSnafu, ConnectTimeoutSnafu, NotSentSnafu, TimeoutSnafu, TooLargeSnafu,
    },
    lane::{Lane, Sender},
};

/// Client connections to many servers, one request at a time on each.
#[derive(Debug, Default)]
pub struct Pool {
    source: Option<IpAddr>,
    lanes: ArcSwap<HashMap<SocketAddr, Arc<Lane>>>,
}

impl Pool {
    /// Creates a pool whose connections come from an address of this instance.
    #[must_use]
    pub fn from_source(source: IpAddr) -> Self {
        Self {
            source: Some(source),
            ..Self::default()
        }
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
        let mut sender = match lane.take(Instant::now()) {
            Some(sender) => sender,
            None => self.connect(exchange).await?,
        };
        let answer = within(exchange, send(&mut sender, exchange, request)).await?;
        lane.give_back(sender, Instant::now());
        Ok(answer)
    }

    async fn connect(&self, exchange: Exchange) -> Result<Sender, Error> {
        let address = exchange.address;
        let opening = open(self.source, address);
        let stream = timeout_at(exchange.deadline.into(), opening)
            .await
            .map_err(|_elapsed| ConnectTimeoutSnafu { address }.build())?
            .context(ConnectSnafu { address })?;
        stream.set_nodelay(true).context(ConnectSnafu { address })?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .context(NotSentSnafu { address })?;
        tokio::spawn(connection);
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

async fn send(
    sender: &mut Sender,
    exchange: Exchange,
    request: Request<Full<Bytes>>,
) -> Result<Response<Bytes>, Error> {
    let address = exchange.address;
    let answer = match sender.send_request(request).await {
        Ok(answer) => answer,
        Err(error) if error.is_canceled() => return Err(error).context(NotSentSnafu { address }),
        Err(error) => return Err(error).context(BrokenSnafu { address }),
    };
    let (parts, body) = answer.into_parts();
    let limit = exchange.limit;
    let body = match Limited::new(body, limit).collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) => {
            return match error.downcast::<hyper::Error>() {
                Ok(error) => Err(*error).context(BrokenSnafu { address }),
                Err(_too_long) => TooLargeSnafu { address, limit }.fail(),
            };
        }
    };
    Ok(Response::from_parts(parts, body))
}

async fn within<T>(
    exchange: Exchange,
    work: impl Future<Output = Result<T, Error>>,
) -> Result<T, Error> {
    let address = exchange.address;
    match timeout_at(exchange.deadline.into(), work).await {
        Ok(result) => result,
        Err(_elapsed) => TimeoutSnafu { address }.fail(),
    }
}
