//! Sends reports to the coordinator.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use hyper::{Method, Request, Uri};
use serde::Serialize;
use slog::info;

use crate::relay::{Pool, Shared, body::full};

/// Time limit for the reply.
const REPLY_TIMEOUT: Duration = Duration::from_millis(400);
/// Time for which a node that has not replied is passed over.
const COOLDOWN: Duration = Duration::from_secs(3);
/// Number of nodes that may be coordinator, in order of preference.
const MAX_COORDINATORS: usize = 3;

/// The node that decides for the fleet, as this node sees it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Coordinator {
    /// This node.
    Local,
    /// The node at an address.
    Remote(SocketAddr),
}

/// Sends reports to the coordinator, and remembers which nodes have not replied.
#[derive(Debug)]
pub struct Client {
    shared: Arc<Shared>,
    pool: Arc<Pool>,
    /// Instant until which each node that has not replied is passed over.
    cooldowns: HashMap<SocketAddr, Instant>,
}

impl Client {
    /// Creates a client that sends through `pool`.
    #[must_use]
    pub fn new(shared: Arc<Shared>, pool: Arc<Pool>) -> Self {
        Self {
            shared,
            pool,
            cooldowns: HashMap::new(),
        }
    }

    /// Returns the coordinator, or `None` if no candidate has replied lately.
    pub fn coordinator(&mut self, now: Instant) -> Option<Coordinator> {
        self.cooldowns.retain(|_, until| *until > now);
        let directory = self.shared.directory.load();
        let candidates = directory.coordinators().iter().take(MAX_COORDINATORS);
        let mut available = candidates.filter(|(_, address)| !self.cooldowns.contains_key(address));
        let (instance, address) = available.next()?;
        Some(if *instance == self.shared.locality.instance {
            Coordinator::Local
        } else {
            Coordinator::Remote(*address)
        })
    }

    /// Sends a report to another node and returns its reply; `None` if there is none in time.
    pub async fn send(
        &mut self,
        address: SocketAddr,
        path: &'static str,
        report: &impl Serialize,
        max_reply_bytes: usize,
    ) -> Option<Bytes> {
        let sent_at = Instant::now();
        let body = match rmp_serde::to_vec(report) {
            Ok(body) => body,
            Err(error) => {
                info!(self.shared.log, "report cannot be encoded"; "error" => %error);
                return None;
            }
        };
        let mut request = Request::new(full(body));
        *request.method_mut() = Method::POST;
        *request.uri_mut() = Uri::from_static(path);
        let deadline = sent_at + REPLY_TIMEOUT;
        let fetched = self
            .pool
            .fetch(address, request, deadline, max_reply_bytes)
            .await;
        match fetched {
            Ok(response) => Some(response.into_body()),
            Err(error) => {
                info!(self.shared.log, "coordinator has not replied"; "address" => %address,
                    "path" => path, "problem" => %error);
                self.cooldowns.insert(address, sent_at + COOLDOWN);
                None
            }
        }
    }
}
