//! Background load of a run: calls, operators and route scrapes.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use hyper::Method;
use lentilshunt_core::config::{Pattern, Snapshot};
use lentilshunt_net::{history::Writer, http::Pool};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use tokio::task::JoinSet;

use crate::{
    caller::{Call, Plan, Target},
    fleet::{AdminClient, Layout},
    operator::Operator,
};

/// Interval at which the routes of all nodes are recorded.
const SCRAPE_INTERVAL: Duration = Duration::from_millis(700);
/// Range of the pause between two rounds of acceptances, in seconds.
const ACCEPT_PAUSE_SECONDS: std::ops::Range<f64> = 0.8..3.0;
/// Service that only some of the accepted versions contain.
const TRANSIENT_SERVICE: &str = "passing";

/// Returns a plan with either the idempotent or the non-idempotent calls of every service.
#[must_use]
pub fn plan_calls(snapshot: &Snapshot, nodes: Vec<SocketAddr>, idempotent: bool) -> Plan {
    let mut targets = Vec::new();
    for (name, service) in &snapshot.services {
        let Some(caller) = service.callers.iter().next() else {
            continue;
        };
        let target = |method: Method, path: String| Target {
            service: name.clone(),
            caller: caller.clone(),
            method,
            path,
            idempotent,
        };
        if idempotent {
            targets.push(target(Method::GET, format!("/{name}")));
            continue;
        }
        for pattern in &service.non_idempotent {
            let path = pattern.path.trim_end_matches("/**").to_owned();
            if let Ok(method) = pattern.method.parse() {
                targets.push(target(method, path));
            }
        }
    }
    Plan {
        targets,
        nodes,
        rate: 1.0,
        ends_at: Instant::now(),
        seed: 0,
    }
}

/// Sends a call that crashes each upstream that runs it.
pub(super) async fn send_crashing_call(plan: Plan, history: Writer) {
    let mut random = StdRng::seed_from_u64(plan.seed);
    let target = plan.targets[random.random_range(0..plan.targets.len())].clone();
    let call = Call {
        key: format!("{}/crash-{}", target.path, plan.seed),
        body: Bytes::from_static(b"crash"),
        target,
        scheduled_at: Instant::now(),
        crashes_upstream: true,
        seed: plan.seed,
    };
    call.send(plan.nodes.into(), Arc::new(Pool::default()), history)
        .await;
}

/// Accepts versions until `ends_at`, in rounds of one to three concurrent operators.
///
/// All operators of a round use the same base version, so at most one of them
/// should succeed. Returns when the last round has ended.
pub(super) async fn run_operators(
    platform: SocketAddr,
    history: Writer,
    snapshot: Snapshot,
    seed: u64,
    ends_at: Instant,
) {
    let mut random = StdRng::seed_from_u64(seed);
    let operator = Arc::new(Operator::new(platform, history));
    let mut serial = 0;
    while Instant::now() < ends_at {
        let pause = random.random_range(ACCEPT_PAUSE_SECONDS);
        tokio::time::sleep(Duration::from_secs_f64(pause)).await;
        let Some(head) = operator.read_head().await else {
            continue;
        };
        let operator_count = random.random_range(1..=3);
        let mut acceptances = JoinSet::new();
        for _ in 0..operator_count {
            serial += 1;
            let operation = format!("operation-{seed}-{serial}");
            let changed = changed_snapshot(&snapshot, &operation, random.random());
            let operator = Arc::clone(&operator);
            acceptances.spawn(async move {
                drop(operator.accept(&changed, head.version, operation).await);
            });
        }
        acceptances.join_all().await;
    }
}

/// Returns the snapshot with a rule that is unique to `operation`, and with
/// [`TRANSIENT_SERVICE`] if `adds_service` is set.
pub(super) fn changed_snapshot(
    snapshot: &Snapshot,
    operation: &str,
    adds_service: bool,
) -> Snapshot {
    let mut changed = snapshot.clone();
    let Some(service) = changed.services.values_mut().next() else {
        return changed;
    };
    service.non_idempotent.push(Pattern {
        method: "DELETE".to_owned(),
        path: format!("/{operation}/**"),
    });
    service.non_idempotent.sort();
    if adds_service {
        let service = service.clone();
        changed
            .services
            .insert(TRANSIENT_SERVICE.to_owned(), service);
    }
    changed
}

/// Records the routes of all nodes periodically until the task is aborted.
pub(super) async fn record_routes(admin_client: Arc<AdminClient>, layout: Layout, history: Writer) {
    loop {
        admin_client.record_routes(&layout, &history).await;
        tokio::time::sleep(SCRAPE_INTERVAL).await;
    }
}
