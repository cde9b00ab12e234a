//! Each way in which an attempt may end.

use std::time::Duration;

use lentilshunt_core::verdict::{Reason, Verdict};
use lentilshunt_schema::call::Resolution;
use rstest::rstest;
use tokio::time::Instant;

use super::fixture::{ANSWER, Fixture, Step, TIMEOUT, Told, fail};

const LOST: Step = fail(Verdict::MayHaveRun, Reason::ConnectionLost);
const LATE: Step = Step::Reply(Duration::from_secs(3), Verdict::Ran, None);
const RAN: (Verdict, Option<Reason>) = (Verdict::Ran, None);
const UNKNOWN: (Verdict, Option<Reason>) = (Verdict::MayHaveRun, Some(Reason::ConnectionLost));

/// A request that may run once: the outcome, and how many attempts and questions it took.
#[rstest]
#[case::answered(&[ANSWER], &[], RAN, (1, 0))]
#[case::refused(&[fail(Verdict::NotRun, Reason::QueueFull)], &[], RAN, (2, 0))]
#[case::unreachable(&[fail(Verdict::NotRun, Reason::Unreachable)], &[], RAN, (2, 0))]
#[case::lost_barred(&[LOST], &[Some(Resolution::Barred)], RAN, (2, 1))]
#[case::lost_answered(&[LOST], &[Some(Resolution::Answered)], RAN, (1, 1))]
#[case::lost_running(
    &[LOST], &[Some(Resolution::Running), Some(Resolution::Answered)], RAN, (1, 2))]
#[case::lost_unknown(&[LOST], &[Some(Resolution::MayHaveRun)], UNKNOWN, (1, 1))]
#[case::lost_gone(&[LOST], &[None, None], UNKNOWN, (1, 2))]
#[case::lost_asked_again(&[LOST], &[None, Some(Resolution::Barred)], RAN, (2, 2))]
#[case::silent_barred(&[Step::Silent], &[Some(Resolution::Barred)], RAN, (2, 1))]
#[case::silent_answered(&[Step::Silent], &[Some(Resolution::Answered)], RAN, (1, 1))]
#[case::late(&[LATE], &[Some(Resolution::Running), None], RAN, (1, 3))]
#[case::upstream_lost(&[fail(Verdict::MayHaveRun, Reason::UpstreamLost)], &[],
    (Verdict::MayHaveRun, Some(Reason::UpstreamLost)), (1, 0))]
#[tokio::test(start_paused = true)]
async fn dispatch_not_idempotent(
    #[case] steps: &[Step],
    #[case] told: &[Told],
    #[case] expected: (Verdict, Option<Reason>),
    #[case] counts: (usize, usize),
) {
    let fixture = Fixture::new(3).steps(steps).resolutions(told);
    assert_eq!(fixture.call(false).await, expected);
    assert_eq!(fixture.counts(), counts);
}

/// A frozen executing node keeps a request that may run once, which is never tried elsewhere.
#[tokio::test(start_paused = true)]
async fn dispatch_frozen_not_idempotent() {
    let fixture = Fixture::new(3).steps(&[Step::Silent]);
    let begun_at = Instant::now();
    let expected = (Verdict::MayHaveRun, Some(Reason::Deadline));
    assert_eq!(fixture.call(false).await, expected);
    assert_eq!(fixture.counts().0, 1);
    assert!(begun_at.elapsed() <= TIMEOUT + Duration::from_secs(1));
}

/// A frozen executing node does not take the deadline of an idempotent request.
#[tokio::test(start_paused = true)]
async fn dispatch_frozen_idempotent() {
    let fixture = Fixture::new(3).steps(&[Step::Silent]);
    let begun_at = Instant::now();
    assert_eq!(fixture.call(true).await, RAN);
    assert_eq!(fixture.counts(), (2, 1));
    assert!(begun_at.elapsed() < Duration::from_secs(1));
}

/// A frozen upstream beside the node does not take the deadline of an idempotent request.
#[tokio::test(start_paused = true)]
async fn dispatch_frozen_own_upstream() {
    let alive = Some(Resolution::MayHaveRun);
    let fixture = Fixture::beside(3, "i1")
        .steps(&[Step::Silent])
        .resolutions(&[alive]);
    let begun_at = Instant::now();
    assert_eq!(fixture.call(true).await, RAN);
    let executed = fixture.script.executed.lock().unwrap().clone();
    assert_eq!((executed[0].as_str(), executed.len()), ("i1", 2));
    assert!(begun_at.elapsed() < TIMEOUT / 2);
}

