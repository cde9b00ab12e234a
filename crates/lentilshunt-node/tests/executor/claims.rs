//! Tests of claims while the platform or the holders of claims fail.

use std::time::Duration;

use lentilshunt_core::{execution::Resolution, membership::Phase, verdict::Reason};
use tokio::time::{advance, sleep};

use crate::fixture::{
    Behavior, Fault, PLATFORM_TIMEOUT, TestFleet, call, may_have_run, not_run, now, ran, summary,
};

const MILLISECOND: Duration = Duration::from_millis(1);

#[tokio::test(start_paused = true)]
async fn execute_repeat_through_other_node() {
    let fleet = TestFleet::default();
    let (a, b) = (fleet.start("a", 1), fleet.start("b", 1));
    let first = a.execute(call("r", Some("k"))).await;
    let repeat = b.execute(call("s", Some("k"))).await;
    let same = a.execute(call("t", Some("k"))).await;
    assert_eq!(summary(&first), ran("r"));
    assert_eq!(summary(&repeat), ran("r"));
    assert_eq!(summary(&same), ran("r"));
    assert_eq!((a.runs(), b.runs()), (vec!["r".to_owned()], vec![]));
}

#[tokio::test(start_paused = true)]
async fn execute_repeat_while_first_runs() {
    let fleet = TestFleet::default();
    let (a, b) = (fleet.start("a", 1), fleet.start("b", 1));
    let slow = Behavior::Respond(Duration::from_millis(300));
    a.upstream.script.lock().unwrap().push_back(slow);
    let first = a.spawn(call("r", Some("k")));
    sleep(MILLISECOND * 10).await;
    let repeat = b.execute(call("s", Some("k"))).await;
    assert_eq!(summary(&repeat), ran("r"));
    assert_eq!(summary(&first.await.unwrap()), ran("r"));
    assert_eq!(b.runs(), Vec::<String>::new());
}

#[tokio::test(start_paused = true)]
async fn execute_repeat_with_other_body() {
    let fleet = TestFleet::default();
    let node = fleet.start("a", 1);
    let _first = node.execute(call("r", Some("k"))).await;
    let mut other = call("s", Some("k"));
    other.body = "bale 8".into();
    let refused = node.execute(other).await;
    assert_eq!(summary(&refused), not_run(Reason::Duplicate));
    assert_eq!(refused.status, 409);
    assert_eq!(node.runs(), ["r"]);
}

#[tokio::test(start_paused = true)]
async fn execute_repeat_after_holder_was_lost() {
    let fleet = TestFleet::default();
    let (a, b) = (fleet.start("a", 1), fleet.start("b", 1));
    let _first = a.execute(call("r", Some("k"))).await;
    fleet.disconnect("a");
    let repeat = b.execute(call("s", Some("k"))).await;
    assert_eq!(summary(&repeat), may_have_run(Reason::Duplicate));
    let restarted = fleet.start("a", 2);
    let repeat = restarted.execute(call("t", Some("k"))).await;
    assert_eq!(summary(&repeat), may_have_run(Reason::Duplicate));
    assert_eq!(b.runs().len() + restarted.runs().len(), 0);
}

#[tokio::test(start_paused = true)]
async fn execute_repeat_after_later_incarnation_barred_request() {
    let fleet = TestFleet::default();
    let (a, b) = (fleet.start("a", 1), fleet.start("b", 1));
    let _first = a.execute(call("r", Some("k"))).await;
    let restarted = fleet.start("a", 2);
    assert!(matches!(restarted.resolve("r"), Resolution::Barred));
    let repeat = b.execute(call("s", Some("k"))).await;
    assert_eq!(summary(&repeat), may_have_run(Reason::Duplicate));
    assert_eq!(b.runs(), Vec::<String>::new());
}

#[tokio::test(start_paused = true)]
async fn execute_repeat_cancelled_by_caller() {
    let fleet = TestFleet::default();
    let (a, b) = (fleet.start("a", 1), fleet.start("b", 1));
    let slow = Behavior::Respond(Duration::from_secs(1));
    a.upstream.script.lock().unwrap().push_back(slow);
    let _first = a.spawn(call("r", Some("k")));
    sleep(MILLISECOND * 10).await;
    let repeat = b.spawn(call("s", Some("k")));
    sleep(MILLISECOND * 10).await;
    assert!(matches!(b.resolve("s"), Resolution::Running));
    repeat.abort();
    sleep(MILLISECOND).await;
    // The first request with the key is running, so the repeat may have run.
    assert!(matches!(b.resolve("s"), Resolution::MayHaveRun));
}

#[tokio::test(start_paused = true)]
async fn execute_repeat_after_response_expired() {
    let fleet = TestFleet::default();
    let (a, b) = (fleet.start("a", 1), fleet.start("b", 1));
    let _first = a.execute(call("r", Some("k"))).await;
    // Past the retention of requests with a key (10 min).
    advance(Duration::from_secs(700)).await;
    // Another request makes the ledger remove expired entries.
    let _other = a.execute(call("x", None)).await;
    let repeat = b.execute(call("s", Some("k"))).await;
    assert_eq!(summary(&repeat), may_have_run(Reason::Duplicate));
    assert_eq!(b.runs(), Vec::<String>::new());
}

