//! Each checker rejects a history that violates its invariant and accepts a valid one.

mod common;

use common::{
    SECOND_US, accepted, event, fault, installed, phase, replied, routes, run, sent, started,
};
use lentilshunt_load::check::{Invariant, check_history};
use lentilshunt_schema::history::{Event, Kind};

/// Returns the invariants that a history violates, in the order of the violations.
fn violated(mut history: Vec<Event>) -> Vec<Invariant> {
    history.sort_by_key(|event| event.at_us);
    check_history(&history)
        .iter()
        .map(|violation| violation.invariant)
        .collect()
}

/// Returns the history of an attempt on a node that stops at 10 and has exited at 30.
fn stopping(attempt: Vec<Event>) -> Vec<Event> {
    let mut history = vec![
        started(1, "node/a", 1, "address-a"),
        event(10, "node/a", Kind::Stopping),
        event(30, "node/a", Kind::Stopped),
        started(1, "upstream/a", 1, ""),
    ];
    history.extend(attempt);
    history
}

fn offered(at_us: u64, operation: &str, base: u64) -> Event {
    let mut event = fault(at_us, Kind::Offered, operation);
    event.base = Some(base);
    event
}

fn accepted_by(at_us: u64, operation: &str, version: u64) -> Event {
    let mut event = accepted(at_us, version);
    event.request = Some(operation.to_owned());
    event
}

fn accepted_with(at_us: u64, service: &str) -> Event {
    let mut event = accepted(at_us, 1);
    event.routes = Some([(service.to_owned(), Vec::new())].into());
    event
}

fn other_process(mut event: Event, process: &str) -> Event {
    process.clone_into(&mut event.process);
    event
}

#[test]
fn check_version_order() {
    let accepted = || vec![accepted(1, 1), accepted(2, 2)];
    let with = |events: [Event; 2]| violated([accepted(), events.to_vec()].concat());
    let order = vec![Invariant::VersionOrder];
    assert_eq!(with([installed(3, 1, 1), installed(4, 1, 2)]), []);
    assert_eq!(with([installed(3, 1, 2), installed(4, 2, 2)]), []);
    assert_eq!(with([installed(3, 1, 2), installed(4, 1, 1)]), order);
    assert_eq!(with([installed(3, 1, 2), installed(4, 1, 2)]), order);
    assert_eq!(with([installed(3, 1, 2), installed(4, 2, 1)]), order);
}

#[test]
fn check_complete_version() {
    let mut other = installed(3, 1, 1);
    other.digest = Some("other-digest".to_owned());
    let partial = vec![Invariant::CompleteVersion];
    assert_eq!(violated(vec![accepted(1, 1), installed(3, 1, 1)]), []);
    assert_eq!(violated(vec![accepted(1, 1), other]), partial);
    assert_eq!(violated(vec![accepted(1, 1), installed(3, 1, 2)]), partial);
}

#[test]
fn check_matching_response() {
    let responded = |digest: &str| vec![sent(1, "1", true), replied(4, "1", Some("ran"), digest)];
    let ran = vec![run(2, "1", Kind::RunBegun), run(3, "1", Kind::RunEnded)];
    let own = vec![Invariant::MatchingResponse];
    assert_eq!(violated([responded("own"), ran.clone()].concat()), []);
    assert_eq!(violated([responded("another's"), ran].concat()), own);
    assert_eq!(violated(responded("own")), own);
}

#[test]
fn check_accurate_not_run() {
    let not_run = |at_us| replied(at_us, "1", Some("not-run"), "");
    let begun = |at_us, attempt: &str| run(at_us, attempt, Kind::RunBegun);
    let violation = vec![Invariant::AccurateNotRun];
    for idempotent in [true, false] {
        let first = || sent(1, "1", idempotent);
        let resend = || sent(5, "2", idempotent);
        assert_eq!(violated(vec![first(), not_run(4)]), []);
        assert_eq!(
            violated(vec![first(), not_run(4), resend(), begun(6, "2")]),
            []
        );
        assert_eq!(
            violated(vec![first(), begun(3, "1"), not_run(4)]),
            violation
        );
        assert_eq!(
            violated(vec![first(), not_run(4), begun(9, "1")]),
            violation
        );
    }
}

