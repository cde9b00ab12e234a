//! Tests of requests that crash upstreams.

use std::{
    collections::BTreeSet,
    sync::Arc,
    time::{Duration, Instant},
};

use lentilshunt_core::{
    quarantine::Suspects,
    verdict::{Reason, Verdict},
};

use super::fixture::{Fixture, RESPONSE, Step, fail};

const CRASH: Step = fail(Verdict::MayHaveRun, Reason::UpstreamLost);
const RAN: (Verdict, Option<Reason>) = (Verdict::Ran, None);
const QUARANTINED: Option<Reason> = Some(Reason::Quarantined);

/// A request that crashes every upstream crashes only two, no matter how often it is sent.
#[tokio::test(start_paused = true)]
async fn dispatch_crash_repeated() {
    let suspects = Arc::new(Suspects::new(Instant::now()));
    let nodes = [(); 3].map(|()| Fixture::with_suspects(6, Arc::clone(&suspects)));
    let mut crashed_upstreams = 0;
    for round in 0..4 {
        for node in &nodes {
            let crashes = vec![CRASH; 4];
            *node.script.steps.lock().unwrap() = crashes.into();
            let (verdict, reason) = node.call_path("/crash", true).await;
            let is_first = round == 0 && crashed_upstreams == 0;
            let expected = if is_first {
                Verdict::MayHaveRun
            } else {
                Verdict::NotRun
            };
            assert_eq!((verdict, reason), (expected, QUARANTINED));
            crashed_upstreams += node.request_counts().0;
            node.script.executed.lock().unwrap().clear();
        }
    }
    assert_eq!(crashed_upstreams, 2);
}

/// A request in flight during a crash runs on the next upstream and is not suspected afterwards.
#[tokio::test(start_paused = true)]
async fn dispatch_in_flight_during_crash() {
    let fixture = Fixture::new(6).steps(&[CRASH, RESPONSE, CRASH]);
    assert_eq!(fixture.call_path("/in-flight", true).await, RAN);
    assert_eq!(fixture.call_path("/in-flight", true).await, RAN);
    let executed = fixture.script.executed.lock().unwrap().clone();
    assert_eq!(executed.len(), 4);
    // Past the window in which losses of an upstream count as one.
    tokio::time::sleep(Duration::from_secs(3)).await;
    assert_eq!(fixture.call_path("/in-flight", true).await, RAN);
}

/// A request that is not idempotent is not retried after a crash.
#[tokio::test(start_paused = true)]
async fn dispatch_crash_not_idempotent() {
    let fixture = Fixture::new(6).steps(&[CRASH]);
    let expected = (Verdict::MayHaveRun, Some(Reason::UpstreamLost));
    assert_eq!(fixture.call_path("/once", false).await, expected);
    let executed = fixture.script.executed.lock().unwrap().clone();
    assert_eq!(BTreeSet::from_iter(executed).len(), 1);
}
