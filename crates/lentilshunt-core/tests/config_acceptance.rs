//! Tests for acceptances with every fault at every step, and with random faults.

mod common;

use std::time::Duration;

use lentilshunt_core::{config::acceptance::AcceptanceOutcome, id::VersionId};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

use common::platform::{Fault, MAX_REQUESTS, Operator, Platform};

/// Number of steps at which a fault is injected; a run without faults has five.
const STEPS: usize = 8;
const TIMEOUT: Duration = Duration::from_secs(30);

/// Runs one acceptance on a platform with `versions` versions, with a fault for each step.
fn run_acceptance(
    versions: u64,
    base: VersionId,
    fault: impl Fn(usize) -> Fault,
) -> (Platform, Operator) {
    let mut platform = Platform::default();
    (0..versions).for_each(|_| platform.accept_other_version());
    let mut operator = Operator::start("own", base, TIMEOUT);
    for step in 0..MAX_REQUESTS {
        if !operator.step(&mut platform, fault(step)) {
            platform.deliver_delayed();
            operator.check(&platform.history());
            return (platform, operator);
        }
        // Delayed requests arrive while the operator continues.
        if step % 2 == 1 {
            platform.deliver_delayed();
        }
    }
    panic!("too many requests: {operator:?}");
}

#[test]
fn accept_two_faults_at_every_pair_of_steps() {
    let mut accepted_and_conflicts = [0; 2];
    for base in [0, 2] {
        for (first, second) in (0..STEPS).flat_map(|a| (a..STEPS).map(move |b| (a, b))) {
            for (one, two) in Fault::ALL.iter().flat_map(|a| Fault::ALL.map(|b| (*a, b))) {
                let fault = |step| match step {
                    _ if step == first => one,
                    _ if step == second => two,
                    _ => Fault::None,
                };
                let (_, operator) = run_acceptance(base, base, fault);
                match operator.outcome() {
                    Some(AcceptanceOutcome::Accepted(_)) => accepted_and_conflicts[0] += 1,
                    Some(AcceptanceOutcome::Conflict { .. }) => accepted_and_conflicts[1] += 1,
                    other => panic!("{one:?} at {first}, {two:?} at {second}: {other:?}"),
                }
            }
        }
    }
    assert!(
        accepted_and_conflicts.iter().all(|count| *count > 0),
        "{accepted_and_conflicts:?}"
    );
}

#[test]
fn accept_platform_unavailable_from_every_step() {
    for start in 0..STEPS {
        for last in Fault::ALL {
            for unavailable in [Fault::Refused, Fault::RequestLost] {
                let fault = |step| match step {
                    _ if step < start => Fault::None,
                    _ if step == start => last,
                    _ => unavailable,
                };
                let (_, operator) = run_acceptance(1, 1, fault);
                let outcome = operator.outcome();
                // The fifth request is the first transaction.
                let may_be_sent = start >= 4 || (start, last) == (3, Fault::None);
                let is_allowed =
                    !matches!(outcome, Some(AcceptanceOutcome::Unsettled)) || may_be_sent;
                assert!(
                    outcome.is_some() && is_allowed,
                    "{last:?} at {start}: {outcome:?}"
                );
            }
        }
    }
}

#[test]
fn accept_stale_or_unknown_base() {
    let outcome = |versions, base| {
        let (platform, operator) = run_acceptance(versions, base, |_| Fault::None);
        match operator.outcome() {
            Some(AcceptanceOutcome::Conflict { newest }) => {
                assert_eq!(newest, &platform.head());
                "conflict"
            }
            Some(AcceptanceOutcome::Accepted(_)) => "accepted",
            other => panic!("{other:?}"),
        }
    };
    let cases = [
        (0, 0),
        (3, 3),
        (3, 2),
        (3, 0),
        (3, 4),
        (0, 1),
        (3, u64::MAX),
    ];
    let outcomes = cases.map(|(versions, base)| outcome(versions, base));
    let expected = [
        "accepted", "accepted", "conflict", "conflict", "conflict", "conflict", "conflict",
    ];
    assert_eq!(outcomes, expected);
}

