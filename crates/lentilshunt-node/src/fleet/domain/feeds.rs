//! Serves changes of the store and the state of the node to other nodes.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use hyper::{Request, Response, StatusCode, body::Incoming};
use lentilshunt_net::BoxFuture;
use tokio::time::timeout_at;

use super::{Cache, FeedResponse};
use crate::{
    fleet::{Installer, NodeState},
    relay::{
        Handler,
        body::{Body, full, status_response},
    },
};

/// Prefix of the paths for changes; table, revision and hashes of cached values follow.
pub(super) const FEED_PATH: &str = "/.lentilshunt/feed/";
/// Maximum number of hashes of cached values in a request.
const MAX_HASHES: usize = 16;
/// Maximum time for which a request waits for changes.
pub(super) const FEED_POLL_TIMEOUT: Duration = Duration::from_millis(400);

/// Handler of requests for changes and for the state of the node.
#[derive(Debug)]
pub struct Feeds {
    cache: Arc<Cache>,
    installer: Arc<Installer>,
}

impl Feeds {
    /// Creates the handler, which serves changes from `cache` and the state from `installer`.
    #[must_use]
    pub fn new(cache: Arc<Cache>, installer: Arc<Installer>) -> Self {
        Self { cache, installer }
    }

    async fn respond(&self, path: &str) -> Response<Body> {
        if let Some(cached_hashes) = path.strip_prefix(NodeState::PATH) {
            let state = self
                .installer
                .state(parse_hashes(cached_hashes).first().copied());
            return Response::new(full(state.encode()));
        }
        match path.strip_prefix(FEED_PATH) {
            Some(query) => self.respond_changes(query).await,
            None => status_response(StatusCode::NOT_FOUND),
        }
    }

    async fn respond_changes(&self, query: &str) -> Response<Body> {
        let mut parts = query.split('/');
        let table = parts.next().unwrap_or_default();
        let after = parts.next().and_then(|after| after.parse().ok());
        let Some(after) = after else {
            return status_response(StatusCode::BAD_REQUEST);
        };
        let cached_hashes = parse_hashes(parts.next().unwrap_or_default());
        let until = Instant::now() + FEED_POLL_TIMEOUT;
        let mut updates = self.cache.subscribe();
        loop {
            let Some(response) = self.cache.changes_since(table, after, &cached_hashes) else {
                return status_response(StatusCode::GONE);
            };
            if response.is_full || !response.rows.is_empty() {
                return encode(&response);
            }
            let update = timeout_at(until.into(), updates.changed());
            if !matches!(update.await, Ok(Ok(()))) {
                // The store may have confirmed meanwhile that the cache is current, which lowers
                // `age_ms`.
                let response = self
                    .cache
                    .changes_since(table, after, &cached_hashes)
                    .unwrap_or(response);
                return encode(&response);
            }
        }
    }
}

impl Handler for Feeds {
    fn handle(&self, request: Request<Incoming>) -> BoxFuture<'_, Response<Body>> {
        Box::pin(async move { self.respond(request.uri().path()).await })
    }
}

/// Parses hashes in a path: hexadecimal numbers separated by hyphens.
fn parse_hashes(text: &str) -> Vec<u64> {
    let parts = text.split('-').take(MAX_HASHES);
    parts
        .filter_map(|part| u64::from_str_radix(part, 16).ok())
        .collect()
}

/// Formats hashes for a path.
#[must_use]
pub(in crate::fleet) fn format_hashes(hashes: &[u64]) -> String {
    let parts: Vec<_> = hashes
        .iter()
        .take(MAX_HASHES)
        .map(|hash| format!("{hash:x}"))
        .collect();
    parts.join("-")
}

fn encode(response: &FeedResponse) -> Response<Body> {
    match rmp_serde::to_vec(response) {
        Ok(bytes) => Response::new(full(bytes)),
        Err(_unencodable) => status_response(StatusCode::INTERNAL_SERVER_ERROR),
    }
}
