//! Tests of the counters of the executor.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, SystemTime},
};

use lentilshunt_core::{
    claim::{CLAIM_LIFETIME, SWEEP_MARGIN},
    membership::Phase,
};
use lentilshunt_net::platform::Table;
use lentilshunt_node::executor::Sweeper;
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use tokio::time::sleep;

use crate::fixture::{Behavior, Fault, TestFleet, call, now};

const MILLISECOND: Duration = Duration::from_millis(1);

/// Returns the counters by name and labels.
fn counters(handle: &PrometheusHandle) -> BTreeMap<String, u64> {
    let rendered = handle.render();
    let lines = rendered.lines().filter(|line| !line.starts_with('#'));
    lines
        .filter_map(|line| line.rsplit_once(' '))
        .filter_map(|(name, value)| Some((name.to_owned(), value.parse().ok()?)))
        .collect()
}

#[tokio::test(start_paused = true)]
async fn counters_of_refusals_and_resolutions() {
    let recorder = PrometheusBuilder::new().build_recorder();
    let handle = recorder.handle();
    let _guard = metrics::set_default_local_recorder(&recorder);
    let fleet = TestFleet::default();
    let node = fleet.start("a", 1);

    let script = [Behavior::Crash, Behavior::Refuse, Behavior::Panic];
    node.upstream.script.lock().unwrap().extend(script);
    for id in ["lost", "refused", "failed", "ran"] {
        let _reply = node.execute(call(id, None)).await;
    }
    for id in ["unseen", "lost", "ran", "refused"] {
        let _resolution = node.resolve(id);
    }
    let _barred = node.execute(call("unseen", None)).await;
    let _duplicate = node.execute(call("lost", None)).await;
    let mut short_deadline = call("hasty", None);
    short_deadline.deadline = now();
    let _past_deadline = node.execute(short_deadline).await;
    let slow = Behavior::Respond(Duration::from_secs(1));
    node.upstream.script.lock().unwrap().extend([slow; 5]);
    let busy = ["b", "c", "d", "e", "f"].map(|id| node.spawn(call(id, None)));
    sleep(MILLISECOND).await;
    let _running = node.resolve("b");
    let _queue_full = node.execute(call("over", None)).await;
    for busy in busy {
        let _reply = busy.await.unwrap();
    }
    node.announce(Phase::Draining, 2);
    let _draining = node.execute(call("draining", None)).await;
    node.announce(Phase::Starting, 2);
    let _starting = node.execute(call("starting", None)).await;

    let counters = counters(&handle);
    let expected = [
        ("reason=\"bad-answer\",verdict=\"may-have-run\"", 1),
        ("reason=\"barred\",verdict=\"not-run\"", 1),
        ("reason=\"deadline\",verdict=\"not-run\"", 1),
        ("reason=\"draining\",verdict=\"not-run\"", 1),
        ("reason=\"duplicate\",verdict=\"may-have-run\"", 1),
        ("reason=\"not-ready\",verdict=\"not-run\"", 1),
        ("reason=\"queue-full\",verdict=\"not-run\"", 1),
        ("reason=\"unreachable\",verdict=\"not-run\"", 1),
        ("reason=\"upstream-lost\",verdict=\"may-have-run\"", 1),
    ]
    .map(|(labels, count)| {
        (
            format!("lentilshunt_executor_refusals_total{{{labels}}}"),
            count,
        )
    });
    let resolutions = [
        ("answered", 1),
        ("barred", 2),
        ("may_have_run", 1),
        ("running", 1),
    ]
    .map(|(label, count)| {
        let name = format!("lentilshunt_questions_total{{resolution=\"{label}\"}}");
        (name, count)
    });
    assert_eq!(counters, expected.into_iter().chain(resolutions).collect());
}

#[tokio::test(start_paused = true)]
async fn counters_of_claims() {
    let recorder = PrometheusBuilder::new().build_recorder();
    let handle = recorder.handle();
    let _guard = metrics::set_default_local_recorder(&recorder);
    let fleet = TestFleet::default();
    let (a, b) = (fleet.start("a", 1), fleet.start("b", 1));
    let slow = Behavior::Respond(Duration::from_secs(1));
    let script = [Behavior::Respond(MILLISECOND), Behavior::Refuse, slow];
    a.upstream.script.lock().unwrap().extend(script);

    let _won = a.execute(call("r", Some("k"))).await;
    let _response = b.execute(call("s", Some("k"))).await;
    let mut other = call("t", Some("k"));
    other.body = "bale 8".into();
    let _refuse = b.execute(other).await;
    let _not_run = a.execute(call("u", Some("l"))).await;
    let _taken_over = b.execute(call("v", Some("l"))).await;
    let running = a.spawn(call("w", Some("m")));
    sleep(MILLISECOND).await;
    let waiting = b.spawn(call("x", Some("m")));
    let _replies = (running.await.unwrap(), waiting.await.unwrap());
    fleet.disconnect("a");
    let _unknown = b.execute(call("y", Some("k"))).await;
    *fleet.platform.default_fault.lock().unwrap() = Some(Fault::Refuse);
    let _unavailable = b.execute(call("z", Some("n"))).await;
    *fleet.platform.default_fault.lock().unwrap() = None;
    let sweeper = Sweeper::new(Arc::clone(&fleet.platform) as Arc<dyn Table>, 1);
    let after_expiry = SystemTime::now() + CLAIM_LIFETIME + SWEEP_MARGIN + Duration::from_secs(1);
    sweeper.sweep("claim/".to_owned(), SystemTime::now()).await;
    assert_eq!(fleet.platform.rows.lock().unwrap().scan("claim/").len(), 3);
    sweeper.sweep("claim/".to_owned(), after_expiry).await;
    assert_eq!(fleet.platform.rows.lock().unwrap().scan("claim/").len(), 0);

    let counters = counters(&handle);
    let count = |name: &str| counters.get(name).copied().unwrap_or_default();
    let claims = ["won", "taken", "unavailable"]
        .map(|label| count(&format!("lentilshunt_claims_total{{outcome=\"{label}\"}}")));
    assert_eq!(claims, [4, 5, 1]);
    let steps = ["take_over", "answer", "refuse", "may_have_run"].map(|label| {
        count(&format!(
            "lentilshunt_claim_conflicts_total{{step=\"{label}\"}}"
        ))
    });
    assert_eq!(steps, [1, 2, 1, 1]);
    assert!(count("lentilshunt_claim_conflicts_total{step=\"wait\"}") > 0);
    assert!(count("lentilshunt_claim_failures_total") > 0);
    assert!(count("lentilshunt_claim_transactions_total") > 9);
    assert_eq!(count("lentilshunt_claims_swept_total"), 3);
}
