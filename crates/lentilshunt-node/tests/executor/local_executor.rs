//! Tests of the local executor with its ledger and gate.

use std::{sync::Arc, time::Duration};

use lentilshunt_core::{execution::Resolution, membership::Phase, verdict::Reason};
use lentilshunt_net::call::Executor;
use tokio::time::{advance, sleep};

use crate::fixture::{Behavior, Node, TestFleet, call, may_have_run, not_run, now, ran, summary};

const MILLISECOND: Duration = Duration::from_millis(1);

fn node() -> Node {
    TestFleet::default().start("a", 1)
}

#[tokio::test(start_paused = true)]
async fn execute_repeated_request() {
    let node = node();
    let first = node.execute(call("r", None)).await;
    let second = node.execute(call("r", None)).await;
    assert_eq!((summary(&first), summary(&second)), (ran("r"), ran("r")));
    assert_eq!(node.runs(), ["r"]);
}

#[tokio::test(start_paused = true)]
async fn execute_duplicate_while_running() {
    let node = node();
    let first = node.spawn(call("r", None));
    sleep(MILLISECOND).await;
    let second = node.execute(call("r", None)).await;
    assert_eq!(summary(&second), may_have_run(Reason::Duplicate));
    assert_eq!(summary(&first.await.unwrap()), ran("r"));
    assert_eq!(node.runs(), ["r"]);
}

#[tokio::test(start_paused = true)]
async fn execute_after_request_was_barred() {
    let node = node();
    assert!(matches!(node.resolve("r"), Resolution::Barred));
    let late = node.execute(call("r", None)).await;
    assert_eq!(summary(&late), not_run(Reason::Barred));
    assert_eq!(node.runs(), Vec::<String>::new());
}

#[tokio::test(start_paused = true)]
async fn execute_for_earlier_incarnation() {
    let fleet = TestFleet::default();
    let before = fleet.start("a", 1);
    let _ran = before.execute(call("r", None)).await;
    let after = fleet.start("a", 2);
    let endpoint = Arc::clone(&before.endpoint);
    let late = after
        .local
        .execute(endpoint, Arc::new(call("s", None)))
        .await;
    assert_eq!(summary(&late), not_run(Reason::NotReady));
    let resolved = after.local.resolve("r", 1, now());
    assert!(matches!(resolved, Resolution::MayHaveRun));
    assert_eq!(after.runs(), Vec::<String>::new());
}

#[tokio::test(start_paused = true)]
async fn execute_continues_without_caller() {
    let node = node();
    let caller = node.spawn(call("r", None));
    sleep(MILLISECOND).await;
    caller.abort();
    assert!(matches!(node.resolve("r"), Resolution::Running));
    sleep(MILLISECOND * 5).await;
    let Resolution::Answered(reply) = node.resolve("r") else {
        panic!("the response was not kept");
    };
    assert_eq!(summary(&reply), ran("r"));
}

#[tokio::test(start_paused = true)]
async fn execute_leaves_queue_without_caller() {
    let node = node();
    let slow = Behavior::Respond(Duration::from_secs(1));
    node.upstream.script.lock().unwrap().extend([slow, slow]);
    let running = [node.spawn(call("a", None)), node.spawn(call("b", None))];
    sleep(MILLISECOND).await;
    let queued = node.spawn(call("c", None));
    sleep(MILLISECOND).await;
    assert!(matches!(node.resolve("c"), Resolution::Running));
    queued.abort();
    sleep(MILLISECOND).await;
    assert!(matches!(node.resolve("c"), Resolution::Barred));
    for running in running {
        let _reply = running.await.unwrap();
    }
    sleep(MILLISECOND).await;
    assert_eq!(node.runs(), ["a", "b"]);
}

#[tokio::test(start_paused = true)]
async fn execute_after_suspension_past_deadline() {
    let node = node();
    let slow = Behavior::Respond(Duration::from_secs(20));
    node.upstream.script.lock().unwrap().extend([slow, slow]);
    let _running = [node.spawn(call("a", None)), node.spawn(call("b", None))];
    sleep(MILLISECOND).await;
    let queued = node.spawn(call("c", None));
    sleep(MILLISECOND).await;
    // The process is suspended past the deadline and the end of the running requests.
    advance(Duration::from_mins(1)).await;
    assert_eq!(summary(&queued.await.unwrap()), not_run(Reason::Deadline));
    assert!(matches!(node.resolve("c"), Resolution::Barred));
    assert_eq!(node.runs(), ["a", "b"]);
}

