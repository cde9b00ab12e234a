//! Tests for the choice by locality, free slots and observations.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use lentilshunt_core::routing::{AttemptOutcome, LocalityAware, Nearest, Policy, RoundRobin};
use rand::{RngExt, SeedableRng, rngs::StdRng};

use super::fixture::{Fixture, SLOTS};

/// Longer than a slow start, which begins with the first observation of an endpoint.
const WARM: Duration = Duration::from_secs(6);

const ALL_TIERS: [&[&str]; 4] = [&["local"], &["near-1", "near-2"], &["region"], &["away"]];

/// Makes an attempt on each instance whose response reports the given number of free slots.
fn report_free_slots(
    fixture: &Fixture,
    instances: &[&str],
    free_slots: u32,
    now: std::time::Instant,
) {
    for instance in instances {
        fixture.end(instance, AttemptOutcome::Healthy, Some(free_slots), now);
    }
}

#[test]
fn choose_nearest_with_free_slots() {
    let fixture = Fixture::new(ALL_TIERS);
    // Creates the observations, which begins the slow start.
    let _ = fixture.choose(&LocalityAware, &[], fixture.origin, 0);
    let now = fixture.origin + WARM;
    let cases: [(&[&str], &str); 5] = [
        (&[], "local"),
        (&["local"], "near-1"),
        (&["local", "near-1"], "near-2"),
        (&["local", "near-1", "near-2"], "region"),
        (&["local", "near-1", "near-2", "region"], "away"),
    ];
    for (full, expected) in cases {
        report_free_slots(&fixture, full, 0, now);
        assert_eq!(
            fixture.choose(&LocalityAware, &[], now, 0),
            expected,
            "{full:?}"
        );
    }
}

#[test]
fn choose_untried_only() {
    let fixture = Fixture::new(ALL_TIERS);
    let all = ["local", "near-1", "near-2", "region", "away"];
    let now = fixture.origin + WARM;
    for policy in [
        &LocalityAware as &dyn Policy,
        &Nearest,
        &RoundRobin::default(),
    ] {
        assert_eq!(fixture.choose(policy, &all, now, 0), "no candidate");
        assert_eq!(fixture.choose(policy, &all[..4], now, 0), "away");
    }
}

#[test]
fn choose_round_robin_all_tiers() {
    let fixture = Fixture::new(ALL_TIERS);
    let policy = RoundRobin::default();
    let chosen = [(); 6].map(|()| fixture.choose(&policy, &[], fixture.origin, 0));
    assert_eq!(
        chosen,
        ["local", "near-1", "near-2", "region", "away", "local"]
    );
}

#[test]
fn choose_spillover_hysteresis() {
    let fixture = Fixture::new([&[], &["near-1", "near-2"], &[], &["away"]]);
    let now = fixture.origin + WARM;
    report_free_slots(&fixture, &["near-1", "near-2"], 0, now);
    assert_eq!(fixture.choose(&LocalityAware, &[], now, 0), "away");
    // One free slot of eight is too few to return while the spillover is recent.
    report_free_slots(&fixture, &["near-1"], 1, now);
    assert_eq!(fixture.choose(&LocalityAware, &[], now, 0), "away");
    // A quarter of the slots is enough.
    report_free_slots(&fixture, &["near-1"], 2, now);
    assert_eq!(fixture.choose(&LocalityAware, &[], now, 0), "near-1");
    // Without a recent spillover, one free slot is enough to stay in the region.
    let later = now + Duration::from_secs(2);
    report_free_slots(&fixture, &["near-1"], 1, later);
    report_free_slots(&fixture, &["near-2"], 0, later);
    assert_eq!(fixture.choose(&LocalityAware, &[], later, 0), "near-1");
}

#[test]
fn choose_all_full() {
    let fixture = Fixture::new([&["local"], &["near-1"], &[], &["away"]]);
    let now = fixture.origin + WARM;
    for instance in ["local", "near-1", "away"] {
        fixture.end(instance, AttemptOutcome::Full, Some(0), now);
    }
    assert_eq!(fixture.choose(&LocalityAware, &[], now, 0), "full");
    let later = now + Duration::from_millis(25);
    assert_eq!(fixture.choose(&LocalityAware, &[], later, 0), "local");
}

/// If no endpoint is predicted to have a free slot, calls queue in the same region.
#[test]
fn choose_queue_in_region() {
    let fixture = Fixture::new([&["local"], &[], &[], &["away"]]);
    let now = fixture.origin + WARM;
    report_free_slots(&fixture, &["local", "away"], 0, now);
    assert_eq!(fixture.choose(&LocalityAware, &[], now, 0), "local");
}

