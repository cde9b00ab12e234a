//! Tells other nodes of requests that crash upstreams.

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

use super::{Call, Shared, body::full, inbound::SUSPICIONS, pool::Pool};

/// Longest wait for a connection to an upstream that may have crashed.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Longest time for telling one node.
const TELL_TIMEOUT: Duration = Duration::from_secs(1);

/// Finds out whether a request crashed the upstream, and tells other nodes.
#[derive(Debug)]
pub struct Notifier {
    shared: Arc<Shared>,
    pool: Arc<Pool>,
}

impl Notifier {
    /// Creates a herald that reaches other nodes through `pool`.
    #[must_use]
    pub fn new(shared: Arc<Shared>, pool: Arc<Pool>) -> Self {
        Self { shared, pool }
    }

    /// Returns whether nothing listens at the address of the upstream.
    ///
    /// A connection may break although the upstream lives, which says nothing
    /// of the request.
    pub async fn has_crashed(&self, upstream: SocketAddr) -> bool {
        let until = Instant::now() + CONNECT_TIMEOUT;
        let connected = timeout_at(until.into(), TcpStream::connect(upstream)).await;
        !matches!(connected, Ok(Ok(_)))
    }

    /// Tells every known node of a suspicion, without waiting for them.
    pub fn tell(&self, call: &Call, suspicion: &Suspicion) {
        metrics::counter!("lentilshunt_suspicions_total").increment(1);
        warn!(self.shared.log, "upstream crashed while it ran a request";
            "request" => &call.request_id, "path" => &call.path,
            "losses" => u32::from(suspicion.repeat) + 1);
        let body = Bytes::from(encode(std::slice::from_ref(suspicion)));
        let directory = self.shared.directory.load_full();
        let own = &self.shared.place.instance;
        for endpoint in directory.endpoints() {
            if endpoint.instance != *own {
                let pool = Arc::clone(&self.pool);
                tokio::spawn(tell(pool, endpoint.address, body.clone()));
            }
        }
    }
}

async fn tell(pool: Arc<Pool>, address: SocketAddr, body: Bytes) {
    let mut request = Request::new(full(body));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = Uri::from_static(SUSPICIONS);
    let until = Instant::now() + TELL_TIMEOUT;
    // A node that is not told refuses nothing; the next loss tells it again.
    drop(timeout_at(until.into(), pool.send(address, request)).await);
}
