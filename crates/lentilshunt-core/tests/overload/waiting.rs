//! Tests of what runs, waits or is refused at an upstream.

use std::time::{Duration, Instant};

use lentilshunt_core::{
    admission::Precedence,
    overload::{Admission, Applicant, Kind, Next, Waiting},
    verdict::Reason,
};

use crate::{LOOKUP, MILLISECOND, ORDER};

/// Returns a request that is wanted and given up at the given times.
fn applicant(kind: Kind, wanted: Instant, deadline: Instant) -> Applicant {
    Applicant {
        precedence: Precedence {
            rank: kind.rank,
            is_first: true,
            is_past_target: false,
            deadline: wanted,
        },
        kind,
        deadline,
        waits_for_turn: true,
        starts_by: None,
    }
}

/// Returns an upstream with one slot, in use, whose requests take 100 ms.
fn busy(now: Instant) -> Waiting<&'static str> {
    let mut waiting = Waiting::new(2, now);
    waiting.resize(1);
    waiting.observe(LOOKUP, MILLISECOND * 100);
    waiting.observe(ORDER, MILLISECOND * 100);
    waiting.start(LOOKUP, now);
    waiting
}

#[test]
fn admit_with_free_slot() {
    let now = Instant::now();
    let mut waiting: Waiting<()> = Waiting::new(2, now);
    let request = applicant(LOOKUP, now + MILLISECOND * 600, now + MILLISECOND * 1500);
    assert_eq!(
        waiting.admit(&request, now),
        Admission::Refuse(Reason::QueueFull)
    );
    waiting.resize(1);
    assert_eq!(waiting.admit(&request, now), Admission::Start);
}

// Pattern: burst. A request waits only as long as its response is expected in time.
#[test]
fn admit_in_burst() {
    let now = Instant::now();
    let mut waiting = busy(now);
    let wanted_in = |wait| applicant(LOOKUP, now + wait, now + MILLISECOND * 1500);
    assert_eq!(
        waiting.admit(&wanted_in(MILLISECOND * 250), now),
        Admission::Wait {
            until: now + MILLISECOND * 150
        }
    );
    assert_eq!(
        waiting.admit(&wanted_in(MILLISECOND * 150), now),
        Admission::Refuse(Reason::Deadline)
    );
    waiting.push(wanted_in(MILLISECOND * 250), "first");
    assert_eq!(
        waiting.admit(&wanted_in(MILLISECOND * 250), now),
        Admission::Refuse(Reason::Deadline)
    );
    // A more urgent request does not wait behind the one that waits.
    let urgent = applicant(ORDER, now + MILLISECOND * 250, now + MILLISECOND * 1500);
    assert!(matches!(
        waiting.admit(&urgent, now),
        Admission::Wait { .. }
    ));
    waiting.push(urgent, "second");
    let full = applicant(LOOKUP, now + MILLISECOND * 900, now + MILLISECOND * 1500);
    assert_eq!(
        waiting.admit(&full, now),
        Admission::Refuse(Reason::QueueFull)
    );
}

// A request whose caller may leave unnoticed waits for a short time only.
#[test]
fn admit_with_limited_wait() {
    let now = Instant::now();
    let waiting = busy(now);
    let patient = applicant(LOOKUP, now + MILLISECOND * 900, now + MILLISECOND * 1500);
    let limited = Applicant {
        starts_by: Some(now + MILLISECOND * 400),
        ..patient
    };
    let until = now + MILLISECOND * 400;
    assert_eq!(waiting.admit(&limited, now), Admission::Wait { until });
}

// Pattern: callers that repeat late. A run that would outlast its caller takes no slot.
#[test]
fn admit_hopeless() {
    let now = Instant::now();
    let mut waiting = busy(now);
    waiting.resize(2);
    let left = |remaining| applicant(LOOKUP, now + remaining, now + remaining);
    assert_eq!(
        waiting.admit(&left(MILLISECOND * 49), now),
        Admission::Refuse(Reason::Deadline)
    );
    assert_eq!(
        waiting.admit(&left(MILLISECOND * 51), now),
        Admission::Start
    );
}

