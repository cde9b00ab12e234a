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

/// How one call ended.
#[derive(Clone, Debug)]
pub struct CallOutcome {
    /// Verdict of the last response, or none when there was no response.
    pub verdict: Option<Verdict>,
    /// Whether the body was the response to this call.
    pub is_expected_response: bool,
    /// Whether the call was idempotent.
    pub idempotent: bool,
    /// Attempts that were sent.
    pub attempts: usize,
    /// Time from the planned instant of sending to the whole response.
    pub latency: Duration,
}

/// Sends every call of a plan and waits for all outcomes.
///
/// A call is sent at its planned instant whether or not earlier ones have
/// ended, and its latency counts from that instant, so that a stall of the
/// fleet or of the sender is seen by every call that it delays.
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
