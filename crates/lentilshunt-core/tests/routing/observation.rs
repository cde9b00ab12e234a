//! Ejection, probation and what outlives a change of the route table.

use std::{sync::Arc, time::Duration};

use lentilshunt_core::{
    routing::{Availability, Local, Outcome},
    verdict::{Reason, Verdict},
};
use rstest::rstest;

use super::fixture::Fixture;

const MILLISECOND: Duration = Duration::from_millis(1);

#[rstest]
#[case(Verdict::Ran, None, Outcome::Healthy)]
#[case(Verdict::NotRun, Some(Reason::QueueFull), Outcome::Full)]
#[case(Verdict::NotRun, Some(Reason::Deadline), Outcome::Full)]
#[case(Verdict::MayHaveRun, Some(Reason::Deadline), Outcome::Failed)]
#[case(Verdict::NotRun, Some(Reason::Draining), Outcome::Draining)]
#[case(Verdict::NotRun, Some(Reason::Unreachable), Outcome::Failed)]
#[case(Verdict::MayHaveRun, Some(Reason::UpstreamLost), Outcome::Failed)]
#[case(Verdict::NotRun, Some(Reason::Duplicate), Outcome::Healthy)]
fn outcome_new(
    #[case] verdict: Verdict,
    #[case] reason: Option<Reason>,
    #[case] expected: Outcome,
) {
    assert_eq!(Outcome::new(verdict, reason), expected);
}

#[test]
fn ejection_and_probation() {
    let fixture = Fixture::new([&[], &["bad", "good"], &[], &[]]);
    let mut now = fixture.origin;
    let bad = fixture.endpoint("bad");
    let availability = |now| fixture.observations.standing(&bad, now).availability;
    for expected in [
        Availability::Open,
        Availability::Open,
        Availability::Ejected,
    ] {
        fixture.end("bad", Outcome::Failed, None, now);
        assert_eq!(availability(now), expected);
    }
    assert_eq!(fixture.choose(&Local, &[], now, 0), "good");
    // Probation: one attempt at a time.
    now += 501 * MILLISECOND;
    assert_eq!(availability(now), Availability::Open);
    let trial = fixture.observations.begin(&bad, now);
    assert_eq!(availability(now), Availability::Ejected);
    // A failed trial ejects at once, for twice as long.
    trial.end(Outcome::Failed, None, now);
    now += 501 * MILLISECOND;
    assert_eq!(availability(now), Availability::Ejected);
    now += 500 * MILLISECOND;
    assert_eq!(availability(now), Availability::Open);
    // A trial that succeeds ends the probation, with a slow start.
    fixture.end("bad", Outcome::Healthy, None, now);
    let _second = fixture.observations.begin(&bad, now);
    assert_eq!(availability(now), Availability::Open);
    assert_eq!(fixture.observations.standing(&bad, now).warmth, 100);
}

/// When everything seems to fail, the fault may be this node's, so all are tried.
#[test]
fn ejection_of_all() {
    let fixture = Fixture::new([&["own"], &["near"], &[], &[]]);
    let now = fixture.origin;
    for _ in 0..3 {
        fixture.end("own", Outcome::Failed, None, now);
        fixture.end("near", Outcome::Failed, None, now);
    }
    assert_eq!(fixture.choose(&Local, &[], now, 0), "own");
}

#[test]
fn observation_new_record() {
    let fixture = Fixture::new([&["own"], &[], &[], &[]]);
    let now = fixture.origin;
    for _ in 0..3 {
        fixture.end("own", Outcome::Failed, None, now);
    }
    let mut same_start = (*fixture.endpoint("own")).clone();
    same_start.free_slots = 0;
    let mut next_start = same_start.clone();
    next_start.incarnation += 1;
    let availability = |endpoint| fixture.observations.standing(&endpoint, now).availability;
    assert_eq!(availability(same_start), Availability::Ejected);
    assert_eq!(availability(next_start), Availability::Open);
}

#[test]
fn attempt_dropped() {
    let fixture = Fixture::new([&["own"], &[], &[], &[]]);
    let own = fixture.endpoint("own");
    let before = fixture.observations.standing(&own, fixture.origin);
    let attempt = fixture.observations.begin(&own, fixture.origin);
    let during = fixture.observations.standing(&own, fixture.origin);
    assert_eq!((during.room, during.load), (before.room - 1, 1));
    drop(attempt);
    assert_eq!(fixture.observations.standing(&own, fixture.origin), before);
}

#[test]
fn observation_parallel() {
    let fixture = Arc::new(Fixture::new([&["own"], &[], &[], &[]]));
    let threads = [(); 4].map(|()| {
        let fixture = Arc::clone(&fixture);
        std::thread::spawn(move || {
            for _ in 0..1000 {
                fixture.end("own", Outcome::Healthy, None, fixture.origin);
            }
        })
    });
    for thread in threads {
        thread.join().expect("no panic");
    }
    let standing = fixture
        .observations
        .standing(&fixture.endpoint("own"), fixture.origin);
    assert_eq!(standing.load, 0);
}
