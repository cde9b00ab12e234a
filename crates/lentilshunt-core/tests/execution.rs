//! Tests of the ledger of executed requests.

use std::time::{Duration, Instant};

use lentilshunt_core::{
    execution::{
        KEY_REMEMBERED, LATE_LIMIT, Ledger, Limits, QUESTION_LIMIT, REMEMBERED, Resolution,
    },
    verdict::Reason,
};
use proptest::prelude::*;

const SECOND: Duration = Duration::from_secs(1);

fn ledger() -> Ledger<u8> {
    Ledger::new(Limits::default())
}

#[test]
fn accept_twice() {
    let now = Instant::now();
    let mut ledger = ledger();
    assert_eq!(ledger.accept(now, "a", now + SECOND, false), Ok(()));
    let second = ledger.accept(now, "a", now + SECOND, false);
    assert_eq!(second, Err(Reason::Duplicate));
    assert_eq!(ledger.start(now, "a"), Ok(()));
    assert_eq!(ledger.start(now, "a"), Err(Reason::Barred));
}

#[test]
fn accept_after_bar() {
    let now = Instant::now();
    let mut ledger = ledger();
    let resolved = ledger.resolve(now, "a", now + SECOND);
    assert_eq!(resolved, Resolution::Barred);
    let late = ledger.accept(now, "a", now + SECOND, false);
    assert_eq!(late, Err(Reason::Barred));
}

#[test]
fn accept_after_deadline() {
    let now = Instant::now();
    let mut ledger = ledger();
    assert_eq!(ledger.accept(now, "a", now, false), Err(Reason::Deadline));
    assert_eq!(ledger.recall("a"), Resolution::Barred);
}

#[test]
fn start_after_pause_over_deadline() {
    let now = Instant::now();
    let mut ledger = ledger();
    assert_eq!(ledger.accept(now, "a", now + SECOND, false), Ok(()));
    let woken = now + SECOND;
    assert_eq!(ledger.start(woken, "a"), Err(Reason::Deadline));
    assert_eq!(ledger.recall("a"), Resolution::Barred);
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
    assert_eq!(resolve(|ledger, _| ledger.refuse("a")), Resolution::Barred);
    let answered = resolve(|ledger, _| ledger.answer("a", 7, 1));
    assert_eq!(answered, Resolution::Answered(7));
    let lost = resolve(|ledger, now| {
        assert_eq!(ledger.start(now, "a"), Ok(()));
        ledger.lose("a");
    });
    assert_eq!(lost, Resolution::MayHaveRun);
}

#[test]
fn lose_before_start() {
    let now = Instant::now();
    let mut ledger = ledger();
    assert_eq!(ledger.accept(now, "a", now + SECOND, false), Ok(()));
    ledger.refuse("a");
    ledger.answer("a", 7, 1);
    assert_eq!(ledger.recall("a"), Resolution::Barred);
}

#[test]
fn resolve_long_after_deadline() {
    let now = Instant::now();
    let mut ledger = ledger();
    let asked = now + QUESTION_LIMIT + Duration::from_millis(1);
    assert_eq!(ledger.resolve(asked, "a", now), Resolution::MayHaveRun);
    assert_eq!(ledger.len(), 0);
}

#[test]
fn resolve_without_room() {
    let now = Instant::now();
    let limits = Limits {
        entries: 1,
        bytes: 1,
    };
    let mut ledger: Ledger<u8> = Ledger::new(limits);
    assert_eq!(ledger.accept(now, "a", now + SECOND, false), Ok(()));
    let resolved = ledger.resolve(now, "b", now + SECOND);
    assert_eq!(resolved, Resolution::MayHaveRun);
    let accepted = ledger.accept(now, "b", now + SECOND, false);
    assert_eq!(accepted, Err(Reason::QueueFull));
}

#[test]
fn answer_over_limit_drops_oldest() {
    let now = Instant::now();
    let limits = Limits {
        entries: 9,
        bytes: 10,
    };
    let mut ledger: Ledger<u8> = Ledger::new(limits);
    for (request, answer) in [("a", 1), ("b", 2), ("c", 3)] {
        assert_eq!(ledger.accept(now, request, now + SECOND, true), Ok(()));
        ledger.answer(request, answer, 4);
    }
    assert_eq!(ledger.bytes(), 8);
    assert_eq!(ledger.recall("a"), Resolution::MayHaveRun);
    assert_eq!(ledger.recall("b"), Resolution::Answered(2));
    assert_eq!(ledger.recall("c"), Resolution::Answered(3));
}