// Pattern: slow upstream. After it the upstream must be used again, although the runs that it
// had time for were all too long for its callers.
#[test]
fn admit_after_slow_phase() {
    let now = Instant::now();
    let mut waiting: Waiting<()> = Waiting::new(2, now);
    waiting.resize(2);
    waiting.observe(LOOKUP, Duration::from_secs(8));
    let request = applicant(LOOKUP, now + MILLISECOND * 600, now + MILLISECOND * 1500);
    let mut admitted = 0;
    for _ in 0..10 {
        if waiting.admit(&request, now) == Admission::Start {
            admitted += 1;
            waiting.start(LOOKUP, now);
            // One trial at a time.
            let second = waiting.admit(&request, now);
            assert!(second == Admission::Start || admitted < 5, "{second:?}");
            waiting.observe(LOOKUP, MILLISECOND * 200);
            waiting.end(LOOKUP, now);
        }
    }
    assert_eq!(admitted, 10);
}

// Pattern: loss of power. Without any observation, half of the time until the wanted response
// is taken as the run time, so that the queue stays short.
#[test]
fn admit_after_restart() {
    let now = Instant::now();
    let mut waiting: Waiting<()> = Waiting::new(64, now);
    waiting.resize(2);
    waiting.start(LOOKUP, now);
    waiting.start(LOOKUP, now);
    let request = applicant(LOOKUP, now + MILLISECOND * 600, now + MILLISECOND * 1500);
    let mut waiters = 0;
    while let Admission::Wait { .. } = waiting.admit(&request, now) {
        waiting.push(request, ());
        waiters += 1;
    }
    assert_eq!(waiters, 2);
}

// Pattern: burst. A slot that becomes free goes to a request whose response is still expected in
// time, not to one that has waited too long.
#[test]
fn next_refuses_late_request() {
    let now = Instant::now();
    let mut waiting = busy(now);
    let wanted_in = |wait| applicant(LOOKUP, now + wait, now + MILLISECOND * 1500);
    let _late = waiting.push(wanted_in(MILLISECOND * 250), "late");
    let _prompt = waiting.push(wanted_in(MILLISECOND * 600), "prompt");
    assert_eq!(waiting.next(now), None);
    waiting.end(LOOKUP, now);
    let later = now + MILLISECOND * 200;
    assert_eq!(waiting.next(later), Some(Next::Refuse("late")));
    assert_eq!(waiting.next(later), Some(Next::Start("prompt")));
    assert_eq!((waiting.next(later), waiting.free_slots(later)), (None, 0));
}

#[test]
fn remove_waiting_request() {
    let now = Instant::now();
    let mut waiting = busy(now);
    waiting.resize(3);
    assert_eq!(waiting.free_slots(now), 2);
    let request = applicant(
        LOOKUP,
        now + Duration::from_secs(1),
        now + Duration::from_secs(2),
    );
    let ticket = waiting.push(request, "gone");
    assert_eq!(waiting.free_slots(now), 1);
    assert_eq!(waiting.remove(ticket), Some("gone"));
    assert_eq!(waiting.remove(ticket), None);
    assert_eq!(waiting.free_slots(now), 2);
}

// Pattern: services that call each other. A call of a run that has begun goes before requests of
// its rank that have not, even past its target latency.
#[test]
fn next_with_call_of_upstream() {
    let now = Instant::now();
    let mut waiting = busy(now);
    let wanted = now + MILLISECOND * 900;
    let first = applicant(LOOKUP, wanted, now + MILLISECOND * 2000);
    let mut nested = applicant(LOOKUP, now + MILLISECOND * 950, now + MILLISECOND * 950);
    nested.precedence.is_first = false;
    nested.precedence.is_past_target = true;
    let mut urgent = first;
    urgent.precedence.rank = 0;
    waiting.push(first, "first");
    waiting.push(nested, "nested");
    waiting.push(urgent, "urgent");
    let mut order = Vec::new();
    for _ in 0..3 {
        waiting.end(LOOKUP, now);
        order.extend(waiting.next(now));
    }
    let expected = ["urgent", "nested", "first"].map(Next::Start);
    assert_eq!(order, expected);
}
