//! Reports requests that crashed the upstream to other nodes.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use hyper::{Method, Request, Uri};
use lentilshunt_core::quarantine::{Suspicion, encode};
use slog::warn;
use tokio::{net::TcpStream, time::timeout_at};

use super::{Call, Shared, body::full, inbound::SUSPICIONS_PATH, pool::Pool};

/// Time limit for connecting to an upstream that may have crashed.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Time limit for notifying one node.
const NOTIFY_TIMEOUT: Duration = Duration::from_secs(1);

/// Checks whether the upstream has crashed, and reports suspected requests to other nodes.
#[derive(Debug)]
pub struct Notifier {
    shared: Arc<Shared>,
    pool: Arc<Pool>,
}

impl Notifier {
    /// Creates a notifier that sends to other nodes through `pool`.
    #[must_use]
    pub fn new(shared: Arc<Shared>, pool: Arc<Pool>) -> Self {
        Self { shared, pool }
    }

    /// Returns whether the upstream accepts no connection within 250 ms.
    ///
    /// A connection may also break while the upstream is alive, which is no
    /// evidence against the request.
    pub async fn has_crashed(&self, upstream: SocketAddr) -> bool {
        let deadline = Instant::now() + CONNECT_TIMEOUT;
        let connected = timeout_at(deadline.into(), TcpStream::connect(upstream)).await;
        !matches!(connected, Ok(Ok(_)))
    }

    /// Reports a suspicion to every other node with a ready endpoint, in the background.
    pub fn notify(&self, call: &Call, suspicion: &Suspicion) {
        metrics::counter!("lentilshunt_suspicions_total").increment(1);
        warn!(self.shared.log, "upstream crashed while it ran a request";
            "request" => &call.request_id, "path" => &call.path,
            "losses" => u32::from(suspicion.repeat) + 1);
        let body = Bytes::from(encode(std::slice::from_ref(suspicion)));
        let directory = self.shared.directory.load_full();
        let local = &self.shared.locality.instance;
        for endpoint in directory.endpoints() {
            if endpoint.instance != *local {
                let pool = Arc::clone(&self.pool);
                tokio::spawn(notify(pool, endpoint.address, body.clone()));
            }
        }
    }
}

async fn notify(pool: Arc<Pool>, address: SocketAddr, body: Bytes) {
    let mut request = Request::new(full(body));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = Uri::from_static(SUSPICIONS_PATH);
    let deadline = Instant::now() + NOTIFY_TIMEOUT;
    // A node that misses the report keeps accepting the request until the next loss is reported.
    drop(timeout_at(deadline.into(), pool.send(address, request)).await);
}