#[test]
fn recall_with_key_longer_than_without() {
    let now = Instant::now();
    let mut ledger = ledger();
    for (request, keyed) in [("keyed", true), ("plain", false)] {
        assert_eq!(ledger.accept(now, request, now + SECOND, keyed), Ok(()));
        ledger.answer(request, 7, 1);
    }
    let expired = now + SECOND + REMEMBERED;
    assert_eq!(ledger.resolve(expired, "x", expired), Resolution::Barred);
    assert_eq!(ledger.recall("plain"), Resolution::MayHaveRun);
    assert_eq!(ledger.recall("keyed"), Resolution::Answered(7));
    let forgotten = now + SECOND + KEY_REMEMBERED;
    assert_eq!(
        ledger.resolve(forgotten, "y", forgotten),
        Resolution::Barred
    );
    assert_eq!(ledger.recall("keyed"), Resolution::MayHaveRun);
    assert_eq!((ledger.len(), ledger.bytes()), (1, 0));
}

/// One message or event that reaches the ledger, for request `id`.
#[derive(Clone, Debug)]
enum Step {
    Arrive { id: usize },
    Start { id: usize },
    Answer { id: usize },
    Refuse { id: usize },
    Lose { id: usize },
    Resolve { id: usize },
    Recall { id: usize },
    Pass { seconds: u64 },
}

/// What has truly happened to one request.
#[derive(Clone, Debug, Default)]
struct Truth {
    accepted: bool,
    open: bool,
    runs: u32,
    told_not_run: bool,
}

const REQUESTS: usize = 5;

fn step() -> impl Strategy<Value = Step> {
    let id = 0..REQUESTS;
    prop_oneof![
        3 => id.clone().prop_map(|id| Step::Arrive { id }),
        3 => id.clone().prop_map(|id| Step::Start { id }),
        2 => id.clone().prop_map(|id| Step::Answer { id }),
        1 => id.clone().prop_map(|id| Step::Refuse { id }),
        1 => id.clone().prop_map(|id| Step::Lose { id }),
        2 => id.clone().prop_map(|id| Step::Resolve { id }),
        1 => id.prop_map(|id| Step::Recall { id }),
        2 => prop_oneof![0..3_u64, 20..70_u64, 500..700_u64]
            .prop_map(|seconds| Step::Pass { seconds }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 800, rng_seed: proptest::test_runner::RngSeed::Fixed(1), ..ProptestConfig::default() })]

    /// Repeated, late and crossing messages against what has truly happened.
    #[test]
    fn ledger_keeps_at_most_once(
        steps in proptest::collection::vec(step(), 1..80),
        entries in 1..6_usize,
        bytes in 1..4_usize,
        keyed in proptest::bool::ANY,
    ) {
        let begun = Instant::now();
        let mut now = begun;
        let mut ledger: Ledger<usize> = Ledger::new(Limits { entries, bytes });
        let mut truths = vec![Truth::default(); REQUESTS];
        let deadline = |id: usize| begun + SECOND * u32::try_from(id * 10 + 5).unwrap();
        for step in steps {
            match step {
                Step::Pass { seconds } => now += SECOND * u32::try_from(seconds).unwrap(),
                Step::Arrive { id } => {
                    // Later attempts are refused by the wall clock before they get here.
                    if now > deadline(id) + LATE_LIMIT {
                        continue;
                    }
                    if ledger.accept(now, &id.to_string(), deadline(id), keyed).is_ok() {
                        truths[id].accepted = true;
                        truths[id].open = true;
                    }
                }
                Step::Start { id } => {
                    // Only the holder of an accepted request starts it.
                    if !truths[id].accepted {
                        continue;
                    }
                    if ledger.start(now, &id.to_string()).is_ok() {
                        prop_assert!(!truths[id].told_not_run);
                        prop_assert!(now < deadline(id));
                        truths[id].runs += 1;
                        prop_assert_eq!(truths[id].runs, 1);
                    }
                }
                Step::Answer { id } => if truths[id].runs == 1 && truths[id].open {
                    ledger.answer(&id.to_string(), id, 1);
                    truths[id].open = false;
                },
                Step::Refuse { id } => if truths[id].runs == 0 {
                    ledger.refuse(&id.to_string());
                },
                Step::Lose { id } => if truths[id].runs == 1 && truths[id].open {
                    ledger.lose(&id.to_string());
                    truths[id].open = false;
                },
                Step::Resolve { id } => match ledger.resolve(now, &id.to_string(), deadline(id)) {
                    Resolution::Barred => {
                        prop_assert_eq!(truths[id].runs, 0);
                        truths[id].told_not_run = true;
                    }
                    Resolution::Answered(answer) => prop_assert_eq!(answer, id),
                    Resolution::Running => prop_assert!(truths[id].open),
                    Resolution::MayHaveRun => {}
                },
                Step::Recall { id } => match ledger.recall(&id.to_string()) {
                    Resolution::Barred => {
                        prop_assert_eq!(truths[id].runs, 0);
                        truths[id].told_not_run = true;
                    }
                    Resolution::Answered(answer) => prop_assert_eq!(answer, id),
                    Resolution::Running => prop_assert!(truths[id].open),
                    Resolution::MayHaveRun => {}
                },
            }
            prop_assert!(ledger.len() <= entries);
            prop_assert!(ledger.bytes() <= bytes);
        }
    }
}
