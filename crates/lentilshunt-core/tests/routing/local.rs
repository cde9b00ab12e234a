//! The choice by locality, room and own observation.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use lentilshunt_core::routing::{Local, Nearest, Outcome, Policy, RoundRobin};
use rand::{RngExt, SeedableRng, rngs::StdRng};

use super::fixture::{Fixture, SLOTS};

/// Time after which every endpoint is warm.
const WARM: Duration = Duration::from_secs(6);

const ALL_TIERS: [&[&str]; 4] = [&["own"], &["near-1", "near-2"], &["region"], &["away"]];

/// Fills an endpoint as its node reports it.
fn fill(fixture: &Fixture, instances: &[&str], room: u32, now: std::time::Instant) {
    for instance in instances {
        fixture.end(instance, Outcome::Healthy, Some(room), now);
    }
}

#[test]
fn choose_by_distance() {
    let fixture = Fixture::new(ALL_TIERS);
    let _ = fixture.choose(&Local, &[], fixture.origin, 0);
    let now = fixture.origin + WARM;
    let cases: [(&[&str], &str); 5] = [
        (&[], "own"),
        (&["own"], "near-1"),
        (&["own", "near-1"], "near-2"),
        (&["own", "near-1", "near-2"], "region"),
        (&["own", "near-1", "near-2", "region"], "away"),
    ];
    for (full, expected) in cases {
        fill(&fixture, full, 0, now);
        assert_eq!(fixture.choose(&Local, &[], now, 0), expected, "{full:?}");
    }
}

#[test]
fn choose_tried() {
    let fixture = Fixture::new(ALL_TIERS);
    let all = ["own", "near-1", "near-2", "region", "away"];
    let now = fixture.origin + WARM;
    for policy in [&Local as &dyn Policy, &Nearest, &RoundRobin::default()] {
        assert_eq!(fixture.choose(policy, &all, now, 0), "absent");
        assert_eq!(fixture.choose(policy, &all[..4], now, 0), "away");
    }
}

#[test]
fn choose_round_robin() {
    let fixture = Fixture::new(ALL_TIERS);
    let policy = RoundRobin::default();
    let chosen = [(); 6].map(|()| fixture.choose(&policy, &[], fixture.origin, 0));
    assert_eq!(chosen, ["own", "near-1", "near-2", "region", "away", "own"]);
}

#[test]
fn choose_spill_hysteresis() {
    let fixture = Fixture::new([&[], &["near-1", "near-2"], &[], &["away"]]);
    let now = fixture.origin + WARM;
    fill(&fixture, &["near-1", "near-2"], 0, now);
    assert_eq!(fixture.choose(&Local, &[], now, 0), "away");
    // One free slot of eight is too little to come back while the spill is recent.
    fill(&fixture, &["near-1"], 1, now);
    assert_eq!(fixture.choose(&Local, &[], now, 0), "away");
    // A quarter of the slots is enough.
    fill(&fixture, &["near-1"], 2, now);
    assert_eq!(fixture.choose(&Local, &[], now, 0), "near-1");
    // Without a recent spill, one free slot is enough to stay.
    let later = now + Duration::from_secs(2);
    fill(&fixture, &["near-1"], 1, later);
    fill(&fixture, &["near-2"], 0, later);
    assert_eq!(fixture.choose(&Local, &[], later, 0), "near-1");
}

#[test]
fn choose_full() {
    let fixture = Fixture::new([&["own"], &["near-1"], &[], &["away"]]);
    let now = fixture.origin + WARM;
    for instance in ["own", "near-1", "away"] {
        fixture.end(instance, Outcome::Full, Some(0), now);
    }
    assert_eq!(fixture.choose(&Local, &[], now, 0), "full");
    let later = now + Duration::from_millis(25);
    assert_eq!(fixture.choose(&Local, &[], later, 0), "own");
}

/// Without predicted room anywhere, calls wait in the own region.
#[test]
fn choose_queue() {
    let fixture = Fixture::new([&["own"], &[], &[], &["away"]]);
    let now = fixture.origin + WARM;
    fill(&fixture, &["own", "away"], 0, now);
    assert_eq!(fixture.choose(&Local, &[], now, 0), "own");
}

