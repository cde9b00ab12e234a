//! Tests of the possible outcomes of attempts.

use std::time::Duration;

use lentilshunt_core::verdict::{Reason, Verdict};
use lentilshunt_schema::call::Resolution;
use rstest::rstest;
use tokio::time::Instant;

use super::fixture::{Fixture, RESPONSE, ResolutionResponse, Step, TIMEOUT, fail};

const LOST: Step = fail(Verdict::MayHaveRun, Reason::ConnectionLost);
const SLOW: Step = Step::Reply(Duration::from_secs(3), Verdict::Ran, None);
const RAN: (Verdict, Option<Reason>) = (Verdict::Ran, None);
const UNKNOWN: (Verdict, Option<Reason>) = (Verdict::MayHaveRun, Some(Reason::ConnectionLost));

/// Checks the outcome of a call and its number of attempts and resolution requests.
#[rstest]
#[case::responded(&[RESPONSE], &[], RAN, (1, 0))]
#[case::refused(&[fail(Verdict::NotRun, Reason::QueueFull)], &[], RAN, (2, 0))]
#[case::unreachable(&[fail(Verdict::NotRun, Reason::Unreachable)], &[], RAN, (2, 0))]
#[case::lost_barred(&[LOST], &[Some(Resolution::Barred)], RAN, (2, 1))]
#[case::lost_answered(&[LOST], &[Some(Resolution::Answered)], RAN, (1, 1))]
#[case::lost_running(
    &[LOST], &[Some(Resolution::Running), Some(Resolution::Answered)], RAN, (1, 2))]
#[case::lost_unknown(&[LOST], &[Some(Resolution::MayHaveRun)], UNKNOWN, (1, 1))]
#[case::lost_gone(&[LOST], &[None, None], UNKNOWN, (1, 2))]
#[case::lost_resolved_again(&[LOST], &[None, Some(Resolution::Barred)], RAN, (2, 2))]
#[case::no_reply_barred(&[Step::NoResponse], &[Some(Resolution::Barred)], RAN, (2, 1))]
#[case::no_reply_answered(&[Step::NoResponse], &[Some(Resolution::Answered)], RAN, (1, 1))]
#[case::slow(&[SLOW], &[Some(Resolution::Running), None], RAN, (1, 3))]
#[case::upstream_lost(&[fail(Verdict::MayHaveRun, Reason::UpstreamLost)], &[],
    (Verdict::MayHaveRun, Some(Reason::UpstreamLost)), (1, 0))]
#[tokio::test(start_paused = true)]
async fn dispatch_not_idempotent(
    #[case] steps: &[Step],
    #[case] resolutions: &[ResolutionResponse],
    #[case] expected: (Verdict, Option<Reason>),
    #[case] request_counts: (usize, usize),
) {
    let fixture = Fixture::new(3).steps(steps).resolutions(resolutions);
    assert_eq!(fixture.call(false).await, expected);
    assert_eq!(fixture.request_counts(), request_counts);
}

/// A request that is not idempotent is not retried while its executing node is unresponsive.
#[tokio::test(start_paused = true)]
async fn dispatch_unresponsive_node_not_idempotent() {
    let fixture = Fixture::new(3).steps(&[Step::NoResponse]);
    let started_at = Instant::now();
    let expected = (Verdict::MayHaveRun, Some(Reason::Deadline));
    assert_eq!(fixture.call(false).await, expected);
    assert_eq!(fixture.request_counts().0, 1);
    assert!(started_at.elapsed() <= TIMEOUT + Duration::from_secs(1));
}

/// An unresponsive executing node does not use up the deadline of an idempotent request.
#[tokio::test(start_paused = true)]
async fn dispatch_unresponsive_node_idempotent() {
    let fixture = Fixture::new(3).steps(&[Step::NoResponse]);
    let started_at = Instant::now();
    assert_eq!(fixture.call(true).await, RAN);
    assert_eq!(fixture.request_counts(), (2, 1));
    assert!(started_at.elapsed() < Duration::from_secs(1));
}

/// An unresponsive local upstream does not use up the deadline of an idempotent request.
#[tokio::test(start_paused = true)]
async fn dispatch_unresponsive_local_upstream() {
    let node_responds = Some(Resolution::MayHaveRun);
    let fixture = Fixture::on_instance(3, "i1")
        .steps(&[Step::NoResponse])
        .resolutions(&[node_responds]);
    let started_at = Instant::now();
    assert_eq!(fixture.call(true).await, RAN);
    let executed = fixture.script.executed.lock().unwrap().clone();
    assert_eq!((executed[0].as_str(), executed.len()), ("i1", 2));
    assert!(started_at.elapsed() < TIMEOUT / 2);
}

