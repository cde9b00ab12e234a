//! Each checker must reject a broken history and accept a sound one.

mod common;

use common::{
    SECOND, accepted, event, fault, installed, phase, replied, routes, run, sent, started,
};
use lentilshunt_load::check::{Promise, judge};
use lentilshunt_schema::history::{Event, Kind};

/// Returns the promises that a history breaks, in the order of the violations.
fn broken(mut history: Vec<Event>) -> Vec<Promise> {
    history.sort_by_key(|event| event.at_us);
    judge(&history)
        .iter()
        .map(|violation| violation.promise)
        .collect()
}

/// A call in flight on a node that stops at 10 and has ended at 30.
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
fn judge_version_order() {
    let accepted = || vec![accepted(1, 1), accepted(2, 2)];
    let with = |events: [Event; 2]| broken([accepted(), events.to_vec()].concat());
    let order = vec![Promise::VersionOrder];
    assert_eq!(with([installed(3, 1, 1), installed(4, 1, 2)]), []);
    assert_eq!(with([installed(3, 1, 2), installed(4, 2, 2)]), []);
    assert_eq!(with([installed(3, 1, 2), installed(4, 1, 1)]), order);
    assert_eq!(with([installed(3, 1, 2), installed(4, 1, 2)]), order);
    assert_eq!(with([installed(3, 1, 2), installed(4, 2, 1)]), order);
}

#[test]
fn judge_whole_version() {
    let mut other = installed(3, 1, 1);
    other.digest = Some("half of it".to_owned());
    let whole = vec![Promise::WholeVersion];
    assert_eq!(broken(vec![accepted(1, 1), installed(3, 1, 1)]), []);
    assert_eq!(broken(vec![accepted(1, 1), other]), whole);
    assert_eq!(broken(vec![accepted(1, 1), installed(3, 1, 2)]), whole);
}

#[test]
fn judge_own_answer() {
    let answered = |digest: &str| vec![sent(1, "1", true), replied(4, "1", Some("ran"), digest)];
    let ran = vec![run(2, "1", Kind::RunBegun), run(3, "1", Kind::RunEnded)];
    let own = vec![Promise::OwnAnswer];
    assert_eq!(broken([answered("own"), ran.clone()].concat()), []);
    assert_eq!(broken([answered("another's"), ran].concat()), own);
    assert_eq!(broken(answered("own")), own);
}

#[test]
fn judge_true_not_run() {
    let told = |at_us| replied(at_us, "1", Some("not-run"), "");
    let begun = |at_us, attempt: &str| run(at_us, attempt, Kind::RunBegun);
    let lie = vec![Promise::TrueNotRun];
    for idempotent in [true, false] {
        let first = || sent(1, "1", idempotent);
        let again = || sent(5, "2", idempotent);
        assert_eq!(broken(vec![first(), told(4)]), []);
        assert_eq!(broken(vec![first(), told(4), again(), begun(6, "2")]), []);
        assert_eq!(broken(vec![first(), begun(3, "1"), told(4)]), lie);
        assert_eq!(broken(vec![first(), told(4), begun(9, "1")]), lie);
    }
}

#[test]
fn judge_true_not_run_of_resend() {
    // The first attempt ran, and the caller is told of its resend that nothing did.
    let history = |idempotent| {
        broken(vec![
            sent(1, "1", idempotent),
            run(2, "1", Kind::RunBegun),
            replied(3, "1", None, ""),
            sent(4, "2", idempotent),
            replied(5, "2", Some("not-run"), ""),
        ])
    };
    assert_eq!(history(true), []);
    assert_eq!(history(false), [Promise::TrueNotRun]);
}

#[test]
fn judge_at_most_once() {
    let history = |idempotent, second: &str| {
        broken(vec![
            sent(1, "1", idempotent),
            run(2, "1", Kind::RunBegun),
            replied(3, "1", None, ""),
            sent(4, second, idempotent),
            other_process(run(5, second, Kind::RunBegun), "upstream/b"),
            replied(6, second, Some("ran"), "own"),
        ])
    };
    assert_eq!(history(true, "2"), []);
    assert_eq!(history(false, "2"), [Promise::AtMostOnce]);
    assert_eq!(history(false, "1"), [Promise::AtMostOnce]);
}

#[test]
fn judge_drain() {
    let begun = |at_us| run(at_us, "1", Kind::RunBegun);
    let draining = || phase(SECOND, "draining");
    let late = 4 * SECOND;
    assert_eq!(broken(vec![draining(), begun(2 * SECOND)]), []);
    assert_eq!(
        broken(vec![draining(), phase(2 * SECOND, "ready"), begun(late)]),
        []
    );
    assert_eq!(broken(vec![draining(), begun(late)]), [Promise::Drain]);
}

