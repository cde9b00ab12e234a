//! Tests of calls to upstreams that limit the rate of requests.

use std::time::{Duration, Instant};

use hyper::{HeaderMap, Method, StatusCode};
use lentilshunt_core::{
    membership::Phase,
    overload::{Kind, Notice, Patience},
};
use lentilshunt_node::relay::{Call, body::empty, clock::Moment};

use crate::fixture::{Node, call, nodes, report};

/// Limit that upstreams name in responses to requests under `/limited/`, in requests per second.
const LIMIT: usize = 10;
/// Time for which callers send as fast as they get responses.
const LOAD_TIME: Duration = Duration::from_secs(2);
/// Number of callers of each node.
const CALLERS: usize = 4;
/// Longest time in which a caller is refused whose request no upstream takes in time.
const MAX_REFUSAL_TIME: Duration = Duration::from_millis(700);

/// Calls a node again and again for [`LOAD_TIME`], and returns the statuses with the slowest call.
async fn call_repeatedly(node: &Node, path: &str) -> (Vec<StatusCode>, Duration) {
    let started_at = Instant::now();
    let mut statuses = Vec::new();
    let mut slowest = Duration::ZERO;
    while started_at.elapsed() < LOAD_TIME {
        let called_at = Instant::now();
        let response = call(node, path, &[("deadline", "600")], empty()).await;
        slowest = slowest.max(called_at.elapsed());
        statuses.push(response.status);
    }
    (statuses, slowest)
}

// Upstreams got more requests than the rate limit that they had named.
#[tokio::test]
async fn call_beyond_rate_limit() {
    let nodes = nodes(2).await;
    let callers = nodes
        .iter()
        .flat_map(|node| std::iter::repeat_n(node, CALLERS));
    let results =
        futures_util::future::join_all(callers.map(|node| call_repeatedly(node, "/limited/")))
            .await;
    for node in &nodes {
        let received = node.upstream.received.lock().unwrap().len();
        let seconds = usize::try_from(LOAD_TIME.as_secs()).unwrap();
        let allowed = LIMIT * seconds * 3 / 2 + 5;
        assert!(
            received <= allowed,
            "{received} requests, {allowed} allowed"
        );
        // The limit is used.
        assert!(received >= LIMIT * seconds / 2, "{received} requests");
    }
    for (statuses, slowest) in results {
        let is_expected = |status: &StatusCode| {
            [StatusCode::OK, StatusCode::SERVICE_UNAVAILABLE].contains(status)
        };
        assert!(statuses.iter().all(is_expected), "{statuses:?}");
        assert!(slowest <= MAX_REFUSAL_TIME, "{slowest:?}");
    }
}

// Requests past their target latency were held for a turn that others then took.
#[test]
fn applicant_of_each_patience() {
    let now = Moment::now();
    let call = Call {
        request_id: "id-1".to_owned(),
        service: "bales".into(),
        caller: "bales".to_owned(),
        method: Method::GET,
        path: "/".to_owned(),
        headers: HeaderMap::new(),
        idempotent: true,
        rank: 0,
        kind: Kind {
            rank: 0,
            idempotent: true,
        },
        arrived_at: now,
        deadline: now.instant() + Duration::from_secs(2),
        target_at: now.instant() + Duration::from_secs(1),
        is_nested: false,
        patience: Patience::Brief,
        has_unread_body: false,
        fingerprint: 0,
    };
    let waits_for_turn = |patience| {
        let call = Call {
            patience,
            ..call.clone()
        };
        call.applicant().waits_for_turn
    };
    assert!(!waits_for_turn(Patience::Brief));
    assert!(waits_for_turn(Patience::UntilTarget));
    assert!(!waits_for_turn(Patience::UntilDeadline));
}

// A node that had restarted sent its upstream more than the limit that other nodes knew.
#[tokio::test]
async fn apply_notice_of_each_process() {
    let nodes = nodes(1).await;
    let executor = &nodes[0].executor;
    let own = executor.notice().expect("an upstream");
    let limited = |process| Notice {
        process,
        rate_limit: "10.0".parse().ok(),
        is_leaving: false,
    };
    executor.apply_notice(&limited(own.process + 1));
    assert_eq!(executor.notice(), Some(own));
    executor.apply_notice(&limited(own.process));
    assert_eq!(executor.notice(), Some(limited(own.process)));
    // The upstream itself says that it has no limit.
    call(&nodes[0], "/free/", &[], empty()).await;
    assert_eq!(executor.notice(), Some(own));
    call(&nodes[0], "/limited/", &[], empty()).await;
    assert_eq!(executor.notice(), Some(limited(own.process)));
    // A refusal without a limit does not end it.
    call(&nodes[0], "/full/", &[], empty()).await;
    assert_eq!(executor.notice(), Some(limited(own.process)));
    // Another process has not named a limit.
    executor.apply_report(&report("p2", 1, Phase::Ready), Instant::now());
    let rate_limit = executor.notice().map(|notice| notice.rate_limit);
    assert_eq!(rate_limit, Some(None));
}
