//! Tests for the ledger of executed requests.

use std::time::{Duration, Instant};

use lentilshunt_core::{
    execution::{
        ARRIVAL_LIMIT, Capacity, KEYED_RETENTION, Ledger, RESOLVE_LIMIT, RETENTION, Resolution,
    },
    verdict::Reason,
};
use proptest::prelude::*;

const SECOND: Duration = Duration::from_secs(1);

fn ledger() -> Ledger<u8> {
    Ledger::new(Capacity::default())
}

#[test]
fn accept_duplicate() {
    let now = Instant::now();
    let mut ledger = ledger();
    assert_eq!(ledger.accept(now, "a", now + SECOND, false), Ok(()));
    let second = ledger.accept(now, "a", now + SECOND, false);
    assert_eq!(second, Err(Reason::Duplicate));
    assert_eq!(ledger.start(now, "a"), Ok(()));
    assert_eq!(ledger.start(now, "a"), Err(Reason::Barred));
}

#[test]
fn accept_after_resolve() {
    let now = Instant::now();
    let mut ledger = ledger();
    let resolved = ledger.resolve(now, "a", now + SECOND);
    assert_eq!(resolved, Resolution::Barred);
    let accepted = ledger.accept(now, "a", now + SECOND, false);
    assert_eq!(accepted, Err(Reason::Barred));
}

#[test]
fn accept_after_deadline() {
    let now = Instant::now();
    let mut ledger = ledger();
    assert_eq!(ledger.accept(now, "a", now, false), Err(Reason::Deadline));
    assert_eq!(ledger.look_up("a"), Resolution::Barred);
}

#[test]
fn start_after_deadline() {
    let now = Instant::now();
    let mut ledger = ledger();
    assert_eq!(ledger.accept(now, "a", now + SECOND, false), Ok(()));
    let started_at = now + SECOND;
    assert_eq!(ledger.start(started_at, "a"), Err(Reason::Deadline));
    assert_eq!(ledger.look_up("a"), Resolution::Barred);
}

#[test]
fn resolve_each_state() {
    let now = Instant::now();
    let deadline = now + SECOND;
    let mut ledger = ledger();
    let mut resolve = |prepare: fn(&mut Ledger<u8>, Instant)| {
        ledger = self::ledger();
        assert_eq!(ledger.accept(now, "a", deadline, false), Ok(()));
        prepare(&mut ledger, now);
        ledger.resolve(now, "a", deadline)
    };
    let start = |ledger: &mut Ledger<u8>, now| {
        assert_eq!(ledger.start(now, "a"), Ok(()));
    };
    assert_eq!(resolve(|_, _| {}), Resolution::Running);
    assert_eq!(resolve(start), Resolution::Running);
    assert_eq!(resolve(|ledger, _| ledger.bar("a")), Resolution::Barred);
    let answered = resolve(|ledger, _| ledger.complete("a", 7, 1));
    assert_eq!(answered, Resolution::Answered(7));
    let lost = resolve(|ledger, now| {
        assert_eq!(ledger.start(now, "a"), Ok(()));
        ledger.mark_lost("a");
    });
    assert_eq!(lost, Resolution::MayHaveRun);
}

#[test]
fn complete_after_bar() {
    let now = Instant::now();
    let mut ledger = ledger();
    assert_eq!(ledger.accept(now, "a", now + SECOND, false), Ok(()));
    ledger.bar("a");
    ledger.complete("a", 7, 1);
    assert_eq!(ledger.look_up("a"), Resolution::Barred);
}

#[test]
fn resolve_long_after_deadline() {
    let now = Instant::now();
    let mut ledger = ledger();
    let resolved_at = now + RESOLVE_LIMIT + Duration::from_millis(1);
    assert_eq!(
        ledger.resolve(resolved_at, "a", now),
        Resolution::MayHaveRun
    );
    assert_eq!(ledger.len(), 0);
}

#[test]
fn resolve_full_ledger() {
    let now = Instant::now();
    let capacity = Capacity {
        entries: 1,
        response_bytes: 1,
    };
    let mut ledger: Ledger<u8> = Ledger::new(capacity);
    assert_eq!(ledger.accept(now, "a", now + SECOND, false), Ok(()));
    let resolved = ledger.resolve(now, "b", now + SECOND);
    assert_eq!(resolved, Resolution::MayHaveRun);
    let accepted = ledger.accept(now, "b", now + SECOND, false);
    assert_eq!(accepted, Err(Reason::QueueFull));
}

#[test]
fn complete_over_limit_drops_oldest() {
    let now = Instant::now();
    let capacity = Capacity {
        entries: 9,
        response_bytes: 10,
    };
    let mut ledger: Ledger<u8> = Ledger::new(capacity);
    for (request, response) in [("a", 1), ("b", 2), ("c", 3)] {
        assert_eq!(ledger.accept(now, request, now + SECOND, true), Ok(()));
        ledger.complete(request, response, 4);
    }
    assert_eq!(ledger.response_bytes(), 8);
    assert_eq!(ledger.look_up("a"), Resolution::MayHaveRun);
    assert_eq!(ledger.look_up("b"), Resolution::Answered(2));
    assert_eq!(ledger.look_up("c"), Resolution::Answered(3));
}

