//! Tests for retry decisions and budgets.

use std::time::{Duration, Instant};

use lentilshunt_core::{
    retry::{Budget, Budgets, Decision, MAX_ATTEMPTS, decide},
    verdict::{Reason, Verdict},
};
use proptest::prelude::*;
use rstest::rstest;

/// Retries that a service may make without any deposits.
const FLOOR: usize = 10;
/// Retries for every hundred first attempts.
const PERCENT: u32 = 10;

#[rstest]
#[case(Verdict::NotRun, Some(Reason::QueueFull), false, 1, Decision::Retry)]
#[case(
    Verdict::NotRun,
    Some(Reason::QueueFull),
    false,
    MAX_ATTEMPTS,
    Decision::Stop
)]
#[case(
    Verdict::MayHaveRun,
    Some(Reason::ConnectionLost),
    true,
    1,
    Decision::Retry
)]
#[case(
    Verdict::MayHaveRun,
    Some(Reason::ConnectionLost),
    false,
    1,
    Decision::Stop
)]
#[case(Verdict::NotRun, Some(Reason::Duplicate), false, 1, Decision::Stop)]
#[case(Verdict::NotRun, Some(Reason::Quarantined), true, 1, Decision::Stop)]
#[case(Verdict::Ran, None, true, 1, Decision::Stop)]
fn decide_by_outcome(
    #[case] verdict: Verdict,
    #[case] reason: Option<Reason>,
    #[case] idempotent: bool,
    #[case] attempts: usize,
    #[case] expected: Decision,
) {
    let now = Instant::now();
    let budget = Budget::new(now, PERCENT);
    let decision = decide(verdict, reason, idempotent, attempts, &budget, now);
    assert_eq!(decision, expected);
}

#[test]
fn decide_exhausted() {
    let now = Instant::now();
    let budget = Budget::new(now, PERCENT);
    let retry = |now| {
        decide(
            Verdict::NotRun,
            Some(Reason::QueueFull),
            false,
            1,
            &budget,
            now,
        )
    };
    let decisions: Vec<_> = (0..=FLOOR).map(|_| retry(now)).collect();
    let mut expected = vec![Decision::Retry; FLOOR];
    expected.push(Decision::BudgetExhausted);
    assert_eq!(decisions, expected);
    assert_eq!(retry(now + Duration::from_secs(1)), Decision::Retry);
}

#[test]
fn budgets_separate_services() {
    let now = Instant::now();
    let budgets = Budgets::new(now, PERCENT);
    let withdrawn = (0..=FLOOR)
        .filter(|_| budgets.budget("a").withdraw(now))
        .count();
    assert_eq!(withdrawn, FLOOR);
    assert!(budgets.budget("b").withdraw(now));
}

proptest! {
    /// Retries never exceed a tenth of the first attempts plus the floor for each second.
    #[test]
    fn budget_limits_retries(calls in proptest::collection::vec((0_u64..50, 0_usize..4), 1..2000)) {
        let origin = Instant::now();
        let budget = Budget::new(origin, PERCENT);
        let mut now = origin;
        let mut retries = 0;
        for (pause_ms, wanted) in &calls {
            now += Duration::from_millis(*pause_ms);
            budget.deposit();
            retries += (0..*wanted).filter(|_| budget.withdraw(now)).count();
        }
        let seconds = usize::try_from((now - origin).as_secs()).unwrap_or(usize::MAX);
        prop_assert!(retries <= calls.len() / 10 + FLOOR * (seconds + 1));
    }
}
