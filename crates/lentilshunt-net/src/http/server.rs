//! An HTTP server with a graceful stop.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use hyper::{
    header::{CONNECTION, HeaderValue},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    net::{TcpListener, TcpStream},
    time::timeout,
};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use super::Handler;

/// Pause after the listener failed to accept, for example without free descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Longest wait for the whole head of a request, also on an idle connection.
///
/// Clients give up idle connections earlier, so that none is closed while a
/// request is on its way.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);

/// Time after the notice of a stop at which idle connections are closed.
///
/// It is longer than clients of this crate keep an idle connection, so that
/// none is closed while a request is on its way.
const LINGER: Duration = Duration::from_secs(4);

/// A server that answers requests by a [`Handler`] until it is stopped.
#[derive(Debug)]
pub struct Server {
    listener: TcpListener,
    handler: Arc<dyn Handler>,
    notice: Option<CancellationToken>,
}

impl Server {
    /// Listens on an address.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket when the address cannot be listened on.
    pub async fn bind(address: SocketAddr, handler: Arc<dyn Handler>) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        Ok(Self {
            listener,
            handler,
            notice: None,
        })
    }

    /// Tells clients from the cancellation of `notice` on that a stop follows.
    ///
    /// Each answer then closes its connection, and idle connections are kept
    /// for as long as a client may still use them. Without a notice, idle
    /// connections are closed at the stop.
    #[must_use]
    pub fn with_notice(mut self, notice: CancellationToken) -> Self {
        self.notice = Some(notice);
        self
    }

    /// Returns the address that the server listens on.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Answers requests until `stop` is cancelled and all requests in flight are answered.
    pub async fn run(self, stop: CancellationToken) {
        let connections = TaskTracker::new();
        let ending = Ending {
            stop: stop.clone(),
            notice: self.notice,
        };
        loop {
            let accepted = tokio::select! {
                accepted = self.listener.accept() => accepted,
                () = stop.cancelled() => break,
            };
            match accepted {
                Ok((stream, _peer)) => {
                    let handler = Arc::clone(&self.handler);
                    connections.spawn(connection(stream, handler, ending.clone()));
                }
                Err(_exhausted) => tokio::time::sleep(ACCEPT_PAUSE).await,
            }
        }
        // Connections that the system has accepted already may carry a request.
        while let Ok(Ok((stream, _peer))) = timeout(Duration::ZERO, self.listener.accept()).await {
            let handler = Arc::clone(&self.handler);
            connections.spawn(connection(stream, handler, ending.clone()));
        }
        drop(self.listener);
        connections.close();
        connections.wait().await;
    }
}

/// How the connections of a server end.
#[derive(Clone, Debug)]
struct Ending {
    stop: CancellationToken,
    notice: Option<CancellationToken>,
}

impl Ending {
    /// Returns whether clients are to use other connections.
    fn is_noticed(&self) -> bool {
        let notice = self.notice.as_ref();
        notice.is_some_and(CancellationToken::is_cancelled)
    }

    /// Waits until idle connections are to be closed.
    async fn idle_closed(&self) {
        if let Some(notice) = &self.notice {
            notice.cancelled().await;
            tokio::time::sleep(LINGER).await;
        }
        self.stop.cancelled().await;
    }
}

async fn connection(stream: TcpStream, handler: Arc<dyn Handler>, ending: Ending) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let service = service_fn(|request| {
        let handler = Arc::clone(&handler);
        let ending = &ending;
        async move {
            let mut response = handler.handle(request).await;
            if ending.is_noticed() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
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
        () = ending.idle_closed() => {
            connection.as_mut().graceful_shutdown();
            drop(connection.await);
        }
    }
}
