//! HTTP server with streaming bodies.

use std::{
    convert::Infallible,
    fmt::Debug,
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use hyper::{
    Request, Response, StatusCode,
    body::Incoming,
    header::{CONNECTION, HeaderValue},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use lentilshunt_net::{BoxFuture, http::Shutdown};
use tokio::{
    io::{AsyncRead, AsyncWrite},
    net::{TcpListener, TcpStream},
    task::yield_now,
};
use tokio_util::task::TaskTracker;

use super::{
    ahead::{Queue, Reader},
    body::{Body, status_response},
    caught::Caught,
    pool::configure_socket,
    yielding::Yielding,
};

/// Delay after a failed accept, for example without free file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Time for which a connection without any request stays open after the server is closed.
///
/// Its client has opened it for a request that is on its way.
const FIRST_REQUEST_TIME: Duration = Duration::from_millis(200);

/// Handles the requests of a [`Server`].
pub trait Handler: Debug + Send + Sync {
    /// Handles one request.
    ///
    /// The future is dropped when the client closes its connection.
    fn handle(&self, request: Request<Incoming>) -> BoxFuture<'_, Response<Body>>;

    /// Returns whether requests may start before earlier ones of their connection are answered.
    fn starts_early(&self) -> bool {
        false
    }

    /// Handles a request without a body before its turn, or returns `None` if it must wait for it.
    ///
    /// The client may send a request again whose turn does not come.
    fn handle_early(
        self: Arc<Self>,
        _request: Request<()>,
    ) -> Option<BoxFuture<'static, Response<Body>>> {
        None
    }
}

/// Address of the client, stored in the extensions of a request.
#[derive(Clone, Copy, Debug)]
pub struct ClientAddress(pub SocketAddr);

/// Limits for request headers.
#[derive(Clone, Copy, Debug)]
pub struct HeaderLimits {
    /// Maximum size of the request headers, in bytes; hyper requires at least 8 KiB.
    pub max_header_bytes: usize,
    /// Time limit for the headers to arrive; it also ends idle connections.
    pub header_timeout: Duration,
}

/// An HTTP/1 server that passes requests to a [`Handler`].
#[derive(Debug)]
pub struct Server {
    listener: TcpListener,
    handler: Arc<dyn Handler>,
    limits: HeaderLimits,
    in_flight: Arc<AtomicUsize>,
    received: Arc<AtomicUsize>,
    /// Requests that have started before their turn.
    early: Arc<AtomicUsize>,
}

impl Server {
    /// Binds a server to an address.
    ///
    /// # Errors
    ///
    /// Returns the socket error if the address cannot be bound.
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
            received: Arc::default(),
            early: Arc::default(),
        })
    }

    /// Returns the counter of requests whose response has not begun.
    #[must_use]
    pub fn in_flight(&self) -> Arc<AtomicUsize> {
        Arc::clone(&self.in_flight)
    }

    /// Returns the counter of requests received so far.
    #[must_use]
    pub fn received(&self) -> Arc<AtomicUsize> {
        Arc::clone(&self.received)
    }

    /// Returns the address that the server listens on.
    ///
    /// # Errors
    ///
    /// Returns the socket error.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Serves requests until the server is closed and no request is in flight.
    ///
    /// Once `shutdown.draining` is cancelled, each response asks the client to close its
    /// connection. Once `shutdown.closed` is cancelled, no connection is accepted and
    /// idle connections are closed.
    pub async fn run(self, shutdown: Shutdown) {
        let connections = TaskTracker::new();
        let serve = |(stream, address)| {
            let accepted = Accepted {
                stream,
                client: ClientAddress(address),
                handler: Arc::clone(&self.handler),
                limits: self.limits,
                in_flight: Arc::clone(&self.in_flight),
                received: Arc::clone(&self.received),
                early: Arc::clone(&self.early),
            };
            connections.spawn(serve_connection(accepted, shutdown.clone()));
        };
        loop {
            let accepted = tokio::select! {
                accepted = self.listener.accept() => accepted,
                () = shutdown.closed.cancelled() => break,
            };
            match accepted {
                Ok(accepted) => serve(accepted),
                Err(_exhausted) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
            }
        }
        drain_backlog(self.listener).into_iter().for_each(serve);
        connections.close();
        connections.wait().await;
    }
}

/// Closes a listener and returns the connections that it has not accepted.
///
/// Closing it resets them, although their clients may have sent a request already. Accepts from the
/// socket directly, because the runtime notices a connection only when it next polls for events.
fn drain_backlog(listener: TcpListener) -> Vec<(TcpStream, SocketAddr)> {
    let Ok(listener) = listener.into_std() else {
        return Vec::new();
    };
    let mut accepted = Vec::new();
    loop {
        match listener.accept() {
            Ok((stream, address)) => {
                let stream = stream
                    .set_nonblocking(true)
                    .and_then(|()| TcpStream::from_std(stream));
                accepted.extend(stream.ok().map(|stream| (stream, address)));
            }
            // The client has left before the connection was accepted.
            Err(error) if error.kind() == io::ErrorKind::ConnectionAborted => {}
            Err(_empty) => return accepted,
        }
    }
}

