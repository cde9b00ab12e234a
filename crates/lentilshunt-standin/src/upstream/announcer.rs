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

/// Time between two announcements.
const INTERVAL: Duration = Duration::from_millis(250);
/// Longest wait for the node to take an announcement.
const TIMEOUT: Duration = Duration::from_millis(500);
/// Largest answer to an announcement, in bytes.
const ANSWER_LIMIT: usize = 1024;

/// Sends announcements until it is dropped.
#[derive(Debug)]
pub(super) struct Announcer {
    state: Arc<State>,
    node: SocketAddr,
    pool: Pool,
}

impl Announcer {
    pub(super) fn new(state: Arc<State>, settings: &settings::UpstreamStandIn) -> io::Result<Self> {
        let node = settings.upstream.node.parse().map_err(io::Error::other)?;
        Ok(Self {
            state,
            node,
            pool: Pool::default(),
        })
    }

    pub(super) async fn run(&self) {
        loop {
            self.announce().await;
            tokio::time::sleep(INTERVAL).await;
        }
    }

    async fn announce(&self) {
        let announcement = self.state.announcement();
        let body = rmp_serde::to_vec_named(&announcement).expect("announcements have an encoding");
        let mut request = Request::new(Bytes::from(body));
        *request.method_mut() = Method::POST;
        *request.uri_mut() = Uri::from_static("/.lentilshunt/announce");
        let exchange = Exchange {
            address: self.node,
            deadline: Instant::now() + TIMEOUT,
            max_body_bytes: ANSWER_LIMIT,
        };
        // A node that is away is told again at the next interval.
        drop(self.pool.exchange(exchange, request).await);
    }
}
