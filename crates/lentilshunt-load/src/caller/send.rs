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
pub struct Outcome {
    /// Verdict of the last answer, or none when there was no answer.
    pub verdict: Option<Verdict>,
    /// Whether the body was the answer to this call.
    pub is_own_answer: bool,
    /// Whether the call was idempotent.
    pub idempotent: bool,
    /// Attempts that were sent.
    pub attempts: usize,
    /// Time from the planned instant of sending to the whole answer.
    pub latency: Duration,
}

/// Sends every call of a plan and waits for all outcomes.
///
/// A call is sent at its planned instant whether or not earlier ones have
/// ended, and its latency counts from that instant, so that a stall of the
/// fleet or of the sender is seen by every call that it delays.
pub async fn run(plan: Plan, history: Writer) -> Vec<Outcome> {
    let mut random = StdRng::seed_from_u64(plan.seed);
    let pool = Arc::new(Pool::default());
    let nodes: Arc<[_]> = plan.nodes.into();
    let interval = Duration::from_secs_f64(1.0 / plan.rate);
    let mut due = Instant::now();
    let mut calls = JoinSet::new();
    let mut serial = 0_usize;
    while due < plan.ends_at {
        tokio::time::sleep_until(due.into()).await;
        let target = plan.targets[serial % plan.targets.len()].clone();
        let call = Call {
            key: format!("{}/{}-{serial}", target.path, plan.seed),
            body: Bytes::from(format!("{:016x}", random.random::<u64>())),
            target,
            due,
            crashes: false,
            seed: random.random(),
        };
        calls.spawn(call.send(Arc::clone(&nodes), Arc::clone(&pool), history.clone()));
        serial += 1;
        due += interval;
    }
    calls.join_all().await
}
