//! Tests for the slots, the queue and the run time estimate of an upstream.

use std::time::{Duration, Instant};

use lentilshunt_core::admission::{Estimate, Precedence, Queue, Slots};

const MILLISECOND: Duration = Duration::from_millis(1);

#[test]
fn queue_orders_by_deadline_then_arrival() {
    let now = Instant::now();
    let mut queue = Queue::new(3);
    let last = queue.push(Precedence::with_deadline(now + MILLISECOND * 9), "last");
    let _first = queue.push(Precedence::with_deadline(now + MILLISECOND * 5), "first");
    assert!(!queue.is_full());
    let _second = queue.push(Precedence::with_deadline(now + MILLISECOND * 5), "second");
    assert!(queue.is_full());
    assert_eq!(
        queue.count_ahead_of(Precedence::with_deadline(now + MILLISECOND * 5)),
        2
    );
    assert_eq!(queue.count_ahead_of(Precedence::with_deadline(now)), 0);
    assert_eq!(queue.remove(last), Some("last"));
    assert_eq!(queue.remove(last), None);
    let order = [queue.pop(), queue.pop(), queue.pop()];
    assert_eq!(order, [Some("first"), Some("second"), None]);
}

#[test]
fn queue_orders_by_rank_before_deadline() {
    let now = Instant::now();
    let mut queue = Queue::new(3);
    let precedence = |rank, deadline| Precedence {
        rank,
        ..Precedence::with_deadline(deadline)
    };
    queue.push(precedence(2, now), "bulk");
    queue.push(precedence(0, now + MILLISECOND * 9), "urgent");
    queue.push(precedence(1, now + MILLISECOND), "usual");
    assert_eq!(queue.count_ahead_of(precedence(1, now)), 1);
    let order = [queue.pop(), queue.pop(), queue.pop()];
    assert_eq!(order, [Some("urgent"), Some("usual"), Some("bulk")]);
}

#[test]
fn queue_orders_past_target_last() {
    let now = Instant::now();
    let mut queue = Queue::new(2);
    let past_target = Precedence {
        is_past_target: true,
        ..Precedence::with_deadline(now)
    };
    queue.push(past_target, "past target");
    queue.push(
        Precedence::with_deadline(now + MILLISECOND),
        "within target",
    );
    assert_eq!(
        [queue.pop(), queue.pop()],
        [Some("within target"), Some("past target")]
    );
}

#[test]
fn slots_acquire_up_to_limit() {
    let slots = Slots::default();
    assert!(!slots.try_acquire());
    slots.resize(2);
    assert_eq!(
        [
            slots.try_acquire(),
            slots.try_acquire(),
            slots.try_acquire()
        ],
        [true, true, false]
    );
    slots.resize(1);
    slots.release();
    assert_eq!((slots.free(), slots.try_acquire()), (0, false));
    slots.release();
    assert_eq!((slots.free(), slots.try_acquire()), (1, true));
}

#[test]
fn estimate_averages_run_times() {
    let now = Instant::now();
    let estimate = Estimate::default();
    assert_eq!(estimate.expected_completion(now, 5, 2), now);
    estimate.observe(MILLISECOND * 8);
    assert_eq!(estimate.run_time(), MILLISECOND * 8);
    estimate.observe(MILLISECOND * 16);
    assert_eq!(estimate.run_time(), MILLISECOND * 9);
    // Three requests are ahead on two slots, followed by the run itself.
    let expected_completion = estimate.expected_completion(now, 3, 2);
    assert_eq!(expected_completion - now, MILLISECOND * 27);
}