#[test]
fn choose_draining() {
    let mut fixture = Fixture::new([&["local"], &["near-1"], &[], &[]]);
    let now = fixture.origin + WARM;
    fixture.end("local", AttemptOutcome::Draining, None, now);
    assert_eq!(fixture.choose(&LocalityAware, &[], now, 0), "near-1");
    let later = now + Duration::from_secs(9);
    assert_eq!(fixture.choose(&LocalityAware, &[], later, 0), "near-1");
    // A changed record of the same incarnation makes the endpoint available again.
    let mut changed = (*fixture.endpoint("local")).clone();
    changed.free_slots -= 1;
    fixture.route.tiers[0] = vec![Arc::new(changed)];
    assert_eq!(fixture.choose(&LocalityAware, &[], later, 0), "local");
}

/// A record without free slots must not exclude an idle endpoint, and a report of free slots must
/// not keep calls on a full one.
#[test]
fn choose_misleading_free_slots() {
    let mut fixture = Fixture::new([&["local"], &["near-1"], &[], &[]]);
    let now = fixture.origin + WARM;
    let mut busy = (*fixture.endpoint("local")).clone();
    busy.free_slots = 0;
    fixture.route.tiers[0] = vec![Arc::new(busy)];
    assert_eq!(fixture.choose(&LocalityAware, &[], now, 0), "local");
    fixture.end("local", AttemptOutcome::Healthy, Some(SLOTS), now);
    assert_eq!(fixture.choose(&LocalityAware, &[], now, 0), "local");
    fixture.end("near-1", AttemptOutcome::Full, None, now);
    fixture.end("local", AttemptOutcome::Full, None, now);
    assert_eq!(fixture.choose(&LocalityAware, &[], now, 0), "full");
}

/// An endpoint receives a small share of the calls after its start, and its full share later.
#[test]
fn choose_slow_start() {
    let fixture = Fixture::new([&[], &["old", "new"], &[], &[]]);
    let _old_state = fixture
        .observations
        .endpoint_state(&fixture.endpoint("old"), fixture.origin);
    let started_at = fixture.origin + WARM;
    let _new_state = fixture
        .observations
        .endpoint_state(&fixture.endpoint("new"), started_at);
    let share = |now| {
        let mut random = StdRng::seed_from_u64(1);
        let mut chosen: BTreeMap<String, u32> = BTreeMap::new();
        let attempts: Vec<_> = (0..SLOTS)
            .map(|_| {
                let name = fixture.choose(&LocalityAware, &[], now, random.random());
                *chosen.entry(name.clone()).or_default() += 1;
                fixture
                    .observations
                    .begin_attempt(&fixture.endpoint(&name), now)
            })
            .collect();
        drop(attempts);
        (chosen.get("old").copied(), chosen.get("new").copied())
    };
    assert_eq!(share(started_at), (Some(4), None));
    assert_eq!(share(started_at + WARM), (Some(2), Some(2)));
}

#[test]
fn choose_by_response_time() {
    let fixture = Fixture::new([&[], &["near-1", "near-2"], &[], &[]]);
    // Creates the observations, which begins the slow start.
    let _ = fixture.choose(&LocalityAware, &[], fixture.origin, 0);
    let now = fixture.origin + WARM;
    let choose = |now, random| fixture.choose(&LocalityAware, &[], now, random);
    fixture.respond("near-1", Duration::from_millis(300), now);
    // With only one known response time, the first of two equally loaded endpoints is chosen.
    assert_eq!(choose(now, 0), "near-1");
    fixture.respond("near-2", Duration::from_millis(100), now);
    assert_eq!([choose(now, 0), choose(now, 1)], ["near-2", "near-2"]);
    // Three calls in flight outweigh the lower response time.
    let endpoint = fixture.endpoint("near-2");
    let in_flight = [(); 3].map(|()| fixture.observations.begin_attempt(&endpoint, now));
    assert_eq!([choose(now, 0), choose(now, 1)], ["near-1", "near-1"]);
    drop(in_flight);
    // Expired response times do not count.
    let later = now + Duration::from_secs(4);
    assert_eq!([choose(later, 0), choose(later, 1)], ["near-1", "near-2"]);
}

#[test]
fn choose_local_unless_much_slower() {
    let fixture = Fixture::new([&["local"], &["near-1"], &[], &[]]);
    // Creates the observations, which begins the slow start.
    let _ = fixture.choose(&LocalityAware, &[], fixture.origin, 0);
    let now = fixture.origin + WARM;
    let responses = [(150, "local"), (250, "near-1")];
    for (response_time, expected) in responses {
        // Far enough apart that response times of one case have expired in the next.
        let now = now + Duration::from_millis(response_time) * 40;
        fixture.respond("local", Duration::from_millis(response_time), now);
        fixture.respond("near-1", Duration::from_millis(100), now);
        assert_eq!(fixture.choose(&LocalityAware, &[], now, 0), expected);
    }
}