#[test]
fn check_accurate_not_run_of_resend() {
    // The first attempt ran, but the response to its resend reports that nothing ran.
    let history = |idempotent| {
        violated(vec![
            sent(1, "1", idempotent),
            run(2, "1", Kind::RunBegun),
            replied(3, "1", None, ""),
            sent(4, "2", idempotent),
            replied(5, "2", Some("not-run"), ""),
        ])
    };
    assert_eq!(history(true), []);
    assert_eq!(history(false), [Invariant::AccurateNotRun]);
}

#[test]
fn check_at_most_once() {
    let history = |idempotent, second: &str| {
        violated(vec![
            sent(1, "1", idempotent),
            run(2, "1", Kind::RunBegun),
            replied(3, "1", None, ""),
            sent(4, second, idempotent),
            other_process(run(5, second, Kind::RunBegun), "upstream/b"),
            replied(6, second, Some("ran"), "own"),
        ])
    };
    assert_eq!(history(true, "2"), []);
    assert_eq!(history(false, "2"), [Invariant::AtMostOnce]);
    assert_eq!(history(false, "1"), [Invariant::AtMostOnce]);
}

#[test]
fn check_drain() {
    let begun = |at_us| run(at_us, "1", Kind::RunBegun);
    let draining = || phase(SECOND_US, "draining");
    let late = 4 * SECOND_US;
    assert_eq!(violated(vec![draining(), begun(2 * SECOND_US)]), []);
    assert_eq!(
        violated(vec![draining(), phase(2 * SECOND_US, "ready"), begun(late)]),
        []
    );
    assert_eq!(violated(vec![draining(), begun(late)]), [Invariant::Drain]);
}

#[test]
fn check_planned_stop() {
    let history = |verdict, digest: &str| {
        stopping(vec![
            sent(5, "1", true),
            run(6, "1", Kind::RunBegun),
            run(7, "1", Kind::RunEnded),
            replied(20, "1", verdict, digest),
        ])
    };
    let interrupted = vec![Invariant::PlannedStop];
    assert_eq!(violated(history(Some("ran"), "own")), []);
    assert_eq!(violated(history(None, "")), interrupted);
    assert_eq!(violated(history(Some("may-have-run"), "")), interrupted);
    let before = stopping(vec![sent(2, "1", true), replied(4, "1", None, "")]);
    assert_eq!(violated(before), []);
    let mut crashes = history(None, "");
    crashes
        .iter_mut()
        .filter(|event| event.kind == Kind::Sent)
        .for_each(|sent| sent.detail = Some("crashes".to_owned()));
    assert_eq!(violated(crashes), []);
    let mut under_fault = history(None, "");
    under_fault.push(fault(6, Kind::Fault, "cut"));
    under_fault.push(fault(7, Kind::Healed, "cut"));
    assert_eq!(violated(under_fault), []);
}

#[test]
fn check_planned_stop_of_executor() {
    let mut call = sent(5, "1", true);
    call.instance = Some("address-b".to_owned());
    let history = |verdict| {
        stopping(vec![
            call.clone(),
            run(6, "1", Kind::RunBegun),
            run(7, "1", Kind::RunEnded),
            replied(20, "1", verdict, "own"),
        ])
    };
    assert_eq!(violated(history(Some("ran"))), []);
    assert_eq!(violated(history(None)), [Invariant::PlannedStop]);
}