#[test]
fn accept_same_operation_twice() {
    let (mut platform, _) = run_acceptance(1, 1, |_| Fault::None);
    platform.accept_other_version();
    let mut again = Operator::start("own", 1, TIMEOUT);
    again.finish(&mut platform);
    assert!(
        matches!(again.outcome(), Some(AcceptanceOutcome::Accepted(head)) if head.version == 2)
    );
}

/// Concurrent operators whose messages are lost, delayed and reordered.
#[derive(Debug, Default)]
struct Race {
    platform: Platform,
    operators: Vec<Operator>,
    newest: VersionId,
}

#[derive(Clone, Debug)]
enum Transition {
    /// An operator starts, with a base that is some versions behind the head.
    Start { behind: u64 },
    /// An operator sends its next request.
    Send { operator: usize, fault: Fault },
    /// A delayed request arrives.
    Deliver { index: usize },
}

/// Number of operators that have started.
#[derive(Clone, Debug)]
struct OperatorCount(usize);

impl ReferenceStateMachine for OperatorCount {
    type State = Self;
    type Transition = Transition;

    fn init_state() -> BoxedStrategy<Self> {
        Just(Self(0)).boxed()
    }

    fn transitions(state: &Self) -> BoxedStrategy<Transition> {
        let fault = prop_oneof![
            8 => Just(Fault::None),
            1 => Just(Fault::Refused),
            1 => Just(Fault::RequestLost),
            2 => Just(Fault::ResponseLost),
            2 => Just(Fault::Delayed),
        ];
        let send = (0..state.0.max(1), fault)
            .prop_map(|(operator, fault)| Transition::Send { operator, fault });
        prop_oneof![
            1 => (0..2_u64).prop_map(|behind| Transition::Start { behind }),
            9 => send,
            1 => any::<usize>().prop_map(|index| Transition::Deliver { index }),
        ]
        .boxed()
    }

    fn preconditions(state: &Self, transition: &Transition) -> bool {
        match transition {
            Transition::Start { .. } | Transition::Deliver { .. } => true,
            Transition::Send { operator, .. } => *operator < state.0,
        }
    }

    fn apply(mut state: Self, transition: &Transition) -> Self {
        state.0 += usize::from(matches!(transition, Transition::Start { .. }));
        state
    }
}

impl StateMachineTest for Race {
    type SystemUnderTest = Self;
    type Reference = OperatorCount;

    fn init_test(_: &OperatorCount) -> Self {
        Self::default()
    }

    fn apply(mut state: Self, _: &OperatorCount, transition: Transition) -> Self {
        state.newest = state.platform.head().version;
        match transition {
            Transition::Start { behind } => {
                let base = state.platform.head().version.saturating_sub(behind);
                let name = format!("operator/{}", state.operators.len());
                state.operators.push(Operator::start(&name, base, TIMEOUT));
            }
            Transition::Send { operator, fault } => {
                state.operators[operator].step(&mut state.platform, fault);
            }
            Transition::Deliver { index } => {
                let count = state.platform.delayed.len();
                if let Some(index) = index.checked_rem(count) {
                    let request = state.platform.delayed.swap_remove(index);
                    state.platform.apply(&request);
                }
            }
        }
        state
    }

    fn check_invariants(state: &Self, _: &OperatorCount) {
        let history = state.platform.history();
        assert!(state.newest <= history.len() as VersionId);
        for operator in &state.operators {
            operator.check(&history);
        }
    }

    fn teardown(mut state: Self, _: OperatorCount) {
        state.platform.deliver_delayed();
        state.newest = state.platform.head().version;
        for operator in &mut state.operators {
            operator.finish(&mut state.platform);
            assert!(!matches!(
                operator.outcome(),
                None | Some(AcceptanceOutcome::Unreadable(_))
            ));
        }
        Self::check_invariants(&state, &OperatorCount(0));
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        rng_seed: proptest::test_runner::RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn accept_race_with_lost_and_delayed_messages(sequential 1..120 => Race);
}
