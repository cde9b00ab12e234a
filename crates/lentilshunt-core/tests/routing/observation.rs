//! Tests for ejection, probation and observations that persist across route table changes.

use std::{sync::Arc, time::Duration};

use lentilshunt_core::{
    routing::{AttemptOutcome, Availability, LocalityAware},
    verdict::{Reason, Verdict},
};
use rstest::rstest;

use super::fixture::Fixture;

const MILLISECOND: Duration = Duration::from_millis(1);

#[rstest]
#[case(Verdict::Ran, None, AttemptOutcome::Healthy)]
#[case(Verdict::NotRun, Some(Reason::QueueFull), AttemptOutcome::Full)]
#[case(Verdict::NotRun, Some(Reason::Deadline), AttemptOutcome::Full)]
#[case(Verdict::MayHaveRun, Some(Reason::Deadline), AttemptOutcome::Failed)]
#[case(Verdict::NotRun, Some(Reason::Draining), AttemptOutcome::Draining)]
#[case(Verdict::NotRun, Some(Reason::Unreachable), AttemptOutcome::Failed)]
#[case(
    Verdict::MayHaveRun,
    Some(Reason::UpstreamLost),
    AttemptOutcome::Failed
)]
#[case(Verdict::NotRun, Some(Reason::Duplicate), AttemptOutcome::Healthy)]
fn attempt_outcome_by_reason(
    #[case] verdict: Verdict,
    #[case] reason: Option<Reason>,
    #[case] expected: AttemptOutcome,
) {
    assert_eq!(AttemptOutcome::new(verdict, reason), expected);
}

#[test]
fn ejection_then_probation() {
    let fixture = Fixture::new([&[], &["bad", "good"], &[], &[]]);
    let mut now = fixture.origin;
    let bad = fixture.endpoint("bad");
    let availability = |now| fixture.observations.endpoint_state(&bad, now).availability;
    for expected in [
        Availability::Available,
        Availability::Available,
        Availability::Ejected,
    ] {
        fixture.end("bad", AttemptOutcome::Failed, None, now);
        assert_eq!(availability(now), expected);
    }
    assert_eq!(fixture.choose(&LocalityAware, &[], now, 0), "good");
    // During probation, only one attempt at a time is allowed.
    now += 501 * MILLISECOND;
    assert_eq!(availability(now), Availability::Available);
    let trial = fixture.observations.begin_attempt(&bad, now);
    assert_eq!(availability(now), Availability::Ejected);
    // A failed trial ejects the endpoint again immediately, for twice as long.
    trial.end(AttemptOutcome::Failed, None, now);
    now += 501 * MILLISECOND;
    assert_eq!(availability(now), Availability::Ejected);
    now += 500 * MILLISECOND;
    assert_eq!(availability(now), Availability::Available);
    // A successful trial ends the probation and begins a slow start.
    fixture.end("bad", AttemptOutcome::Healthy, None, now);
    let _second = fixture.observations.begin_attempt(&bad, now);
    assert_eq!(availability(now), Availability::Available);
    assert_eq!(
        fixture
            .observations
            .endpoint_state(&bad, now)
            .share_permille,
        100
    );
}

/// If every endpoint is ejected, the fault may be at this node, so all stay eligible.
#[test]
fn ejection_of_all_endpoints() {
    let fixture = Fixture::new([&["local"], &["near"], &[], &[]]);
    let now = fixture.origin;
    for _ in 0..3 {
        fixture.end("local", AttemptOutcome::Failed, None, now);
        fixture.end("near", AttemptOutcome::Failed, None, now);
    }
    assert_eq!(fixture.choose(&LocalityAware, &[], now, 0), "local");
}

#[test]
fn observation_kept_for_same_incarnation() {
    let fixture = Fixture::new([&["local"], &[], &[], &[]]);
    let now = fixture.origin;
    for _ in 0..3 {
        fixture.end("local", AttemptOutcome::Failed, None, now);
    }
    let mut same_incarnation = (*fixture.endpoint("local")).clone();
    same_incarnation.free_slots = 0;
    let mut next_incarnation = same_incarnation.clone();
    next_incarnation.incarnation += 1;
    let availability = |endpoint| {
        fixture
            .observations
            .endpoint_state(&endpoint, now)
            .availability
    };
    assert_eq!(availability(same_incarnation), Availability::Ejected);
    assert_eq!(availability(next_incarnation), Availability::Available);
}

#[test]
fn attempt_guard_dropped() {
    let fixture = Fixture::new([&["local"], &[], &[], &[]]);
    let local = fixture.endpoint("local");
    let before = fixture.observations.endpoint_state(&local, fixture.origin);
    let attempt = fixture.observations.begin_attempt(&local, fixture.origin);
    let during = fixture.observations.endpoint_state(&local, fixture.origin);
    assert_eq!((during.free_slots, during.load), (before.free_slots - 1, 1));
    drop(attempt);
    assert_eq!(
        fixture.observations.endpoint_state(&local, fixture.origin),
        before
    );
}

#[test]
fn observation_concurrent_updates() {
    let fixture = Arc::new(Fixture::new([&["local"], &[], &[], &[]]));
    let threads = [(); 4].map(|()| {
        let fixture = Arc::clone(&fixture);
        std::thread::spawn(move || {
            for _ in 0..1000 {
                fixture.end("local", AttemptOutcome::Healthy, None, fixture.origin);
            }
        })
    });
    for thread in threads {
        thread.join().expect("the thread does not panic");
    }
    let state = fixture
        .observations
        .endpoint_state(&fixture.endpoint("local"), fixture.origin);
    assert_eq!(state.load, 0);
}
