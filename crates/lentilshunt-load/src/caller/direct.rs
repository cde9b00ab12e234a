//! Sends calls directly to upstreams, as a baseline without nodes.

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

/// Timeout of one response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum size of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 1024 * 1024;

/// Address of an upstream and its service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UpstreamAddress {
    /// Service of the upstream.
    pub service: ServiceId,
    /// Address that receives requests.
    pub address: SocketAddr,
}

/// Sends the idempotent calls of a plan directly to random upstreams.
///
/// Returns the time from each scheduled instant to the complete response; failed
/// calls are left out. Nothing is recorded.
///
/// # Panics
///
/// Panics if the plan has no idempotent target, or one that does not form a valid
/// request.
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
                .expect("the target of a plan forms a valid request");
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
