//! Tests of what is remembered of processes that have left.

use std::time::{Duration, Instant};

use lentilshunt_core::{
    leaving::{Departure, History, Start},
    membership::Phase,
};
use rstest::rstest;

const INTERVAL: Duration = Duration::from_secs(1);

fn departure(process: &str, started_ms: u64, phase: Phase) -> Departure {
    Departure {
        process: process.to_owned(),
        started_ms,
        sequence: 4,
        phase,
    }
}

fn start(process: &str, started_ms: u64, sequence: u64) -> Start<'_> {
    Start {
        process,
        started_ms,
        sequence,
    }
}

// A report that had been sent before the departure brought the process back into use.
#[rstest]
#[case::same_start(50, start("p1", 50, 9), 100_000, true)]
#[case::later_start(50, start("p1", 60, 1), 0, false)]
#[case::other_process(50, start("p2", 50, 1), 0, false)]
#[case::earlier_start(50, start("p1", 40, 99), 9_900, true)]
#[case::clock_set_back(50, start("p1", 40, 1), 10_100, false)]
#[case::start_unknown_and_young(0, start("p1", 50, 3), 2_300, true)]
#[case::start_unknown_and_old(0, start("p1", 50, 99), 48_000, true)]
#[case::start_unknown_and_started_again(0, start("p1", 50, 1), 10_100, false)]
#[case::report_without_start(50, start("p1", 0, 3), 2_300, true)]
#[case::forgotten(50, start("p1", 50, 9), 120_000, false)]
fn hold_off_report(
    #[case] left_ms: u64,
    #[case] report: Start<'_>,
    #[case] after_ms: u64,
    #[case] expected: bool,
) {
    let now = Instant::now();
    let mut history = History::default();
    assert!(history.record(departure("p1", left_ms, Phase::Gone), now));
    let at = now + Duration::from_millis(after_ms);
    assert_eq!(history.holds_off(&report, INTERVAL, at), expected);
}

// A delayed report of a process that had left before the current one brought it back into use.
#[test]
fn hold_off_earlier_process() {
    let now = Instant::now();
    let mut history = History::default();
    for process in ["p1", "p2", "p3"] {
        history.record(departure(process, 50, Phase::Gone), now);
    }
    let at = now + INTERVAL * 60;
    for process in ["p1", "p2", "p3"] {
        assert!(history.holds_off(&start(process, 50, 9), INTERVAL, at));
    }
}

#[rstest]
#[case::repeated(departure("p1", 50, Phase::Draining), 50, Phase::Draining, false)]
#[case::later_phase(departure("p1", 50, Phase::Gone), 50, Phase::Gone, true)]
#[case::without_start(departure("p1", 0, Phase::Draining), 50, Phase::Draining, false)]
#[case::gone_without_start(departure("p1", 0, Phase::Gone), 50, Phase::Gone, true)]
#[case::earlier_start(departure("p1", 40, Phase::Gone), 50, Phase::Draining, false)]
#[case::later_start(departure("p1", 60, Phase::Draining), 60, Phase::Draining, true)]
fn record_again(
    #[case] next: Departure,
    #[case] started_ms: u64,
    #[case] phase: Phase,
    #[case] is_new: bool,
) {
    let now = Instant::now();
    let mut history = History::default();
    history.record(departure("p1", 50, Phase::Draining), now);
    assert_eq!(history.record(next, now), is_new);
    assert_eq!(history.departures(), [departure("p1", started_ms, phase)]);
}

#[test]
fn record_many_processes() {
    let now = Instant::now();
    let mut history = History::default();
    for process in 0..20 {
        history.record(departure(&format!("p{process}"), 50, Phase::Gone), now);
    }
    let remembered: Vec<_> = history
        .departures()
        .into_iter()
        .map(|departure| departure.process)
        .collect();
    let latest: Vec<_> = (12..20).map(|process| format!("p{process}")).collect();
    assert_eq!(remembered, latest);
}

#[test]
fn remove_expired_departures() {
    let now = Instant::now();
    let mut history = History::default();
    history.record(departure("p1", 50, Phase::Gone), now);
    let expires_at = history.next_expiry().expect("an expiry");
    history.remove_expired(expires_at.checked_sub(INTERVAL).unwrap());
    assert_eq!(history.departures().len(), 1);
    history.remove_expired(expires_at);
    assert_eq!(
        (history.departures(), history.next_expiry()),
        (vec![], None)
    );
}
