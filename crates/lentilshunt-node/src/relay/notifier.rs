//! Reports requests that crashed the upstream to other nodes.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use hyper::{Method, Request, Uri};
use lentilshunt_core::{
    id::RequestId,
    quarantine::{Fingerprint, Suspects, Suspicion, decode, encode},
};
use slog::{info, warn};
use tokio::{net::TcpStream, time::timeout_at};

use super::{
    Call, Shared,
    body::full,
    inbound::{MAX_SUSPICIONS_BYTES, SUSPICIONS_PATH},
    pool::Pool,
};

/// Time limit for connecting to an upstream that may have crashed.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Time limit for notifying one node.
const NOTIFY_TIMEOUT: Duration = Duration::from_secs(1);

/// Checks whether the upstream has crashed, and reports suspected requests to other nodes.
#[derive(Debug)]
pub struct Notifier {
    shared: Arc<Shared>,
    suspects: Arc<Suspects>,
    upstream: SocketAddr,
    pool: Arc<Pool>,
}

/// What is reported of a request whose connection to the upstream was lost.
#[derive(Clone, Debug)]
pub(super) struct LostRequest {
    id: RequestId,
    path: String,
    pub(super) fingerprint: Fingerprint,
}

impl From<&Call> for LostRequest {
    fn from(call: &Call) -> Self {
        Self {
            id: call.request_id.clone(),
            path: call.path.clone(),
            fingerprint: call.fingerprint,
        }
    }
}

impl Notifier {
    /// Creates a notifier that sends to other nodes through `pool`.
    #[must_use]
    pub fn new(
        shared: Arc<Shared>,
        suspects: Arc<Suspects>,
        upstream: SocketAddr,
        pool: Arc<Pool>,
    ) -> Self {
        Self {
            shared,
            suspects,
            upstream,
            pool,
        }
    }

    /// Records the loss of a request and reports it to other nodes if the upstream has crashed.
    ///
    /// Returns whether it has.
    pub(super) async fn record_loss(self: Arc<Self>, lost: LostRequest) -> bool {
        if !self.has_crashed().await {
            return false;
        }
        let instance = &self.shared.locality.instance;
        let now = Instant::now();
        if let Some(suspicion) = self.suspects.record_loss(lost.fingerprint, instance, now) {
            metrics::counter!("lentilshunt_suspicions_total").increment(1);
            warn!(self.shared.log, "upstream crashed while it ran a request";
                "request" => lost.id, "path" => lost.path,
                "losses" => u32::from(suspicion.repeat) + 1);
            self.shared.suspicions_changed.notify_one();
            self.notify(&[suspicion]);
        }
        true
    }

    /// Returns whether the upstream accepts no connection within 250 ms.
    ///
    /// A connection may also break while the upstream is alive, which is no
    /// evidence against the request.
    async fn has_crashed(&self) -> bool {
        let deadline = Instant::now() + CONNECT_TIMEOUT;
        let connected = timeout_at(deadline.into(), TcpStream::connect(self.upstream)).await;
        !matches!(connected, Ok(Ok(_)))
    }

    /// Extends the quarantine of a request that has come again, here and on other nodes.
    pub(super) fn extend_quarantine(self: &Arc<Self>, request: Fingerprint) {
        let suspicions = self.suspects.extend_quarantine(request, Instant::now());
        if !suspicions.is_empty() {
            self.notify(&suspicions);
        }
    }

    /// Reports suspicions to every other node with a ready endpoint, in the background.
    fn notify(self: &Arc<Self>, suspicions: &[Suspicion]) {
        let body = Bytes::from(encode(suspicions));
        let directory = self.shared.directory.load_full();
        let local = &self.shared.locality.instance;
        for endpoint in directory.endpoints() {
            if endpoint.instance != *local {
                let notifier = Arc::clone(self);
                tokio::spawn(notifier.notify_node(endpoint.address, body.clone()));
            }
        }
    }

    /// Reports suspicions to a node, and merges what it knows of the same requests.
    ///
    /// This node may have restarted since an earlier loss.
    async fn notify_node(self: Arc<Self>, address: SocketAddr, body: Bytes) {
        let mut request = Request::new(full(body));
        *request.method_mut() = Method::POST;
        *request.uri_mut() = Uri::from_static(SUSPICIONS_PATH);
        let deadline = Instant::now() + NOTIFY_TIMEOUT;
        let response = self
            .pool
            .fetch(address, request, deadline, MAX_SUSPICIONS_BYTES);
        match response.await {
            Ok(response) => {
                let now = Instant::now();
                for suspicion in decode(response.body()) {
                    self.suspects.merge(&suspicion, now);
                }
                self.shared.suspicions_changed.notify_one();
            }
            // It learns of the request from the store once it is quarantined, or at the next loss.
            Err(error) => info!(self.shared.log, "node not told of a suspected request";
                "node" => %address, "error" => %error),
        }
    }
}
