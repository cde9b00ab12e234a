//! An HTTP server whose bodies pass piece by piece.

use std::{
    convert::Infallible,
    fmt::Debug,
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use hyper::{
    Request, Response,
    body::Incoming,
    header::{CONNECTION, HeaderValue},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use lentilshunt_net::{Pending, http::Stop};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::task::TaskTracker;

use super::{body::Body, pool::prepare};

/// Pause after the listener failed to accept, for example without free descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Answers the requests of a [`Server`].
pub trait Handler: Debug + Send + Sync {
    /// Answers one request.
    ///
    /// The future is dropped when the client closes its connection.
    fn handle(&self, request: Request<Incoming>) -> Pending<'_, Response<Body>>;
}

/// Address of the client, among the extensions of a request.
#[derive(Clone, Copy, Debug)]
pub struct ClientAddress(pub SocketAddr);

/// What a server allows its clients.
#[derive(Clone, Copy, Debug)]
pub struct HeaderLimits {
    /// Largest head of a request, in bytes; the library allows no less than 8 KiB.
    pub max_header_bytes: usize,
    /// Longest time for a head to arrive, also on an idle connection.
    pub header_timeout: Duration,
}

/// A server that answers requests by a [`Handler`] until it is stopped.
#[derive(Debug)]
pub struct Server {
    listener: TcpListener,
    handler: Arc<dyn Handler>,
    limits: HeaderLimits,
    in_flight: Arc<AtomicUsize>,
}

impl Server {
    /// Listens on an address.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket when the address cannot be listened on.
    pub async fn bind(
        address: SocketAddr,
        handler: Arc<dyn Handler>,
        limits: HeaderLimits,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        Ok(Self {
            listener,
            handler,
            limits,
            in_flight: Arc::default(),
        })
    }

    /// Returns the count of requests that have been read and not answered whole.
    #[must_use]
    pub fn in_flight(&self) -> Arc<AtomicUsize> {
        Arc::clone(&self.in_flight)
    }

    /// Returns the address that the server listens on.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Answers requests until it is closed and all requests in flight are answered.
    ///
    /// From `stop.leaving` on, each answer asks the client to close its
    /// connection. From `stop.closed` on, no connection is accepted and idle
    /// ones are closed.
    pub async fn run(self, stop: Stop) {
        let connections = TaskTracker::new();
        loop {
            let accepted = tokio::select! {
                accepted = self.listener.accept() => accepted,
                () = stop.closed.cancelled() => break,
            };
            match accepted {
                Ok((stream, address)) => {
                    let accepted = Accepted {
                        stream,
                        client: ClientAddress(address),
                        handler: Arc::clone(&self.handler),
                        limits: self.limits,
                        in_flight: Arc::clone(&self.in_flight),
                    };
                    connections.spawn(connection(accepted, stop.clone()));
                }
                Err(_exhausted) => tokio::time::sleep(ACCEPT_PAUSE).await,
            }
        }
        drop(self.listener);
        connections.close();
        connections.wait().await;
    }
}

/// Counts a request until it is dropped.
struct Busy(Arc<AtomicUsize>);

impl Busy {
    fn new(count: &Arc<AtomicUsize>) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(count))
    }
}

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A connection of a client, and what answers its requests.
struct Accepted {
    stream: TcpStream,
    client: ClientAddress,
    handler: Arc<dyn Handler>,
    limits: HeaderLimits,
    in_flight: Arc<AtomicUsize>,
}

async fn connection(accepted: Accepted, stop: Stop) {
    let Accepted {
        stream,
        client,
        handler,
        limits,
        in_flight,
    } = accepted;
    if prepare(&stream).is_err() {
        return;
    }
    let service = service_fn(|mut request: Request<Incoming>| {
        request.extensions_mut().insert(client);
        let handler = Arc::clone(&handler);
        let leaving = &stop.leaving;
        let in_flight = Busy::new(&in_flight);
        async move {
            let _busy = in_flight;
            let mut response = handler.handle(request).await;
            if leaving.is_cancelled() {
                let headers = response.headers_mut();
                headers.insert(CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, Infallible>(response)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .max_buf_size(limits.max_header_bytes)
        .header_read_timeout(limits.header_timeout)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    tokio::select! {
        // A client that closes early is not an error of the server.
        _ended = connection.as_mut() => {}
        () = stop.closed.cancelled() => {
            connection.as_mut().graceful_shutdown();
            drop(connection.await);
        }
    }
}
