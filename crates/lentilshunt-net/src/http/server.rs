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

use super::{Handler, Shutdown, lane::IDLE_TIME};

/// Pause after the listener failed to accept, for example without free descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Longest wait for the whole head of a request, also on an idle connection.
///
/// Clients give up idle connections earlier, so that none is closed while a
/// request is on its way.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);

/// Time after the listener closed for which idle connections are kept.
///
/// Clients give up idle connections earlier, so that none is closed while a
/// request is on its way.
const LINGER: Duration = IDLE_TIME.saturating_add(Duration::from_secs(1));

/// A server that answers requests by a [`Handler`] until it is stopped.
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
    /// Returns the error of the socket when the address cannot be listened on.
    pub async fn bind(address: SocketAddr, handler: Arc<dyn Handler>) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        Ok(Self { listener, handler })
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
    /// From `stop.draining` on, each answer asks the client to close its
    /// connection. From `stop.closed` on, no connection is accepted, and a
    /// connection that stays idle is closed later than clients give it up.
    pub async fn run(self, stop: Shutdown) {
        let connections = TaskTracker::new();
        loop {
            let accepted = tokio::select! {
                accepted = self.listener.accept() => accepted,
                () = stop.closed.cancelled() => break,
            };
            match accepted {
                Ok((stream, _peer)) => {
                    let handler = Arc::clone(&self.handler);
                    connections.spawn(connection(stream, handler, stop.clone()));
                }
                Err(_exhausted) => tokio::time::sleep(ACCEPT_PAUSE).await,
            }
        }
        for stream in take_accepted(self.listener) {
            let handler = Arc::clone(&self.handler);
            connections.spawn(connection(stream, handler, stop.clone()));
        }
        connections.close();
        connections.wait().await;
    }
}

/// Closes a listener and returns the connections that the system had accepted,
/// since they may carry a request.
///
/// The system is asked directly: the runtime learns of a connection only when it
/// next polls for events.
fn take_accepted(listener: TcpListener) -> Vec<TcpStream> {
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

async fn connection(stream: TcpStream, handler: Arc<dyn Handler>, stop: Shutdown) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let service = service_fn(|request| {
        let handler = Arc::clone(&handler);
        let leaving = &stop.draining;
        async move {
            let mut response = handler.handle(request).await;
            if leaving.is_cancelled() {
                let headers = response.headers_mut();
                headers.insert(CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, std::convert::Infallible>(response)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    tokio::select! {
        // A client that closes early is not an error of the server.
        _ended = connection.as_mut() => {}
        () = lingered(&stop.closed) => {
            connection.as_mut().graceful_shutdown();
            drop(connection.await);
        }
    }
}

async fn lingered(closed: &CancellationToken) {
    closed.cancelled().await;
    tokio::time::sleep(LINGER).await;
}
