//! Tests of whether a call is attempted again.

use lentilshunt_core::{
    overload::{Attempts, Limits, Outcome, Step},
    verdict::{Reason, Verdict},
};
use rstest::rstest;

const LIMITS: Limits = Limits {
    upstream_attempts: 2,
    idempotent: false,
    is_past_target: false,
    has_unread_body: false,
};

/// Returns the result of an attempt that an executing node refused.
fn refused(reason: Reason) -> Outcome {
    Outcome {
        verdict: Verdict::NotRun,
        reason: Some(reason),
        may_have_reached_upstream: false,
        has_retryable_status: false,
    }
}

fn lost() -> Outcome {
    Outcome {
        verdict: Verdict::MayHaveRun,
        may_have_reached_upstream: true,
        ..refused(Reason::ConnectionLost)
    }
}

fn shed() -> Outcome {
    Outcome {
        may_have_reached_upstream: true,
        ..refused(Reason::QueueFull)
    }
}

// Only an attempt that reached no upstream is free; a request that may have run is not repeated
// unless it is idempotent.
#[rstest]
#[case::refused_by_node(refused(Reason::NotReady), false, Step::RetryFree)]
#[case::refused_by_upstream(shed(), false, Step::RetryPaid)]
#[case::lost(lost(), false, Step::Finish)]
#[case::lost_idempotent(lost(), true, Step::RetryPaid)]
fn next_after_first_attempt(
    #[case] outcome: Outcome,
    #[case] idempotent: bool,
    #[case] expected: Step,
) {
    let mut attempts = Attempts::default();
    attempts.record("a".to_owned(), &outcome);
    let limits = Limits {
        idempotent,
        ..LIMITS
    };
    assert_eq!(attempts.next(&limits, &outcome), expected);
}

// Pattern: grey upstreams. No more upstreams are reached than the route allows.
#[test]
fn next_after_upstream_attempts() {
    let mut attempts = Attempts::default();
    attempts.record("a".to_owned(), &shed());
    attempts.record("b".to_owned(), &shed());
    assert_eq!(attempts.next(&LIMITS, &shed()), Step::Finish);
}

// Pattern: burst. A request that five nodes have no room for in time waits, once.
#[test]
fn next_without_room() {
    let outcome = refused(Reason::Deadline);
    let mut attempts = Attempts::default();
    for node in ["a", "b", "c", "d"] {
        attempts.record(node.to_owned(), &outcome);
        assert_eq!(attempts.next(&LIMITS, &outcome), Step::RetryFree);
    }
    attempts.record("e".to_owned(), &outcome);
    assert_eq!(attempts.next(&LIMITS, &outcome), Step::WaitPastTarget);
    attempts.wait_past_target();
    assert_eq!((attempts.tried.len(), attempts.tried_before.len()), (0, 5));
    let limits = Limits {
        is_past_target: true,
        ..LIMITS
    };
    assert_eq!(
        attempts.after_last(&limits, Some(Reason::Deadline)),
        Step::Finish
    );
}

// Waiting does not help a request whose service has no endpoint, or that an upstream has seen.
#[test]
fn after_last_for_other_reasons() {
    let attempts = Attempts::default();
    let after = |attempts: &Attempts, reason| attempts.after_last(&LIMITS, Some(reason));
    assert_eq!(after(&attempts, Reason::NoEndpoint), Step::Finish);
    assert_eq!(after(&attempts, Reason::NoRoom), Step::WaitPastTarget);
    let unread = Limits {
        has_unread_body: true,
        ..LIMITS
    };
    assert_eq!(
        attempts.after_last(&unread, Some(Reason::NoRoom)),
        Step::Finish
    );
    let mut reached = Attempts::default();
    reached.record("a".to_owned(), &shed());
    assert_eq!(after(&reached, Reason::NoRoom), Step::Finish);
}