#[tokio::test(start_paused = true)]
async fn take_over_of_barred_request() {
    let fleet = TestFleet::default();
    let (a, b) = (fleet.start("a", 1), fleet.start("b", 1));
    a.upstream
        .script
        .lock()
        .unwrap()
        .push_back(Behavior::Refuse);
    let refused = a.execute(call("r", Some("k"))).await;
    assert_eq!(summary(&refused), not_run(Reason::Unreachable));
    let repeat = b.execute(call("r", Some("k"))).await;
    assert_eq!(summary(&repeat), ran("r"));
    let third = a.execute(call("s", Some("k"))).await;
    assert_eq!(summary(&third), ran("r"));
    assert_eq!((a.runs(), b.runs()), (vec![], vec!["r".to_owned()]));
}

#[tokio::test(start_paused = true)]
async fn take_over_from_holder_suspended_past_deadline() {
    let fleet = TestFleet::default();
    let (a, b) = (fleet.start("a", 1), fleet.start("b", 1));
    let slow = Behavior::Respond(Duration::from_secs(20));
    a.upstream.script.lock().unwrap().extend([slow, slow]);
    let _busy = ["x", "y"].map(|id| a.spawn(call(id, None)));
    sleep(MILLISECOND).await;
    // The request holds its claim while it waits for a slot.
    let first = a.spawn(call("r", Some("k")));
    sleep(MILLISECOND * 10).await;
    advance(Duration::from_mins(1)).await;
    let repeat = b.execute(call("s", Some("k"))).await;
    assert_eq!(summary(&repeat), ran("s"));
    assert_eq!(summary(&first.await.unwrap()), not_run(Reason::Deadline));
    assert_eq!(a.runs(), ["x", "y"]);
}

#[tokio::test(start_paused = true)]
async fn claim_with_platform_faults() {
    let cases = [
        (vec![Fault::LoseResponse], ran("r")),
        (vec![Fault::LoseRequest], ran("r")),
        (vec![Fault::LoseResponse, Fault::LoseResponse], ran("r")),
        (vec![Fault::Refuse; 5], ran("r")),
        (vec![Fault::Slow(PLATFORM_TIMEOUT / 2)], ran("r")),
        (vec![Fault::DelayedCommit(PLATFORM_TIMEOUT * 2)], ran("r")),
        (
            vec![Fault::LoseRequest; 9],
            not_run(Reason::ClaimUnavailable),
        ),
    ];
    for (faults, expected) in cases {
        let fleet = TestFleet::default();
        let (a, b) = (fleet.start("a", 1), fleet.start("b", 1));
        let label = format!("{faults:?}");
        fleet.platform.script(faults);
        let reply = a.execute(call("r", Some("k"))).await;
        assert_eq!(summary(&reply), expected, "{label}");
        fleet.platform.faults.lock().unwrap().clear();
        let repeat = b.execute(call("s", Some("k"))).await;
        let executed = if expected == ran("r") { "r" } else { "s" };
        assert_eq!(summary(&repeat), ran(executed), "{label}");
        assert_eq!(a.runs().len() + b.runs().len(), 1, "{label}");
    }
}

#[tokio::test(start_paused = true)]
async fn claim_committed_after_it_was_abandoned() {
    let fleet = TestFleet::default();
    let (a, b) = (fleet.start("a", 1), fleet.start("b", 1));
    let late = Fault::DelayedCommit(Duration::from_secs(6));
    fleet.platform.script([late; 4]);
    let refused = a.execute(call("r", Some("k"))).await;
    assert_eq!(summary(&refused), not_run(Reason::ClaimUnavailable));
    fleet.platform.faults.lock().unwrap().clear();
    sleep(Duration::from_secs(10)).await;
    assert_eq!(fleet.platform.rows.lock().unwrap().scan("claim/").len(), 1);
    let repeat = b.execute(call("s", Some("k"))).await;
    assert_eq!(summary(&repeat), ran("s"));
    assert_eq!((a.runs(), b.runs()), (vec![], vec!["s".to_owned()]));
}

#[tokio::test(start_paused = true)]
async fn claim_with_platform_down() {
    let fleet = TestFleet::default();
    let node = fleet.start("a", 1);
    *fleet.platform.default_fault.lock().unwrap() = Some(Fault::Refuse);
    let started_at = now();
    let refused = node.execute(call("r", Some("k"))).await;
    assert_eq!(summary(&refused), not_run(Reason::ClaimUnavailable));
    assert_eq!(now() - started_at, Duration::from_secs(3));
    // Requests without a key need no claim.
    let plain = node.execute(call("s", None)).await;
    assert_eq!(summary(&plain), ran("s"));
    *fleet.platform.default_fault.lock().unwrap() = None;
    let repeat = node.execute(call("t", Some("k"))).await;
    assert_eq!(summary(&repeat), ran("t"));
}

#[tokio::test(start_paused = true)]
async fn claims_share_transactions() {
    let fleet = TestFleet::default();
    let node = fleet.start("a", 1);
    node.announce(Phase::Ready, 100);
    *fleet.platform.default_fault.lock().unwrap() = Some(Fault::Slow(MILLISECOND * 10));
    let calls: Vec<_> = (0..50)
        .map(|id| node.spawn(call(&id.to_string(), Some(&format!("k{id}")))))
        .collect();
    for (id, call) in calls.into_iter().enumerate() {
        assert_eq!(summary(&call.await.unwrap()), ran(&id.to_string()));
    }
    assert!(*fleet.platform.transactions.lock().unwrap() <= 5);
}
