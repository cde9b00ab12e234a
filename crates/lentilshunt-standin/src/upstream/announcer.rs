//! Announces an upstream to the node on its instance.

use std::{
    io,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use hyper::{Method, Request, Uri};
use lentilshunt_net::http::{Exchange, Pool};
use lentilshunt_schema::settings;

use super::state::State;

/// Time between announcements.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(250);
/// Time limit for one announcement.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum size of the response to an announcement.
const MAX_RESPONSE_BYTES: usize = 1024;

/// Sends announcements at a fixed interval.
#[derive(Debug)]
pub(super) struct Announcer {
    state: Arc<State>,
    node_address: SocketAddr,
    pool: Pool,
}

impl Announcer {
    pub(super) fn new(state: Arc<State>, settings: &settings::UpstreamStandIn) -> io::Result<Self> {
        let node_address = settings.upstream.node.parse().map_err(io::Error::other)?;
        Ok(Self {
            state,
            node_address,
            pool: Pool::default(),
        })
    }

    pub(super) async fn run(&self) {
        loop {
            self.announce().await;
            tokio::time::sleep(ANNOUNCE_INTERVAL).await;
        }
    }

    async fn announce(&self) {
        let announcement = self.state.announcement();
        let body =
            rmp_serde::to_vec_named(&announcement).expect("announcement should be serializable");
        let mut request = Request::new(Bytes::from(body));
        *request.method_mut() = Method::POST;
        *request.uri_mut() = Uri::from_static("/.lentilshunt/announce");
        let exchange = Exchange {
            address: self.node_address,
            deadline: Instant::now() + ANNOUNCE_TIMEOUT,
            max_body_bytes: MAX_RESPONSE_BYTES,
        };
        // Errors are ignored: the next interval sends a new announcement.
        drop(self.pool.exchange(exchange, request).await);
    }
}
