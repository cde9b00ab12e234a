//! Sends calls straight to upstreams, for comparison.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use hyper::Request;
use lentilshunt_core::id::ServiceId;
use lentilshunt_net::http::{Exchange, Pool};
use rand::{RngExt, SeedableRng, rngs::StdRng, seq::IndexedRandom};
use tokio::task::JoinSet;

use super::Plan;

/// Longest wait for an response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);
/// Largest response, in bytes.
const MAX_RESPONSE_BYTES: usize = 1024 * 1024;

/// An upstream and its service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UpstreamAddress {
    /// Service that it runs.
    pub service: ServiceId,
    /// Where it takes requests.
    pub address: SocketAddr,
}

/// Sends the idempotent calls of a plan to random upstreams without any node.
///
/// Returns the time from each planned instant of sending to the whole response;
/// calls without an response are left out. Nothing is recorded.
///
/// # Panics
///
/// Panics when the plan has no idempotent target, or one that is not valid in
/// a request.
pub async fn run_direct(plan: Plan, upstreams: Vec<UpstreamAddress>) -> Vec<Duration> {
    let mut random = StdRng::seed_from_u64(plan.seed);
    let pool = Arc::new(Pool::default());
    let interval = Duration::from_secs_f64(1.0 / plan.rate);
    let targets = plan.targets.iter().filter(|target| target.idempotent);
    let targets: Vec<_> = targets.collect();
    let mut scheduled_at = Instant::now();
    let mut calls = JoinSet::new();
    for serial in 0_usize.. {
        if scheduled_at >= plan.ends_at {
            break;
        }
        tokio::time::sleep_until(scheduled_at.into()).await;
        let target = targets[serial % targets.len()];
        let matching = upstreams.iter();
        let matching: Vec<_> = matching
            .filter(|upstream| upstream.service == target.service)
            .collect();
        if let Some(upstream) = matching.choose(&mut random) {
            let body = Bytes::from(format!("{:016x}", random.random::<u64>()));
            let request = Request::builder()
                .method(target.method.clone())
                .uri(format!("{}/direct-{serial}", target.path))
                .body(body)
                .expect("plans make valid requests");
            calls.spawn(send(
                upstream.address,
                request,
                Arc::clone(&pool),
                scheduled_at,
            ));
        }
        scheduled_at += interval;
    }
    let latencies = calls.join_all().await;
    latencies.into_iter().flatten().collect()
}

async fn send(
    address: SocketAddr,
    request: Request<Bytes>,
    pool: Arc<Pool>,
    scheduled_at: Instant,
) -> Option<Duration> {
    let exchange = Exchange {
        address,
        deadline: Instant::now() + RESPONSE_TIMEOUT,
        max_body_bytes: MAX_RESPONSE_BYTES,
    };
    pool.exchange(exchange, request).await.ok()?;
    Some(scheduled_at.elapsed())
}
