//! HTTP server with a limited number of connections.

use std::{convert::Infallible, io, net::SocketAddr, sync::Arc, time::Duration};

use hyper::{server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use lentilshunt_net::http::Handler;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{OwnedSemaphorePermit, Semaphore},
};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

/// Pause after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// HTTP server that immediately closes connections beyond its limit.
#[derive(Debug)]
pub(super) struct Server {
    listener: TcpListener,
    handler: Arc<dyn Handler>,
    permits: Arc<Semaphore>,
}

impl Server {
    /// Binds the listener.
    pub(super) async fn bind(
        address: SocketAddr,
        handler: Arc<dyn Handler>,
        max_connections: usize,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        Ok(Self {
            listener,
            handler,
            permits: Arc::new(Semaphore::new(max_connections)),
        })
    }

    /// Serves requests until `stop` is cancelled and all requests in flight have ended.
    pub(super) async fn run(self, stop: CancellationToken) {
        let connections = TaskTracker::new();
        loop {
            let accepted = tokio::select! {
                accepted = self.listener.accept() => accepted,
                () = stop.cancelled() => break,
            };
            let Ok((stream, _peer)) = accepted else {
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            if let Ok(permit) = Arc::clone(&self.permits).try_acquire_owned() {
                let handler = Arc::clone(&self.handler);
                connections.spawn(serve(stream, handler, permit, stop.clone()));
            }
        }
        drop(self.listener);
        connections.close();
        connections.wait().await;
    }
}

async fn serve(
    stream: TcpStream,
    handler: Arc<dyn Handler>,
    permit: OwnedSemaphorePermit,
    stop: CancellationToken,
) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let service = service_fn(|request| {
        let handler = Arc::clone(&handler);
        async move { Ok::<_, Infallible>(handler.handle(request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    tokio::select! {
        // A connection closed early by the client is not a server error.
        _ended = connection.as_mut() => {}
        () = stop.cancelled() => {
            connection.as_mut().graceful_shutdown();
            drop(connection.await);
        }
    }
    drop(permit);
}
