//! Answers the nodes of the failure domain that ask for changes.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use hyper::{Request, Response, StatusCode, body::Incoming};
use lentilshunt_net::Pending;
use tokio::time::timeout_at;

use super::{Answer, Cache};
use crate::relay::{
    Handler,
    body::{Body, bare, whole},
};

/// Path at which changes are asked for; table and revision follow.
pub(super) const PATH: &str = "/.lentilshunt/feed/";
/// Longest time for which a question waits for changes.
pub(super) const WAIT: Duration = Duration::from_millis(400);

/// Handler of questions for changes.
#[derive(Debug)]
pub struct Feeds {
    cache: Arc<Cache>,
}

impl Feeds {
    /// Creates the handler; answers come from `cache`.
    #[must_use]
    pub fn new(cache: Arc<Cache>) -> Self {
        Self { cache }
    }

    async fn answer(&self, path: &str) -> Response<Body> {
        let mut parts = path.trim_start_matches(PATH).split('/');
        let table = parts.next().unwrap_or_default();
        let after = parts.next().and_then(|after| after.parse().ok());
        let Some(after) = after else {
            return bare(StatusCode::BAD_REQUEST);
        };
        let until = Instant::now() + WAIT;
        let mut changed = self.cache.subscribe();
        loop {
            let Some(answer) = self.cache.answer(table, after) else {
                return bare(StatusCode::GONE);
            };
            let waited = timeout_at(until.into(), changed.changed());
            if !answer.differences.is_empty() || !matches!(waited.await, Ok(Ok(()))) {
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

fn encode(answer: &Answer) -> Response<Body> {
    match rmp_serde::to_vec(answer) {
        Ok(bytes) => Response::new(whole(bytes)),
        Err(_unencodable) => bare(StatusCode::INTERNAL_SERVER_ERROR),
    }
}
