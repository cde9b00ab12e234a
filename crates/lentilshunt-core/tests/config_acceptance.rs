//! Acceptance under every fault at every step, and under random ones.

mod common;

use std::time::Duration;

use lentilshunt_core::{config::acceptance::AcceptanceOutcome, id::VersionId};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

use common::platform::{Fault, MAX_REQUESTS, Operator, Platform};

/// Steps at which a fault is tried; a run without a fault has five.
const STEPS: usize = 8;
const TIMEOUT: Duration = Duration::from_secs(30);

/// Runs one acceptance after `versions` of others, with faults by step.
fn run(versions: u64, base: VersionId, fault: impl Fn(usize) -> Fault) -> (Platform, Operator) {
    let mut platform = Platform::default();
    (0..versions).for_each(|_| platform.accept_other_version());
    let mut operator = Operator::start("own", base, TIMEOUT);
    for step in 0..MAX_REQUESTS {
        if !operator.step(&mut platform, fault(step)) {
            platform.deliver_late();
            operator.check(&platform.history());
            return (platform, operator);
        }
        // A late request arrives while the operator has gone on.
        if step % 2 == 1 {
            platform.deliver_late();
        }
    }
    panic!("the acceptance does not end: {operator:?}");
}

#[test]
fn accept_two_faults_at_every_pair_of_steps() {
    let mut endings = [0; 2];
    for base in [0, 2] {
        for (first, second) in (0..STEPS).flat_map(|a| (a..STEPS).map(move |b| (a, b))) {
            for (one, two) in Fault::ALL.iter().flat_map(|a| Fault::ALL.map(|b| (*a, b))) {
                let fault = |step| match step {
                    _ if step == first => one,
                    _ if step == second => two,
                    _ => Fault::None,
                };
                let (_, operator) = run(base, base, fault);
                match operator.outcome() {
                    Some(AcceptanceOutcome::Accepted(_)) => endings[0] += 1,
                    Some(AcceptanceOutcome::Conflict { .. }) => endings[1] += 1,
                    other => panic!("{one:?} at {first}, {two:?} at {second}: {other:?}"),
                }
            }
        }
    }
    assert!(endings.iter().all(|count| *count > 0), "{endings:?}");
}

#[test]
fn accept_platform_down_from_every_step() {
    for start in 0..STEPS {
        for last in Fault::ALL {
            for down in [Fault::Refused, Fault::LostRequest] {
                let fault = |step| match step {
                    _ if step < start => Fault::None,
                    _ if step == start => last,
                    _ => down,
                };
                let (_, operator) = run(1, 1, fault);
                let ended = operator.outcome();
                // The fifth request is the first transaction.
                let sent = start >= 4 || (start, last) == (3, Fault::None);
                let known = !matches!(ended, Some(AcceptanceOutcome::Unsettled)) || sent;
                assert!(ended.is_some() && known, "{last:?} at {start}: {ended:?}");
            }
        }
    }
}

#[test]
fn accept_stale_or_unknown_base() {
    let outcome = |versions, base| {
        let (platform, operator) = run(versions, base, |_| Fault::None);
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
fn accept_same_operation_again_settles_it() {
    let (mut platform, _) = run(1, 1, |_| Fault::None);
    platform.accept_other_version();
    let mut again = Operator::start("own", 1, TIMEOUT);
    again.finish(&mut platform);
    assert!(
        matches!(again.outcome(), Some(AcceptanceOutcome::Accepted(head)) if head.version == 2)
    );
}

/// Operators that race each other while messages are lost and cross.
#[derive(Debug, Default)]
struct Race {
    platform: Platform,
    operators: Vec<Operator>,
    newest: VersionId,
}

#[derive(Clone, Debug)]
enum Transition {
    /// An operator proposes after the version that it saw.
    Start { behind: u64 },
    /// An operator sends its next request.
    Send { operator: usize, fault: Fault },
    /// A request that was given up arrives.
    Arrive { index: usize },
}

/// Number of operators that have started.
#[derive(Clone, Debug)]
struct Started(usize);

impl ReferenceStateMachine for Started {
    type State = Self;
    type Transition = Transition;

    fn init_state() -> BoxedStrategy<Self> {
        Just(Self(0)).boxed()
    }

    fn transitions(state: &Self) -> BoxedStrategy<Transition> {
        let fault = prop_oneof![
            8 => Just(Fault::None),
            1 => Just(Fault::Refused),
            1 => Just(Fault::LostRequest),
            2 => Just(Fault::LostReply),
            2 => Just(Fault::Late),
        ];
        let send = (0..state.0.max(1), fault)
            .prop_map(|(operator, fault)| Transition::Send { operator, fault });
        prop_oneof![
            1 => (0..2_u64).prop_map(|behind| Transition::Start { behind }),
            9 => send,
            1 => any::<usize>().prop_map(|index| Transition::Arrive { index }),
        ]
        .boxed()
    }

    fn preconditions(state: &Self, transition: &Transition) -> bool {
        match transition {
            Transition::Start { .. } | Transition::Arrive { .. } => true,
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
    type Reference = Started;

    fn init_test(_: &Started) -> Self {
        Self::default()
    }

    fn apply(mut state: Self, _: &Started, transition: Transition) -> Self {
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
            Transition::Arrive { index } => {
                let waiting = state.platform.late.len();
                if let Some(index) = index.checked_rem(waiting) {
                    let request = state.platform.late.swap_remove(index);
                    state.platform.apply(&request);
                }
            }
        }
        state
    }

    fn check_invariants(state: &Self, _: &Started) {
        let history = state.platform.history();
        assert!(state.newest <= history.len() as VersionId);
        for operator in &state.operators {
            operator.check(&history);
        }
    }

    fn teardown(mut state: Self, _: Started) {
        state.platform.deliver_late();
        state.newest = state.platform.head().version;
        for operator in &mut state.operators {
            operator.finish(&mut state.platform);
            assert!(!matches!(
                operator.outcome(),
                None | Some(AcceptanceOutcome::Unreadable(_))
            ));
        }
        Self::check_invariants(&state, &Started(0));
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
    fn accept_race_with_crossing_and_lost_messages(sequential 1..120 => Race);
}
