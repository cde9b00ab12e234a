//! Reports suspected requests to other nodes.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use hyper::{Method, Request, Uri};
use lentilshunt_core::quarantine::{Suspicion, encode};
use lentilshunt_net::http::Exchange;
use tokio::{task::JoinSet, time::timeout};

use crate::context::Context;

/// Path of the requests that report suspicions.
pub(super) const SUSPICIONS_PATH: &str = "/.lentilshunt/suspicions";
/// Header with the fingerprint of a call; used between nodes only.
pub(super) const FINGERPRINT_HEADER: &str = "lentilshunt-fingerprint";
/// Maximum time that a call waits for other nodes to receive a suspicion.
const MAX_DELIVERY_WAIT: Duration = Duration::from_millis(100);
/// Time limit for notifying one node.
const NOTIFY_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum size of the response to a notification, in bytes.
const MAX_RESPONSE_BYTES: usize = 1024;

/// Reports suspicions to all other nodes in the route table.
#[derive(Debug)]
pub struct Notifier {
    context: Arc<Context>,
}

impl Notifier {
    /// Creates a notifier for the nodes in the route table of `context`.
    #[must_use]
    pub fn new(context: Arc<Context>) -> Self {
        Self { context }
    }

    /// Notifies every other node in the route table and waits a short time for the responses.
    ///
    /// Notifications without a response by then continue in the background.
    pub async fn notify(&self, suspicions: &[Suspicion]) {
        let body = Bytes::from(encode(suspicions));
        let mut tasks = JoinSet::new();
        for address in self.addresses() {
            let context = Arc::clone(&self.context);
            tasks.spawn(notify(context, address, body.clone()));
        }
        let delivered = async { while tasks.join_next().await.is_some() {} };
        if timeout(MAX_DELIVERY_WAIT, delivered).await.is_err() {
            tasks.detach_all();
        }
    }

    /// Returns the address of each other node with an endpoint.
    fn addresses(&self) -> BTreeSet<SocketAddr> {
        let local = &self.context.locality.instance;
        let routes = self.context.route_table.load();
        routes
            .routes()
            .flat_map(|(_, route)| route.endpoints())
            .filter(|endpoint| endpoint.instance != *local)
            .map(|endpoint| endpoint.address)
            .collect()
    }
}

async fn notify(context: Arc<Context>, address: SocketAddr, body: Bytes) {
    let mut request = Request::new(body);
    *request.method_mut() = Method::POST;
    *request.uri_mut() = Uri::from_static(SUSPICIONS_PATH);
    let exchange = Exchange {
        address,
        deadline: Instant::now() + NOTIFY_TIMEOUT,
        max_body_bytes: MAX_RESPONSE_BYTES,
    };
    // A node that misses the report keeps accepting the request until the next loss is reported.
    drop(context.pool.exchange(exchange, request).await);
}
