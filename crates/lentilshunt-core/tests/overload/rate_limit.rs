//! Tests of how many requests an upstream with a rate limit gets.

use std::time::{Duration, Instant};

use lentilshunt_core::{
    admission::Precedence,
    overload::{Admission, Applicant, Next, Notice, Notices, Rate, RateLimit, Waiting},
    verdict::Reason,
};

use crate::{LOOKUP, MILLISECOND};

fn rate(text: &str) -> Rate {
    text.parse().expect("a rate")
}

/// Starts requests as early as the limit lets them for the given time, and returns their number.
fn count_starts(limit: &mut RateLimit, from: Instant, time: Duration) -> usize {
    let mut count = 0;
    let mut now = from;
    while now < from + time {
        while limit.available(now) > 0 {
            limit.record_start(now);
            count += 1;
        }
        now += MILLISECOND;
    }
    count
}

#[test]
fn parse_rate() {
    for (text, interval_ms) in [("8", 125), (" 2.50 ", 400), ("0.1", 2000), ("0", 2000)] {
        assert_eq!(rate(text).interval().as_millis(), interval_ms, "{text:?}");
    }
    for text in ["", "-1", "inf", "NaN", "8/s", "8,5"] {
        let parsed: Result<Rate, _> = text.parse();
        let message = parsed.map_err(|error| error.to_string());
        let expected = format!("{text:?} is not a number of requests per second");
        assert_eq!(message, Err(expected));
    }
    assert_eq!(rate("7.8").to_string(), "7.8");
}

#[test]
fn record_start_at_each_rate() {
    let now = Instant::now();
    for (text, expected) in [("8", 33..=34), ("0", 2..=3), ("100", 400..=426)] {
        let mut limit = RateLimit::default();
        assert!(limit.confirm(Some(rate(text)), now));
        let count = count_starts(&mut limit, now, Duration::from_secs(4));
        assert!(expected.contains(&count), "{count} at {text}");
    }
    // An interval that is not measurable does not limit.
    let mut limit = RateLimit::default();
    limit.confirm(Some(rate("1e300")), now);
    assert_eq!(limit.available(now), u32::MAX);
}

#[test]
fn confirm_changed_limits() {
    let now = Instant::now();
    let mut limit = RateLimit::default();
    assert_eq!((limit.available(now), limit.rate()), (u32::MAX, None));
    assert!(limit.confirm(Some(rate("0.5")), now));
    limit.record_start(now);
    assert_eq!(limit.available(now), 0);
    // A turn that was two seconds ahead comes within a tenth of a second.
    assert!(limit.confirm(Some(rate("10")), now));
    assert_eq!(limit.available(now), 2);
    assert!(!limit.confirm(Some(rate("10")), now));
    assert!(limit.confirm(None, now));
    assert_eq!(limit.available(now), u32::MAX);
}

// A node that has restarted must not send without limit until its upstream has responded.
#[test]
fn suggest_before_and_after_response() {
    let now = Instant::now();
    let mut limit = RateLimit::default();
    assert!(limit.suggest(rate("5"), now));
    assert!(!limit.suggest(rate("9"), now));
    assert_eq!(limit.rate(), Some(rate("5")));
    assert!(limit.confirm(None, now));
    // The upstream itself knows best.
    assert!(!limit.suggest(rate("5"), now));
    limit.reset();
    assert!(limit.suggest(rate("5"), now));
}

#[test]
fn admit_under_rate_limit() {
    let now = Instant::now();
    let mut waiting = Waiting::new(8, now);
    waiting.resize(9);
    waiting.observe(LOOKUP, MILLISECOND * 100);
    waiting.rate_limit_mut().confirm(Some(rate("2")), now);
    let request = |wanted_in, waits_for_turn| Applicant {
        precedence: Precedence::with_deadline(now + wanted_in),
        kind: LOOKUP,
        deadline: now + MILLISECOND * 1500,
        waits_for_turn,
        starts_by: None,
    };
    let patient = request(MILLISECOND * 800, true);
    assert_eq!(waiting.admit(&patient, now), Admission::Start);
    waiting.start(LOOKUP, now);
    assert_eq!(waiting.free_slots(now), 0);
    // Other endpoints may have a free slot.
    let refused = Admission::Refuse(Reason::RateLimited);
    assert_eq!(
        waiting.admit(&request(MILLISECOND * 800, false), now),
        refused
    );
    let until = now + MILLISECOND * 700;
    assert_eq!(waiting.admit(&patient, now), Admission::Wait { until });
    // Its turn comes too late.
    assert_eq!(
        waiting.admit(&request(MILLISECOND * 300, true), now),
        refused
    );
    waiting.push(patient, "patient");
    assert_eq!(
        (waiting.next(now), waiting.wake_at(now)),
        (None, Some(now + MILLISECOND * 250))
    );
    let turn = now + MILLISECOND * 250;
    assert_eq!(waiting.next(turn), Some(Next::Start("patient")));
    assert_eq!(waiting.wake_at(turn), None);
}

#[test]
fn record_notices() {
    let mut notices = Notices::default();
    let limited = Notice {
        process: 1,
        rate_limit: Some(rate("5")),
        is_leaving: false,
    };
    notices.record("n1", Some(limited));
    assert_eq!(notices.get("n1"), Some(limited));
    assert_eq!(notices.get("n2"), None);
    let unlimited = Notice {
        rate_limit: None,
        ..limited
    };
    notices.record("n1", Some(unlimited));
    assert_eq!(notices.get("n1"), None);
}

// An upstream that leaves must not be used again because a delayed reply does not say so.
#[test]
fn record_notice_after_leaving() {
    let mut notices = Notices::default();
    let leaving = Notice {
        process: 1,
        rate_limit: None,
        is_leaving: true,
    };
    let staying = Notice {
        is_leaving: false,
        ..leaving
    };
    notices.record("n1", Some(leaving));
    notices.record("n1", Some(staying));
    notices.record("n1", None);
    assert_eq!(notices.get("n1"), Some(leaving));
    notices.record(
        "n1",
        Some(Notice {
            process: 2,
            ..staying
        }),
    );
    assert_eq!(notices.get("n1"), None);
}
