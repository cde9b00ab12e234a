//! Tells other nodes of requests under suspicion.

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

/// Path at which a node is told of suspicions.
pub(super) const PATH: &str = "/.lentilshunt/suspicions";
/// Header with the fingerprint of a call; between nodes only.
pub(super) const FINGERPRINT: &str = "lentilshunt-fingerprint";
/// Longest wait until other nodes know of a suspicion.
const WAIT: Duration = Duration::from_millis(100);
/// Longest time for telling one node.
const TIMEOUT: Duration = Duration::from_secs(1);
/// Largest answer to a notice, in bytes.
const ANSWER_LIMIT: usize = 1024;

/// Sends suspicions to all nodes of the route table.
#[derive(Debug)]
pub struct Notifier {
    context: Arc<Context>,
}

impl Notifier {
    /// Creates a sender of suspicions.
    #[must_use]
    pub fn new(context: Arc<Context>) -> Self {
        Self { context }
    }

    /// Tells every known node, and waits shortly until most of them know.
    ///
    /// Nodes that do not answer in time are told in the background.
    pub async fn send(&self, suspicions: &[Suspicion]) {
        let body = Bytes::from(encode(suspicions));
        let mut telling = JoinSet::new();
        for address in self.addresses() {
            let context = Arc::clone(&self.context);
            telling.spawn(tell(context, address, body.clone()));
        }
        let told = async { while telling.join_next().await.is_some() {} };
        if timeout(WAIT, told).await.is_err() {
            telling.detach_all();
        }
    }

    /// Returns the address of each node with an endpoint, but for this one.
    fn addresses(&self) -> BTreeSet<SocketAddr> {
        let own = &self.context.place.instance;
        let routes = self.context.routes.load();
        routes
            .routes()
            .flat_map(|(_, route)| route.endpoints())
            .filter(|endpoint| endpoint.instance != *own)
            .map(|endpoint| endpoint.address)
            .collect()
    }
}

async fn tell(context: Arc<Context>, address: SocketAddr, body: Bytes) {
    let mut request = Request::new(body);
    *request.method_mut() = Method::POST;
    *request.uri_mut() = Uri::from_static(PATH);
    let exchange = Exchange {
        address,
        deadline: Instant::now() + TIMEOUT,
        limit: ANSWER_LIMIT,
    };
    // A node that is not told refuses nothing; the next loss tells it again.
    drop(context.pool.exchange(exchange, request).await);
}