#[tokio::test(start_paused = true)]
async fn execute_with_full_queue() {
    let node = node();
    let slow = Behavior::Respond(Duration::from_secs(1));
    node.upstream.script.lock().unwrap().extend([slow; 5]);
    let _admitted = ["a", "b", "c", "d", "e"].map(|id| node.spawn(call(id, None)));
    sleep(MILLISECOND).await;
    let over = node.execute(call("f", None)).await;
    assert_eq!(summary(&over), not_run(Reason::QueueFull));
    assert_eq!(over.free_slots, Some(0));
}

/// A request whose expected completion is past its deadline is refused at once.
#[tokio::test(start_paused = true)]
async fn execute_refused_for_deadline() {
    let node = node();
    let slow = Behavior::Respond(Duration::from_secs(1));
    node.upstream.script.lock().unwrap().extend([slow; 3]);
    let _observed = node.execute(call("a", None)).await;
    let _running = ["b", "c"].map(|id| node.spawn(call(id, None)));
    sleep(MILLISECOND).await;
    let mut short_deadline = call("d", None);
    short_deadline.deadline = now() + Duration::from_millis(1400);
    let started_at = now();
    let refused = node.execute(short_deadline).await;
    assert_eq!(summary(&refused), not_run(Reason::Deadline));
    assert_eq!(now(), started_at);
}

#[tokio::test(start_paused = true)]
async fn execute_in_deadline_order() {
    let node = node();
    let slow = Behavior::Respond(Duration::from_secs(1));
    node.upstream.script.lock().unwrap().extend([slow; 2]);
    let _running = ["a", "b"].map(|id| node.spawn(call(id, None)));
    sleep(MILLISECOND).await;
    let late_deadline = node.spawn(call("late_deadline", None));
    sleep(MILLISECOND).await;
    let mut early_deadline = call("early_deadline", None);
    early_deadline.deadline = now() + Duration::from_secs(5);
    let early_deadline = node.spawn(early_deadline);
    let _replies = (late_deadline.await.unwrap(), early_deadline.await.unwrap());
    assert_eq!(node.runs(), ["a", "b", "early_deadline", "late_deadline"]);
}

/// Cancelled idempotent requests release their slots at once.
#[tokio::test(start_paused = true)]
async fn execute_idempotent_cancelled() {
    let node = node();
    let slow = Behavior::Respond(Duration::from_secs(5));
    node.upstream.script.lock().unwrap().extend([slow; 2]);
    let read = |id| {
        let mut call = call(id, None);
        call.idempotent = true;
        call
    };
    let running = ["a", "b"].map(|id| node.spawn(read(id)));
    sleep(MILLISECOND).await;
    for caller in &running {
        caller.abort();
    }
    let started_at = now();
    let next = node.execute(read("c")).await;
    assert_eq!(summary(&next), ran("c"));
    assert_eq!(now() - started_at, Duration::from_millis(2));
}

#[tokio::test(start_paused = true)]
async fn execute_after_announcement_expired() {
    let node = node();
    node.stop_announcing.cancel();
    advance(Duration::from_secs(2)).await;
    let refused = node.execute(call("r", None)).await;
    assert_eq!(summary(&refused), not_run(Reason::NotReady));
}

#[tokio::test(start_paused = true)]
async fn execute_with_lost_upstream() {
    let node = node();
    node.upstream
        .script
        .lock()
        .unwrap()
        .extend([Behavior::Crash, Behavior::Refuse]);
    let lost = node.execute(call("r", None)).await;
    assert_eq!(summary(&lost), may_have_run(Reason::UpstreamLost));
    assert!(matches!(node.resolve("r"), Resolution::MayHaveRun));
    let refused = node.execute(call("s", None)).await;
    assert_eq!(summary(&refused), not_run(Reason::Unreachable));
    assert!(matches!(node.resolve("s"), Resolution::Barred));
}

#[tokio::test(start_paused = true)]
async fn execute_with_panicking_task() {
    let node = node();
    node.upstream
        .script
        .lock()
        .unwrap()
        .push_back(Behavior::Panic);
    let lost = node.execute(call("r", None)).await;
    assert_eq!(summary(&lost), may_have_run(Reason::BadAnswer));
    assert!(matches!(node.resolve("r"), Resolution::MayHaveRun));
}

#[tokio::test(start_paused = true)]
async fn execute_after_slots_increase() {
    let node = node();
    let slow = Behavior::Respond(Duration::from_secs(1));
    node.upstream.script.lock().unwrap().extend([slow; 4]);
    let started_at = now();
    let calls = ["a", "b", "c", "d"].map(|id| node.spawn(call(id, None)));
    sleep(MILLISECOND).await;
    node.announce(Phase::Ready, 4);
    for call in calls {
        let _reply = call.await.unwrap();
    }
    assert_eq!(now() - started_at, Duration::from_millis(1001));
}
