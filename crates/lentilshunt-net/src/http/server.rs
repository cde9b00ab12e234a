//! An HTTP server with a graceful stop.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use hyper::{
    header::{CONNECTION, HeaderValue},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use super::{Handler, Shutdown, connections::IDLE_TIMEOUT};

/// Pause after a failed accept, for example when no file descriptor is free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Maximum time to receive a complete request header, also on an idle connection.
///
/// Clients drop idle connections earlier, so that none is closed while a request
/// is in transit.
const HEADER_TIMEOUT: Duration = Duration::from_secs(30);

/// Time for which idle connections are kept after the listener has closed.
///
/// Clients drop idle connections earlier, so that none is closed while a request
/// is in transit.
const LINGER_TIME: Duration = IDLE_TIMEOUT.saturating_add(Duration::from_secs(1));

/// A server that passes requests to a [`Handler`] until it is shut down.
#[derive(Debug)]
pub struct Server {
    listener: TcpListener,
    handler: Arc<dyn Handler>,
}

impl Server {
    /// Listens on an address.
    ///
    /// # Errors
    ///
    /// Returns an error when the address cannot be bound.
    pub async fn bind(address: SocketAddr, handler: Arc<dyn Handler>) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        Ok(Self { listener, handler })
    }

    /// Returns the address that the server listens on.
    ///
    /// # Errors
    ///
    /// Returns an error when the socket has no local address.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Serves requests until shutdown, and until all requests in flight have completed.
    ///
    /// After `shutdown.draining` is cancelled, each response carries `connection:
    /// close`. After `shutdown.closed` is cancelled, no connection is accepted, and
    /// a connection that stays idle is closed only after clients would have dropped
    /// it.
    pub async fn run(self, shutdown: Shutdown) {
        let connections = TaskTracker::new();
        loop {
            let accepted = tokio::select! {
                accepted = self.listener.accept() => accepted,
                () = shutdown.closed.cancelled() => break,
            };
            match accepted {
                Ok((stream, _peer)) => {
                    let handler = Arc::clone(&self.handler);
                    connections.spawn(serve_connection(stream, handler, shutdown.clone()));
                }
                Err(_exhausted) => tokio::time::sleep(ACCEPT_PAUSE).await,
            }
        }
        for stream in drain_backlog(self.listener) {
            let handler = Arc::clone(&self.handler);
            connections.spawn(serve_connection(stream, handler, shutdown.clone()));
        }
        connections.close();
        connections.wait().await;
    }
}

/// Closes a listener and returns the connections that the kernel had accepted,
/// since they may carry a request.
///
/// Accepts from the socket directly: the runtime notices a connection only when it
/// next polls for events.
fn drain_backlog(listener: TcpListener) -> Vec<TcpStream> {
    let Ok(listener) = listener.into_std() else {
        return Vec::new();
    };
    let accepted: Vec<_> = std::iter::from_fn(|| listener.accept().ok()).collect();
    drop(listener);
    accepted
        .into_iter()
        .filter_map(|(stream, _peer)| {
            stream.set_nonblocking(true).ok()?;
            TcpStream::from_std(stream).ok()
        })
        .collect()
}

async fn serve_connection(stream: TcpStream, handler: Arc<dyn Handler>, shutdown: Shutdown) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let service = service_fn(|request| {
        let handler = Arc::clone(&handler);
        let draining = &shutdown.draining;
        async move {
            let mut response = handler.handle(request).await;
            if draining.is_cancelled() {
                let headers = response.headers_mut();
                headers.insert(CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, std::convert::Infallible>(response)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    tokio::select! {
        // A client that closes its connection early is not an error of the server.
        _closed = connection.as_mut() => {}
        () = linger(&shutdown.closed) => {
            connection.as_mut().graceful_shutdown();
            drop(connection.await);
        }
    }
}

async fn linger(closed: &CancellationToken) {
    closed.cancelled().await;
    tokio::time::sleep(LINGER_TIME).await;
}
