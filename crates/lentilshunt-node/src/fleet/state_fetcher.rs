//! Fetches from another node a version that the store does not deliver.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use hyper::Request;
use lentilshunt_core::membership::View;
use slog::{info, warn};
use tokio::time::sleep;

use super::{Installer, NodeState, Patch, domain::format_hashes};
use crate::relay::{Directory, NewestVersion, Pool, Shared, body::empty};

/// Time to wait for the store before a version is fetched from a node that has it in force.
const STORE_DELAY_LIMIT: Duration = Duration::from_millis(900);
/// The same time for the first version of a node that has just started.
const FIRST_STORE_DELAY_LIMIT: Duration = Duration::from_millis(700);
/// Maximum time until the response of another node begins.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause after a request to another node.
const REQUEST_PAUSE: Duration = Duration::from_millis(300);

/// Requests the state of a node that has a newer version when the store does not deliver it.
#[derive(Debug)]
pub struct StateFetcher {
    shared: Arc<Shared>,
    installer: Arc<Installer>,
    pool: Arc<Pool>,
}

impl StateFetcher {
    /// Creates a fetcher; `pool` holds the connections to other nodes.
    #[must_use]
    pub fn new(shared: Arc<Shared>, installer: Arc<Installer>, pool: Arc<Pool>) -> Self {
        Self {
            shared,
            installer,
            pool,
        }
    }

    /// Watches for newer versions until the task is aborted.
    ///
    /// A node without any version waits a shorter time for the store, as it cannot
    /// serve requests.
    pub async fn run(self) {
        let mut newest = self.shared.newest_version.subscribe();
        loop {
            let current = self.shared.version();
            let newer = newest.wait_for(|newest| newest.version > current).await;
            let Ok(NewestVersion { node, .. }) = newer.map(|newer| *newer) else {
                return;
            };
            sleep(if current > 0 {
                STORE_DELAY_LIMIT
            } else {
                FIRST_STORE_DELAY_LIMIT
            })
            .await;
            if let Some(node) = node
                && self.shared.version() == current
            {
                self.fetch_state(node).await;
            }
            sleep(REQUEST_PAUSE).await;
        }
    }

    async fn fetch_state(&self, node: SocketAddr) {
        let cached_content = self.installer.content();
        let mut request = Request::new(empty());
        let hash = cached_content
            .as_ref()
            .map(|cached_content| format_hashes(&[Patch::hash(cached_content)]));
        let path = format!("{}{}", NodeState::PATH, hash.unwrap_or_default());
        let log = &self.shared.log;
        match path.parse() {
            Ok(uri) => *request.uri_mut() = uri,
            Err(error) => {
                warn!(log, "invalid path of a state request"; "path" => path, "error" => %error);
                return;
            }
        }
        let response_deadline = Instant::now() + RESPONSE_TIMEOUT;
        let max_body_bytes = NodeState::MAX_BYTES;
        let bytes = match self
            .pool
            .fetch(node, request, response_deadline, max_body_bytes)
            .await
        {
            Ok(response) => response.into_body(),
            Err(error) => {
                warn!(log, "state request failed"; "node" => %node, "error" => %error);
                return;
            }
        };
        match NodeState::decode(&bytes) {
            Ok(state) => self.apply_state(state, cached_content.as_ref(), node, bytes.len()),
            Err(error) => warn!(log, "state cannot be decoded"; "node" => %node, "error" => %error),
        }
    }

    fn apply_state(
        &self,
        state: NodeState,
        cached_content: Option<&Bytes>,
        node: SocketAddr,
        size: usize,
    ) {
        info!(self.shared.log, "state received from another node"; "node" => %node,
            "records" => state.records.len(), "bytes" => size);
        if let Some(rules) = state.rules.and_then(|patch| patch.apply(cached_content)) {
            self.installer.install(rules);
        }
        // Records from the store have precedence over those of another node.
        if self.shared.directory.load().node_count() == 0 {
            let view = View::new(&state.records);
            let directory = Directory::new(&view.endpoints, &self.shared.locality);
            self.shared.directory.store(Arc::new(directory));
        }
    }
}