#[test]
fn judge_planned_stop() {
    let history = |verdict, digest: &str| {
        stopping(vec![
            sent(5, "1", true),
            run(6, "1", Kind::RunBegun),
            run(7, "1", Kind::RunEnded),
            replied(20, "1", verdict, digest),
        ])
    };
    let cut = vec![Promise::PlannedStop];
    assert_eq!(broken(history(Some("ran"), "own")), []);
    assert_eq!(broken(history(None, "")), cut);
    assert_eq!(broken(history(Some("may-have-run"), "")), cut);
    let before = stopping(vec![sent(2, "1", true), replied(4, "1", None, "")]);
    assert_eq!(broken(before), []);
    let mut crashes = history(None, "");
    crashes
        .iter_mut()
        .filter(|event| event.kind == Kind::Sent)
        .for_each(|sent| sent.detail = Some("crashes".to_owned()));
    assert_eq!(broken(crashes), []);
    let mut under_fault = history(None, "");
    under_fault.push(fault(6, Kind::Fault, "cut"));
    under_fault.push(fault(7, Kind::Healed, "cut"));
    assert_eq!(broken(under_fault), []);
}

#[test]
fn judge_planned_stop_of_executor() {
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
    assert_eq!(broken(history(Some("ran"))), []);
    assert_eq!(broken(history(None)), [Promise::PlannedStop]);
}

#[test]
fn judge_planned_stop_of_upstream() {
    let history = |last_us, last| {
        broken(vec![
            run(6, "1", Kind::RunBegun),
            event(10, "upstream/a", Kind::Stopping),
            run(last_us, "1", last),
            event(20, "upstream/a", Kind::Stopped),
        ])
    };
    assert_eq!(history(15, Kind::RunEnded), []);
    assert_eq!(history(8, Kind::RunCancelled), []);
    assert_eq!(history(11, Kind::RunCancelled), [Promise::PlannedStop]);
    assert_eq!(history(15, Kind::RunCancelled), [Promise::PlannedStop]);
}

#[test]
fn judge_known_routes() {
    let up = || started(1, "upstream/a", 1, "");
    let known = || vec![up(), accepted_with(2, "boletas")];
    let shown = |event| broken([known(), vec![event]].concat());
    let dangling = vec![Promise::KnownRoutes];
    assert_eq!(shown(routes(3, 1, "boletas", &["a"])), []);
    assert_eq!(shown(routes(3, 1, "boletas", &[])), []);
    assert_eq!(shown(routes(3, 1, "boletas", &["b"])), dangling);
    assert_eq!(shown(routes(3, 1, "despachos", &[])), dangling);
}

#[test]
fn judge_known_routes_after_stop() {
    let history = |at_us, restarted: bool| {
        let mut events = vec![
            started(1, "upstream/a", 1, ""),
            event(2, "upstream/a", Kind::Stopped),
            routes(at_us, 1, "boletas", &["a"]),
        ];
        if restarted {
            events.push(started(3, "upstream/a", 2, ""));
        }
        broken(events)
    };
    assert_eq!(history(SECOND, false), []);
    assert_eq!(history(9 * SECOND, true), []);
    assert_eq!(history(9 * SECOND, false), [Promise::KnownRoutes]);
}

#[test]
fn judge_in_force() {
    let up = || started(1, "node/a", 1, "");
    let end = || event(30 * SECOND, "chaos", Kind::Healed);
    let history = |events: Vec<Event>| {
        let common = vec![up(), accepted(SECOND, 1), end()];
        broken([common, events].concat())
    };
    let late = vec![Promise::InForce];
    assert_eq!(history(vec![installed(5 * SECOND, 1, 1)]), []);
    assert_eq!(history(vec![installed(7 * SECOND, 1, 1)]), late);
    assert_eq!(history(Vec::new()), late);
    let stopped = event(4 * SECOND, "node/a", Kind::Stopping);
    assert_eq!(history(vec![stopped]), []);
}

#[test]
fn judge_in_force_after_fault() {
    let history = |installed_us| {
        broken(vec![
            started(1, "node/a", 1, ""),
            accepted(SECOND, 1),
            fault(2 * SECOND, Kind::Fault, "cut"),
            fault(9 * SECOND, Kind::Healed, "cut"),
            installed(installed_us, 1, 1),
            event(30 * SECOND, "chaos", Kind::Healed),
        ])
    };
    assert_eq!(history(13 * SECOND), []);
    assert_eq!(history(15 * SECOND), [Promise::InForce]);
}

#[test]
fn judge_serial_acceptance() {
    let history = |second: [Event; 2]| {
        let first = [offered(1, "x", 0), accepted_by(3, "x", 1)];
        broken([first.to_vec(), second.to_vec()].concat())
    };
    let serial = vec![Promise::SerialAcceptance];
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
    assert_eq!(broken(stale.to_vec()), serial);
}