/// Counts a request as in flight until it is dropped.
struct InFlightGuard(Arc<AtomicUsize>);

impl InFlightGuard {
    fn new(count: &Arc<AtomicUsize>) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(count))
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// An accepted connection and the handler of its requests.
struct Accepted {
    stream: TcpStream,
    client: ClientAddress,
    handler: Arc<dyn Handler>,
    limits: HeaderLimits,
    in_flight: Arc<AtomicUsize>,
    received: Arc<AtomicUsize>,
    early: Arc<AtomicUsize>,
}

async fn serve_connection(accepted: Accepted, shutdown: Shutdown) {
    let Accepted {
        stream,
        client,
        handler,
        limits,
        in_flight,
        received,
        early,
    } = accepted;
    if configure_socket(&stream).is_err() {
        return;
    }
    let exchange = Exchange {
        client,
        handler,
        in_flight,
        received,
        queue: None,
    };
    if !exchange.handler.starts_early() {
        return serve_stream(Yielding::new(stream), exchange, limits, shutdown).await;
    }
    let handler = Arc::clone(&exchange.handler);
    let queue = Arc::new(Queue::new(
        handler,
        client,
        shutdown.draining.clone(),
        early,
    ));
    let (reader, stream) = Reader::split(stream, limits.max_header_bytes, Arc::clone(&queue));
    let exchange = Exchange {
        queue: Some(queue),
        ..exchange
    };
    tokio::select! {
        biased;
        () = serve_stream(stream, exchange, limits, shutdown) => {}
        () = reader.run() => {}
    }
}

/// What the requests of one connection have in common.
struct Exchange {
    client: ClientAddress,
    handler: Arc<dyn Handler>,
    in_flight: Arc<AtomicUsize>,
    received: Arc<AtomicUsize>,
    /// Requests that were read ahead, if any may start early.
    queue: Option<Arc<Queue>>,
}

impl Exchange {
    /// Returns whether a request has started before its turn, whose response is still to come.
    fn has_early(&self) -> bool {
        self.queue.as_ref().is_some_and(|queue| queue.has_early())
    }

    /// Handles a request, or waits for the response if it was started before its turn.
    async fn respond(&self, mut request: Request<Incoming>) -> Response<Body> {
        let early = self.queue.as_ref().and_then(|queue| queue.take(&request));
        request.extensions_mut().insert(self.client);
        let response = if let Some(early) = early {
            early.response().await
        } else {
            // Lets hyper notice a client that has left before its request arrived, as after a lost
            // packet; it then drops this future.
            yield_now().await;
            Caught::new(self.handler.handle(request)).await
        };
        // A handler that has panicked may have sent the request.
        let response = response.unwrap_or_else(|| {
            metrics::counter!("lentilshunt_handler_panics_total").increment(1);
            status_response(StatusCode::BAD_GATEWAY)
        });
        if let Some(queue) = &self.queue {
            queue.record_answer();
        }
        response
    }
}

async fn serve_stream<S: AsyncRead + AsyncWrite + Unpin>(
    stream: S,
    exchange: Exchange,
    limits: HeaderLimits,
    shutdown: Shutdown,
) {
    let has_request = AtomicBool::new(false);
    let exchange = &exchange;
    let service = service_fn(|request: Request<Incoming>| {
        has_request.store(true, Ordering::Relaxed);
        let draining = &shutdown.draining;
        let guard = InFlightGuard::new(&exchange.in_flight);
        exchange.received.fetch_add(1, Ordering::Relaxed);
        async move {
            let _guard = guard;
            let mut response = exchange.respond(request).await;
            if draining.is_cancelled() && !exchange.has_early() {
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
    let closing = async {
        shutdown.closed.cancelled().await;
        // Lets the runtime notice what has arrived, and the connection read it.
        yield_now().await;
        if !has_request.load(Ordering::Relaxed) {
            tokio::time::sleep(FIRST_REQUEST_TIME).await;
        }
    };
    tokio::select! {
        // A request that has arrived is read before the connection closes.
        biased;
        // A client that closes early is not an error of the server.
        _ended = connection.as_mut() => {}
        () = closing => {
            // The response to the last request that has started early closes the connection.
            if !exchange.has_early() {
                connection.as_mut().graceful_shutdown();
            }
            drop(connection.await);
        }
    }
}
