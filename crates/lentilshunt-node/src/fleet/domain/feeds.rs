//! Answers the nodes that ask for changes or for the version in force.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use hyper::{Request, Response, StatusCode, body::Incoming};
use lentilshunt_net::Pending;
use tokio::time::timeout_at;

use super::{Answer, Cache};
use crate::{
    fleet::{Installer, State},
    relay::{
        Handler,
        body::{Body, full, status_response},
    },
};

/// Path at which changes are asked for; table, revision and the hashes of held values follow.
pub(super) const PATH: &str = "/.lentilshunt/feed/";
/// Hashes of held values that one question names.
const MAX_HASHES: usize = 16;
/// Longest time for which a question waits for changes.
pub(super) const WAIT: Duration = Duration::from_millis(400);

/// Handler of questions for changes and for the state of the node.
#[derive(Debug)]
pub struct Feeds {
    cache: Arc<Cache>,
    installer: Arc<Installer>,
}

impl Feeds {
    /// Creates the handler; changes come from `cache`, the version in force from `installer`.
    #[must_use]
    pub fn new(cache: Arc<Cache>, installer: Arc<Installer>) -> Self {
        Self { cache, installer }
    }

    async fn answer(&self, path: &str) -> Response<Body> {
        if let Some(held) = path.strip_prefix(State::PATH) {
            let state = self.installer.state(hashes(held).first().copied());
            return Response::new(full(state.encode()));
        }
        match path.strip_prefix(PATH) {
            Some(question) => self.changes(question).await,
            None => status_response(StatusCode::NOT_FOUND),
        }
    }

    async fn changes(&self, question: &str) -> Response<Body> {
        let mut parts = question.split('/');
        let table = parts.next().unwrap_or_default();
        let after = parts.next().and_then(|after| after.parse().ok());
        let Some(after) = after else {
            return status_response(StatusCode::BAD_REQUEST);
        };
        let held = hashes(parts.next().unwrap_or_default());
        let until = Instant::now() + WAIT;
        let mut changed = self.cache.subscribe();
        loop {
            let Some(answer) = self.cache.answer(table, after, &held) else {
                return status_response(StatusCode::GONE);
            };
            if answer.whole || !answer.differences.is_empty() {
                return encode(&answer);
            }
            let waited = timeout_at(until.into(), changed.changed());
            if !matches!(waited.await, Ok(Ok(()))) {
                // What the node knows may have been confirmed meanwhile.
                let answer = self.cache.answer(table, after, &held).unwrap_or(answer);
                return encode(&answer);
            }
        }
    }
}

impl Handler for Feeds {
    fn handle(&self, request: Request<Incoming>) -> Pending<'_, Response<Body>> {
        Box::pin(async move { self.answer(request.uri().path()).await })
    }
}

/// Returns the hashes that a path names, as hexadecimal numbers with hyphens between them.
fn hashes(names: &str) -> Vec<u64> {
    let names = names.split('-').take(MAX_HASHES);
    names
        .filter_map(|name| u64::from_str_radix(name, 16).ok())
        .collect()
}

/// Names hashes in a path.
#[must_use]
pub(in crate::fleet) fn name(hashes: &[u64]) -> String {
    let names: Vec<_> = hashes
        .iter()
        .take(MAX_HASHES)
        .map(|hash| format!("{hash:x}"))
        .collect();
    names.join("-")
}

fn encode(answer: &Answer) -> Response<Body> {
    match rmp_serde::to_vec(answer) {
        Ok(bytes) => Response::new(full(bytes)),
        Err(_unencodable) => status_response(StatusCode::INTERNAL_SERVER_ERROR),
    }
}