#[test]
fn look_up_keeps_requests_with_key_longer() {
    let now = Instant::now();
    let mut ledger = ledger();
    for (request, has_key) in [("keyed", true), ("plain", false)] {
        assert_eq!(ledger.accept(now, request, now + SECOND, has_key), Ok(()));
        ledger.complete(request, 7, 1);
    }
    let expired = now + SECOND + RETENTION;
    assert_eq!(ledger.resolve(expired, "x", expired), Resolution::Barred);
    assert_eq!(ledger.look_up("plain"), Resolution::MayHaveRun);
    assert_eq!(ledger.look_up("keyed"), Resolution::Answered(7));
    let removed = now + SECOND + KEYED_RETENTION;
    assert_eq!(ledger.resolve(removed, "y", removed), Resolution::Barred);
    assert_eq!(ledger.look_up("keyed"), Resolution::MayHaveRun);
    assert_eq!((ledger.len(), ledger.response_bytes()), (1, 0));
}

/// Operation on the ledger, for request `id`.
#[derive(Clone, Debug)]
enum Step {
    Arrive { id: usize },
    Start { id: usize },
    Complete { id: usize },
    Bar { id: usize },
    MarkLost { id: usize },
    Resolve { id: usize },
    LookUp { id: usize },
    Elapse { seconds: u64 },
}

/// Reference model of one request.
#[derive(Clone, Debug, Default)]
struct Model {
    was_accepted: bool,
    is_open: bool,
    runs: u32,
    reported_not_run: bool,
}

const REQUESTS: usize = 5;

fn step() -> impl Strategy<Value = Step> {
    let id = 0..REQUESTS;
    prop_oneof![
        3 => id.clone().prop_map(|id| Step::Arrive { id }),
        3 => id.clone().prop_map(|id| Step::Start { id }),
        2 => id.clone().prop_map(|id| Step::Complete { id }),
        1 => id.clone().prop_map(|id| Step::Bar { id }),
        1 => id.clone().prop_map(|id| Step::MarkLost { id }),
        2 => id.clone().prop_map(|id| Step::Resolve { id }),
        1 => id.prop_map(|id| Step::LookUp { id }),
        2 => prop_oneof![0..3_u64, 20..70_u64, 500..700_u64]
            .prop_map(|seconds| Step::Elapse { seconds }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 800, rng_seed: proptest::test_runner::RngSeed::Fixed(1), ..ProptestConfig::default() })]

    /// No request runs twice or after it was reported as not run, for any order of operations.
    #[test]
    fn ledger_runs_at_most_once(
        steps in proptest::collection::vec(step(), 1..80),
        entries in 1..6_usize,
        response_bytes in 1..4_usize,
        has_key in proptest::bool::ANY,
    ) {
        let origin = Instant::now();
        let mut now = origin;
        let mut ledger: Ledger<usize> = Ledger::new(Capacity { entries, response_bytes });
        let mut models = vec![Model::default(); REQUESTS];
        let deadline = |id: usize| origin + SECOND * u32::try_from(id * 10 + 5).unwrap();
        for step in steps {
            match step {
                Step::Elapse { seconds } => now += SECOND * u32::try_from(seconds).unwrap(),
                Step::Arrive { id } => {
                    // The wall clock check refuses later attempts before they reach the ledger.
                    if now > deadline(id) + ARRIVAL_LIMIT {
                        continue;
                    }
                    if ledger.accept(now, &id.to_string(), deadline(id), has_key).is_ok() {
                        models[id].was_accepted = true;
                        models[id].is_open = true;
                    }
                }
                Step::Start { id } => {
                    // Only accepted requests are started.
                    if !models[id].was_accepted {
                        continue;
                    }
                    if ledger.start(now, &id.to_string()).is_ok() {
                        prop_assert!(!models[id].reported_not_run);
                        prop_assert!(now < deadline(id));
                        models[id].runs += 1;
                        prop_assert_eq!(models[id].runs, 1);
                    }
                }
                Step::Complete { id } => if models[id].runs == 1 && models[id].is_open {
                    ledger.complete(&id.to_string(), id, 1);
                    models[id].is_open = false;
                },
                Step::Bar { id } => if models[id].runs == 0 {
                    ledger.bar(&id.to_string());
                },
                Step::MarkLost { id } => if models[id].runs == 1 && models[id].is_open {
                    ledger.mark_lost(&id.to_string());
                    models[id].is_open = false;
                },
                Step::Resolve { id } => match ledger.resolve(now, &id.to_string(), deadline(id)) {
                    Resolution::Barred => {
                        prop_assert_eq!(models[id].runs, 0);
                        models[id].reported_not_run = true;
                    }
                    Resolution::Answered(response) => prop_assert_eq!(response, id),
                    Resolution::Running => prop_assert!(models[id].is_open),
                    Resolution::MayHaveRun => {}
                },
                Step::LookUp { id } => match ledger.look_up(&id.to_string()) {
                    Resolution::Barred => {
                        prop_assert_eq!(models[id].runs, 0);
                        models[id].reported_not_run = true;
                    }
                    Resolution::Answered(response) => prop_assert_eq!(response, id),
                    Resolution::Running => prop_assert!(models[id].is_open),
                    Resolution::MayHaveRun => {}
                },
            }
            prop_assert!(ledger.len() <= entries);
            prop_assert!(ledger.response_bytes() <= response_bytes);
        }
    }
}
