//! Tests of a stopping node and of a draining upstream.

use std::time::Duration;

use lentilshunt_core::{execution::Resolution, membership::Phase, verdict::Reason};
use lentilshunt_net::call::Reply;
use tokio::time::sleep;

use crate::fixture::{Behavior, Fault, Node, TestFleet, call, not_run, now, ran, summary};

const MILLISECOND: Duration = Duration::from_millis(1);

/// Starts a node with two running and two queued requests of 100 ms each.
async fn busy_node() -> (Node, Vec<tokio::task::JoinHandle<Reply>>) {
    let node = TestFleet::default().start("a", 1);
    let slow = Behavior::Respond(Duration::from_millis(100));
    node.upstream.script.lock().unwrap().extend([slow; 4]);
    let calls = ["a", "b", "c", "d"].map(|id| node.spawn(call(id, None)));
    sleep(MILLISECOND).await;
    (node, calls.into())
}

async fn execute_new(node: &Node) -> Reply {
    node.execute(call("new", None)).await
}

async fn assert_all_ran(calls: Vec<tokio::task::JoinHandle<Reply>>) {
    for (call, id) in calls.into_iter().zip(["a", "b", "c", "d"]) {
        assert_eq!(summary(&call.await.unwrap()), ran(id));
    }
}

#[tokio::test(start_paused = true)]
async fn stop_refuses_new_requests() {
    let (node, calls) = busy_node().await;
    node.stop.cancel();
    let started_at = now();
    assert_eq!(
        summary(&execute_new(&node).await),
        not_run(Reason::Draining)
    );
    assert_eq!(now(), started_at);
    assert_all_ran(calls).await;
    assert!(matches!(node.resolve("c"), Resolution::Answered(_)));
}

#[tokio::test(start_paused = true)]
async fn drain_refuses_new_requests() {
    let (node, calls) = busy_node().await;
    node.announce(Phase::Draining, 2);
    assert_eq!(
        summary(&execute_new(&node).await),
        not_run(Reason::Draining)
    );
    assert_all_ran(calls).await;
}

#[tokio::test(start_paused = true)]
async fn stop_waits_for_requests_without_caller() {
    let (node, calls) = busy_node().await;
    node.stop.cancel();
    for call in &calls {
        call.abort();
    }
    node.local.wait_until_drained().await;
    // Running requests were completed, and queued ones were not started.
    assert_eq!(node.runs(), ["a", "b"]);
    assert!(matches!(node.resolve("a"), Resolution::Answered(_)));
    assert!(matches!(node.resolve("c"), Resolution::Barred));
}

#[tokio::test(start_paused = true)]
async fn stop_does_not_refuse_claiming_request() {
    let fleet = TestFleet::default();
    let node = fleet.start("a", 1);
    let slow = Fault::Slow(Duration::from_millis(200));
    fleet.platform.script([slow]);
    let claiming = node.spawn(call("r", Some("k")));
    sleep(MILLISECOND).await;
    node.stop.cancel();
    assert_eq!(summary(&claiming.await.unwrap()), ran("r"));
}

#[tokio::test(start_paused = true)]
async fn drain_window_ends_before_claim() {
    let fleet = TestFleet::default();
    let node = fleet.start("a", 1);
    fleet.platform.script([Fault::Slow(Duration::from_secs(2))]);
    let claiming = node.spawn(call("r", Some("k")));
    sleep(MILLISECOND).await;
    node.announce(Phase::Draining, 2);
    let refused = claiming.await.unwrap();
    assert_eq!(summary(&refused), not_run(Reason::Draining));
    assert_eq!(node.runs(), Vec::<String>::new());
    // The next attempt on another node takes over the claim.
    let other = fleet.start("b", 1);
    let again = other.execute(call("r", Some("k"))).await;
    assert_eq!(summary(&again), ran("r"));
}

#[tokio::test(start_paused = true)]
async fn drain_window_ends_before_slot_is_free() {
    let node = TestFleet::default().start("a", 1);
    let slow = Behavior::Respond(Duration::from_secs(2));
    node.upstream.script.lock().unwrap().extend([slow; 4]);
    let calls = ["a", "b", "c", "d"].map(|id| node.spawn(call(id, None)));
    sleep(MILLISECOND).await;
    node.announce(Phase::Draining, 2);
    let [a, b, c, d] = calls;
    assert_eq!(summary(&a.await.unwrap()), ran("a"));
    assert_eq!(summary(&b.await.unwrap()), ran("b"));
    assert_eq!(summary(&c.await.unwrap()), not_run(Reason::Draining));
    assert_eq!(summary(&d.await.unwrap()), not_run(Reason::Draining));
    assert_eq!(node.runs(), ["a", "b"]);
}
