//! Sends the attempts of a call.

use std::{sync::Arc, time::Instant};

use lentilshunt_core::{id::InstanceId, membership::Endpoint, verdict::Reason};
use lentilshunt_net::call::{Call, Executor, Reply};

use super::Entry;

/// Most attempts of one call.
const MAX_ATTEMPTS: usize = 3;

/// Tries a call until it has run or may not be tried again.
pub(super) async fn dispatch(entry: &Entry, call: Arc<Call>) -> Reply {
    let mut tried: Vec<InstanceId> = Vec::new();
    let mut last = Reply::refused(Reason::NoEndpoint);
    while tried.len() < MAX_ATTEMPTS && Instant::now() < call.deadline {
        let Some(endpoint) = choose(entry, &call, &tried) else {
            break;
        };
        tried.push(endpoint.instance.clone());
        last = executor(entry, &endpoint)
            .execute(endpoint, Arc::clone(&call))
            .await;
        if !last.verdict.permits_retry(call.idempotent) {
            break;
        }
        if let Some(reason) = last.reason {
            metrics::counter!("lentilshunt_retries_total", "reason" => reason.to_string())
                .increment(1);
        }
    }
    last
}

fn choose(entry: &Entry, call: &Call, tried: &[InstanceId]) -> Option<Arc<Endpoint>> {
    let routes = entry.context.routes.load();
    let route = routes.route(&call.service)?;
    entry.policy.choose(route, tried, rand::random())
}

fn executor<'a>(entry: &'a Entry, endpoint: &Endpoint) -> &'a Arc<dyn Executor> {
    if endpoint.instance == entry.context.place.instance {
        &entry.local
    } else {
        &entry.remote
    }
}
