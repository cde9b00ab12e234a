//! Sends the calls of a plan.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use lentilshunt_core::verdict::Verdict;
use lentilshunt_net::{history::Writer, http::Pool};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use tokio::task::JoinSet;

use super::{Call, Plan};

/// Outcome of one call.
#[derive(Clone, Debug)]
pub struct CallOutcome {
    /// Verdict on the last attempt, or `None` when its outcome is unknown.
    pub verdict: Option<Verdict>,
    /// Whether the last response had the body expected for this call.
    pub is_expected_response: bool,
    /// Whether the call was idempotent.
    pub idempotent: bool,
    /// Number of attempts.
    pub attempts: usize,
    /// Time from the scheduled instant to the end of the last attempt.
    pub latency: Duration,
}

/// Sends every call of a plan and waits for all outcomes.
///
/// Calls are sent at their scheduled instants regardless of outstanding calls, and
/// latency counts from the scheduled instant, so that a stall of the fleet or of
/// the sender shows in the latency of every call that it delays.
pub async fn run(plan: Plan, history: Writer) -> Vec<CallOutcome> {
    let mut random = StdRng::seed_from_u64(plan.seed);
    let pool = Arc::new(Pool::default());
    let nodes: Arc<[_]> = plan.nodes.into();
    let interval = Duration::from_secs_f64(1.0 / plan.rate);
    let mut scheduled_at = Instant::now();
    let mut calls = JoinSet::new();
    let mut serial = 0_usize;
    while scheduled_at < plan.ends_at {
        tokio::time::sleep_until(scheduled_at.into()).await;
        let target = plan.targets[serial % plan.targets.len()].clone();
        let call = Call {
            key: format!("{}/{}-{serial}", target.path, plan.seed),
            body: Bytes::from(format!("{:016x}", random.random::<u64>())),
            target,
            scheduled_at,
            crashes_upstream: false,
            seed: random.random(),
        };
        calls.spawn(call.send(Arc::clone(&nodes), Arc::clone(&pool), history.clone()));
        serial += 1;
        scheduled_at += interval;
    }
    calls.join_all().await
}