/// A connection that went silent while its node answers questions costs a part of the deadline.
#[tokio::test(start_paused = true)]
async fn dispatch_silent_idempotent() {
    let alive = Some(Resolution::MayHaveRun);
    let fixture = Fixture::new(3).steps(&[Step::Silent]).resolutions(&[alive]);
    let begun_at = Instant::now();
    assert_eq!(fixture.call(true).await, RAN);
    assert_eq!(fixture.counts(), (2, 1));
    assert!(begun_at.elapsed() < TIMEOUT / 2);
}

#[tokio::test(start_paused = true)]
async fn dispatch_slow_idempotent() {
    let alive = Some(Resolution::MayHaveRun);
    let fixture = Fixture::new(3).steps(&[LATE]).resolutions(&[alive]);
    assert_eq!(fixture.call(true).await, RAN);
    assert_eq!(fixture.counts(), (1, 1));
}

/// What a later attempt was refused does not hide that an earlier one may have run.
#[tokio::test(start_paused = true)]
async fn dispatch_worst_verdict() {
    let refused = fail(Verdict::NotRun, Reason::QueueFull);
    let fixture = Fixture::new(3).steps(&[LOST, refused.clone(), refused]);
    let expected = (Verdict::MayHaveRun, Some(Reason::QueueFull));
    assert_eq!(fixture.call(true).await, expected);
    assert_eq!(fixture.counts().0, 3);
}

#[tokio::test(start_paused = true)]
async fn dispatch_draining_avoided() {
    let fixture = Fixture::new(2).steps(&[fail(Verdict::NotRun, Reason::Draining)]);
    for _ in 0..8 {
        assert_eq!(fixture.call(false).await, RAN);
    }
    let executed = fixture.script.executed.lock().unwrap().clone();
    let drained = executed.iter().filter(|instance| **instance == executed[0]);
    assert_eq!((executed.len(), drained.count()), (9, 1));
}

/// Every candidate refused a moment ago, so the next call is refused without an attempt.
#[tokio::test(start_paused = true)]
async fn dispatch_no_room() {
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
    assert_eq!(fixture.counts().0, 2);
    tokio::time::sleep(Duration::from_millis(30)).await;
    assert_eq!(fixture.call(false).await, RAN);
}

#[tokio::test(start_paused = true)]
async fn dispatch_retry_budget() {
    const CALLS: usize = 100;
    let fixture = Fixture::new(3);
    for instance in ["i1", "i2", "i3"] {
        let step = fail(Verdict::NotRun, Reason::NotReady);
        fixture.script.set(instance, step);
    }
    let mut last = None;
    for _ in 0..CALLS {
        last = Some(fixture.call(true).await);
    }
    assert_eq!(last, Some((Verdict::NotRun, Some(Reason::RetryBudget))));
    // A tenth of the first attempts, and the floor.
    assert!(fixture.counts().0 <= CALLS + CALLS / 10 + 10);
}

#[tokio::test(start_paused = true)]
async fn dispatch_no_endpoint() {
    let expected = (Verdict::NotRun, Some(Reason::NoEndpoint));
    assert_eq!(Fixture::new(0).call(true).await, expected);
}

/// Callers that give too little time do not eject endpoints; silence does.
#[rstest]
#[case::short(100, true)]
#[case::silent(1000, false)]
#[tokio::test(start_paused = true)]
async fn dispatch_late(#[case] timeout_ms: u64, #[case] expected: bool) {
    const CALLS: usize = 80;
    let fixture = Fixture::new(2);
    let timeout = Duration::from_millis(timeout_ms);
    let late = Step::Reply(timeout, Verdict::MayHaveRun, Some(Reason::Deadline));
    fixture.script.set("i1", late);
    for _ in 0..CALLS {
        fixture.call_within("/path", false, timeout).await;
    }
    let executed = fixture.script.executed.lock().unwrap().clone();
    let late = executed.iter().filter(|instance| *instance == "i1").count();
    // Without ejection each call goes to either endpoint; with it, few do.
    assert_eq!(late > CALLS / 5, expected, "{late} of {CALLS}");
}