#[test]
fn choose_draining() {
    let mut fixture = Fixture::new([&["own"], &["near-1"], &[], &[]]);
    let now = fixture.origin + WARM;
    fixture.end("own", Outcome::Draining, None, now);
    assert_eq!(fixture.choose(&Local, &[], now, 0), "near-1");
    let later = now + Duration::from_secs(9);
    assert_eq!(fixture.choose(&Local, &[], later, 0), "near-1");
    // A changed record of the same start ends it.
    let mut changed = (*fixture.endpoint("own")).clone();
    changed.free_slots -= 1;
    fixture.route.tiers[0] = vec![Arc::new(changed)];
    assert_eq!(fixture.choose(&Local, &[], later, 0), "own");
}

/// A published room of nothing does not keep calls from an idle endpoint, and
/// a published room of everything does not keep them on a full one.
#[test]
fn choose_misleading_room() {
    let mut fixture = Fixture::new([&["own"], &["near-1"], &[], &[]]);
    let now = fixture.origin + WARM;
    let mut busy = (*fixture.endpoint("own")).clone();
    busy.free_slots = 0;
    fixture.route.tiers[0] = vec![Arc::new(busy)];
    assert_eq!(fixture.choose(&Local, &[], now, 0), "own");
    fixture.end("own", Outcome::Healthy, Some(SLOTS), now);
    assert_eq!(fixture.choose(&Local, &[], now, 0), "own");
    fixture.end("near-1", Outcome::Full, None, now);
    fixture.end("own", Outcome::Full, None, now);
    assert_eq!(fixture.choose(&Local, &[], now, 0), "full");
}

/// An endpoint that has just started gets a small share, and later a full one.
#[test]
fn choose_slow_start() {
    let fixture = Fixture::new([&[], &["old", "new"], &[], &[]]);
    let _warming = fixture
        .observations
        .standing(&fixture.endpoint("old"), fixture.origin);
    let begun = fixture.origin + WARM;
    let _cold = fixture
        .observations
        .standing(&fixture.endpoint("new"), begun);
    let share = |now| {
        let mut random = StdRng::seed_from_u64(1);
        let mut chosen: BTreeMap<String, u32> = BTreeMap::new();
        let attempts: Vec<_> = (0..SLOTS)
            .map(|_| {
                let name = fixture.choose(&Local, &[], now, random.random());
                *chosen.entry(name.clone()).or_default() += 1;
                fixture.observations.begin(&fixture.endpoint(&name), now)
            })
            .collect();
        drop(attempts);
        (chosen.get("old").copied(), chosen.get("new").copied())
    };
    assert_eq!(share(begun), (Some(4), None));
    assert_eq!(share(begun + WARM), (Some(2), Some(2)));
}

#[test]
fn choose_by_response_time() {
    let fixture = Fixture::new([&[], &["near-1", "near-2"], &[], &[]]);
    let _ = fixture.choose(&Local, &[], fixture.origin, 0);
    let now = fixture.origin + WARM;
    let choose = |now, first| fixture.choose(&Local, &[], now, first);
    fixture.respond("near-1", Duration::from_millis(300), now);
    // Without a response time of both, the first of two equal ones is chosen.
    assert_eq!(choose(now, 0), "near-1");
    fixture.respond("near-2", Duration::from_millis(100), now);
    assert_eq!([choose(now, 0), choose(now, 1)], ["near-2", "near-2"]);
    // Three calls in flight make the faster one the slower.
    let endpoint = fixture.endpoint("near-2");
    let in_flight = [(); 3].map(|()| fixture.observations.begin(&endpoint, now));
    assert_eq!([choose(now, 0), choose(now, 1)], ["near-1", "near-1"]);
    drop(in_flight);
    // What was seen a while ago does not count.
    let later = now + Duration::from_secs(4);
    assert_eq!([choose(later, 0), choose(later, 1)], ["near-1", "near-2"]);
}

#[test]
fn choose_own_unless_much_slower() {
    let fixture = Fixture::new([&["own"], &["near-1"], &[], &[]]);
    let _ = fixture.choose(&Local, &[], fixture.origin, 0);
    let now = fixture.origin + WARM;
    let responses = [(150, "own"), (250, "near-1")];
    for (response, expected) in responses {
        // Far enough apart that one case does not count in the next.
        let now = now + Duration::from_millis(response) * 40;
        fixture.respond("own", Duration::from_millis(response), now);
        fixture.respond("near-1", Duration::from_millis(100), now);
        assert_eq!(fixture.choose(&Local, &[], now, 0), expected);
    }
}