/// An unresponsive connection costs only a part of the deadline if its node still responds.
#[tokio::test(start_paused = true)]
async fn dispatch_unresponsive_connection_idempotent() {
    let node_responds = Some(Resolution::MayHaveRun);
    let fixture = Fixture::new(3)
        .steps(&[Step::NoResponse])
        .resolutions(&[node_responds]);
    let started_at = Instant::now();
    assert_eq!(fixture.call(true).await, RAN);
    assert_eq!(fixture.request_counts(), (2, 1));
    assert!(started_at.elapsed() < TIMEOUT / 2);
}

/// A slow reply is not abandoned as long as the executing node responds.
#[tokio::test(start_paused = true)]
async fn dispatch_slow_idempotent() {
    let node_responds = Some(Resolution::MayHaveRun);
    let fixture = Fixture::new(3).steps(&[SLOW]).resolutions(&[node_responds]);
    assert_eq!(fixture.call(true).await, RAN);
    assert_eq!(fixture.request_counts(), (1, 1));
}

/// The refusal of a later attempt does not hide that an earlier one may have run.
#[tokio::test(start_paused = true)]
async fn dispatch_combined_verdict() {
    let refused = fail(Verdict::NotRun, Reason::QueueFull);
    let fixture = Fixture::new(3).steps(&[LOST, refused.clone(), refused]);
    let expected = (Verdict::MayHaveRun, Some(Reason::QueueFull));
    assert_eq!(fixture.call(true).await, expected);
    assert_eq!(fixture.request_counts().0, 3);
}

#[tokio::test(start_paused = true)]
async fn dispatch_avoids_draining() {
    let fixture = Fixture::new(2).steps(&[fail(Verdict::NotRun, Reason::Draining)]);
    for _ in 0..8 {
        assert_eq!(fixture.call(false).await, RAN);
    }
    let executed = fixture.script.executed.lock().unwrap().clone();
    let attempts_on_draining = executed.iter().filter(|instance| **instance == executed[0]);
    assert_eq!((executed.len(), attempts_on_draining.count()), (9, 1));
}

/// All endpoints have just refused a call, so the next call is refused without an attempt.
#[tokio::test(start_paused = true)]
async fn dispatch_no_free_slots() {
    let full = fail(Verdict::NotRun, Reason::QueueFull);
    let fixture = Fixture::new(2).steps(&[full.clone(), full]);
    assert_eq!(
        fixture.call(false).await,
        (Verdict::NotRun, Some(Reason::QueueFull))
    );
    assert_eq!(
        fixture.call(false).await,
        (Verdict::NotRun, Some(Reason::NoRoom))
    );
    assert_eq!(fixture.request_counts().0, 2);
    // Past the time for which a refusal marks an endpoint as full.
    tokio::time::sleep(Duration::from_millis(30)).await;
    assert_eq!(fixture.call(false).await, RAN);
}

#[tokio::test(start_paused = true)]
async fn dispatch_retry_budget() {
    const CALLS: usize = 100;
    let fixture = Fixture::new(3);
    for instance in ["i1", "i2", "i3"] {
        let step = fail(Verdict::NotRun, Reason::NotReady);
        fixture.script.set_step(instance, step);
    }
    let mut last = None;
    for _ in 0..CALLS {
        last = Some(fixture.call(true).await);
    }
    assert_eq!(last, Some((Verdict::NotRun, Some(Reason::RetryBudget))));
    // A tenth of the first attempts, plus the minimum budget of 10.
    assert!(fixture.request_counts().0 <= CALLS + CALLS / 10 + 10);
}

#[tokio::test(start_paused = true)]
async fn dispatch_no_endpoint() {
    let expected = (Verdict::NotRun, Some(Reason::NoEndpoint));
    assert_eq!(Fixture::new(0).call(true).await, expected);
}

/// Timeouts that callers set too short do not eject an endpoint; a lack of replies does.
#[rstest]
#[case::short_timeout(100, true)]
#[case::no_reply(1000, false)]
#[tokio::test(start_paused = true)]
async fn dispatch_deadline_exceeded(#[case] timeout_ms: u64, #[case] is_selected: bool) {
    const CALLS: usize = 80;
    let fixture = Fixture::new(2);
    let timeout = Duration::from_millis(timeout_ms);
    let deadline_exceeded = Step::Reply(timeout, Verdict::MayHaveRun, Some(Reason::Deadline));
    fixture.script.set_step("i1", deadline_exceeded);
    for _ in 0..CALLS {
        fixture.call_within("/path", false, timeout).await;
    }
    let executed = fixture.script.executed.lock().unwrap().clone();
    let calls = executed.iter().filter(|instance| *instance == "i1").count();
    // Without ejection, both endpoints receive calls; with it, `i1` receives few.
    assert_eq!(calls > CALLS / 5, is_selected, "{calls} of {CALLS}");
}