#[test]
fn check_planned_stop_of_upstream() {
    let history = |last_us, last| {
        violated(vec![
            run(6, "1", Kind::RunBegun),
            event(10, "upstream/a", Kind::Stopping),
            run(last_us, "1", last),
            event(20, "upstream/a", Kind::Stopped),
        ])
    };
    assert_eq!(history(15, Kind::RunEnded), []);
    assert_eq!(history(8, Kind::RunCancelled), []);
    assert_eq!(history(11, Kind::RunCancelled), [Invariant::PlannedStop]);
    assert_eq!(history(15, Kind::RunCancelled), [Invariant::PlannedStop]);
}

#[test]
fn check_known_routes() {
    let up = || started(1, "upstream/a", 1, "");
    let known = || vec![up(), accepted_with(2, "boletas")];
    let shown = |event| violated([known(), vec![event]].concat());
    let dangling = vec![Invariant::KnownRoutes];
    assert_eq!(shown(routes(3, 1, "boletas", &["a"])), []);
    assert_eq!(shown(routes(3, 1, "boletas", &[])), []);
    assert_eq!(shown(routes(3, 1, "boletas", &["b"])), dangling);
    assert_eq!(shown(routes(3, 1, "despachos", &[])), dangling);
}

#[test]
fn check_known_routes_after_stop() {
    let history = |at_us, restarted: bool| {
        let mut events = vec![
            started(1, "upstream/a", 1, ""),
            event(2, "upstream/a", Kind::Stopped),
            routes(at_us, 1, "boletas", &["a"]),
        ];
        if restarted {
            events.push(started(3, "upstream/a", 2, ""));
        }
        violated(events)
    };
    assert_eq!(history(SECOND_US, false), []);
    assert_eq!(history(9 * SECOND_US, true), []);
    assert_eq!(history(9 * SECOND_US, false), [Invariant::KnownRoutes]);
}

#[test]
fn check_convergence() {
    let up = || started(1, "node/a", 1, "");
    let end = || event(30 * SECOND_US, "chaos", Kind::Healed);
    let history = |events: Vec<Event>| {
        let common = vec![up(), accepted(SECOND_US, 1), end()];
        violated([common, events].concat())
    };
    let late = vec![Invariant::Convergence];
    assert_eq!(history(vec![installed(5 * SECOND_US, 1, 1)]), []);
    assert_eq!(history(vec![installed(7 * SECOND_US, 1, 1)]), late);
    assert_eq!(history(Vec::new()), late);
    let stopped = event(4 * SECOND_US, "node/a", Kind::Stopping);
    assert_eq!(history(vec![stopped]), []);
}

#[test]
fn check_convergence_after_fault() {
    let history = |installed_us| {
        violated(vec![
            started(1, "node/a", 1, ""),
            accepted(SECOND_US, 1),
            fault(2 * SECOND_US, Kind::Fault, "cut"),
            fault(9 * SECOND_US, Kind::Healed, "cut"),
            installed(installed_us, 1, 1),
            event(30 * SECOND_US, "chaos", Kind::Healed),
        ])
    };
    assert_eq!(history(13 * SECOND_US), []);
    assert_eq!(history(15 * SECOND_US), [Invariant::Convergence]);
}

#[test]
fn check_serial_acceptance() {
    let history = |second: [Event; 2]| {
        let first = [offered(1, "x", 0), accepted_by(3, "x", 1)];
        violated([first.to_vec(), second.to_vec()].concat())
    };
    let serial = vec![Invariant::SerialAcceptance];
    let version = |version| accepted_by(5, "y", version);
    assert_eq!(history([offered(2, "y", 1), version(2)]), []);
    assert_eq!(history([offered(2, "y", 0), version(1)]), serial);
    assert_eq!(history([offered(2, "y", 0), version(2)]), serial);
    let stale = [
        offered(1, "x", 1),
        accepted_by(2, "x", 2),
        offered(3, "y", 0),
        accepted_by(4, "y", 1),
    ];
    assert_eq!(violated(stale.to_vec()), serial);
}
