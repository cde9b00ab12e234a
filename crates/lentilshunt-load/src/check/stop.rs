//! Checks that planned stops interrupt no request in flight.

use std::collections::{BTreeMap, BTreeSet};

use lentilshunt_schema::history::{Event, Kind};

use super::{Faults, Invariant, Violation};
use crate::caller::CRASHES_DETAIL;

/// Planned stop of a process.
#[derive(Debug)]
struct PlannedStop<'a> {
    process: &'a str,
    incarnation: Option<u64>,
    begun_us: u64,
    ended_us: u64,
    callers_address: Option<&'a str>,
}

/// Attempt of a call with its response.
#[derive(Debug)]
struct Attempt<'a> {
    sent: &'a Event,
    replied: Option<&'a Event>,
}

/// Returns a violation for each request that a planned stop interrupted.
///
/// A request is in flight on a stopping node when it was sent to it before the
/// node exited and its response came after the stop began, or when the node's local
/// upstream was running it. Such a request is interrupted when its caller receives
/// neither a response of the upstream nor `not-run`. A run on a stopping upstream is
/// interrupted when it does not end. Requests that crash their upstream, and those
/// during which a fault was in force, are skipped, since the crash or the fault may
/// have interrupted them.
#[must_use]
pub fn check(history: &[Event]) -> Vec<Violation> {
    let faults = Faults::from_history(history);
    let stops = stops(history);
    let executed = executed_attempts(history);
    let mut violations = Vec::new();
    for attempt in attempts(history) {
        let from_us = attempt.sent.at_us;
        let to_us = attempt.replied.map_or(u64::MAX, |replied| replied.at_us);
        if attempt.is_settled() || faults.has_fault_between(from_us, to_us) {
            continue;
        }
        let interrupting = stops
            .iter()
            .filter(|stop| stop.begun_us <= to_us && stop.ended_us >= from_us)
            .find(|stop| stop.received(&attempt) || stop.executed(&attempt, &executed));
        if let Some(stop) = interrupting {
            let key = attempt.sent.key.as_deref().unwrap_or_default();
            let detail = format!("{key} sent at {from_us} got no response");
            violations.push(Violation::new(
                Invariant::PlannedStop,
                stop.begun_us,
                stop.process,
                detail,
            ));
        }
    }
    violations.extend(interrupted_runs(history, &stops, &faults));
    violations
}

impl PlannedStop<'_> {
    /// Returns whether an attempt was sent to the stopping node.
    fn received(&self, attempt: &Attempt<'_>) -> bool {
        self.callers_address.is_some() && self.callers_address == attempt.sent.instance.as_deref()
    }

    /// Returns whether an attempt ran on the local upstream of the stopping node.
    fn executed(&self, attempt: &Attempt<'_>, executed: &BTreeSet<(&str, &str)>) -> bool {
        let id = attempt.sent.attempt.as_deref().unwrap_or_default();
        self.process
            .strip_prefix("node/")
            .is_some_and(|instance| executed.contains(&(id, instance)))
    }
}

impl Attempt<'_> {
    fn is_settled(&self) -> bool {
        if self.sent.detail.as_deref() == Some(CRASHES_DETAIL) {
            return true;
        }
        let verdict = self.replied.and_then(|replied| replied.verdict.as_deref());
        matches!(verdict, Some("ran" | "not-run" | "not-sent"))
    }
}

/// Returns a violation for each run on a stopped upstream that did not end, or that
/// was cancelled after the stop began.
fn interrupted_runs(
    history: &[Event],
    stops: &[PlannedStop<'_>],
    faults: &Faults,
) -> Vec<Violation> {
    let ended = run_ends(history, Kind::RunEnded);
    let cancelled = run_ends(history, Kind::RunCancelled);
    let end_us = history.last().map_or(0, |event| event.at_us);
    let begun = history.iter().filter(|event| event.kind == Kind::RunBegun);
    let mut violations = Vec::new();
    for run in begun {
        let stopped = stops.iter().find(|stop| {
            stop.process == run.process
                && stop.incarnation == run.incarnation
                && stop.ended_us >= run.at_us
        });
        let Some(stop) = stopped else {
            continue;
        };
        let id = (run.process.as_str(), run.request.as_deref());
        // The stop cannot have interrupted a run that was cancelled before it began.
        let was_cancelled = cancelled.get(&id).is_some_and(|at| *at < stop.begun_us);
        let has_ended = ended.contains_key(&id) || was_cancelled;
        let until_us = stop.ended_us.min(end_us);
        if has_ended || faults.has_fault_between(run.at_us, until_us) {
            continue;
        }
        let key = run.key.as_deref().unwrap_or_default();
        let detail = format!("the run of {key} begun at {} did not end", run.at_us);
        violations.push(Violation::new(
            Invariant::PlannedStop,
            stop.begun_us,
            stop.process,
            detail,
        ));
    }
    violations
}

/// Returns the instants of the run events of one kind, by upstream and request.
fn run_ends(history: &[Event], kind: Kind) -> BTreeMap<(&str, Option<&str>), u64> {
    history
        .iter()
        .filter(|event| event.kind == kind)
        .map(|event| {
            (
                (event.process.as_str(), event.request.as_deref()),
                event.at_us,
            )
        })
        .collect()
}

/// Returns the pairs of an attempt and the instance whose upstream ran it.
fn executed_attempts(history: &[Event]) -> BTreeSet<(&str, &str)> {
    history
        .iter()
        .filter(|event| event.kind == Kind::RunBegun)
        .filter_map(|run| {
            let instance = run.process.strip_prefix("upstream/")?;
            Some((run.attempt.as_deref()?, instance))
        })
        .collect()
}

fn attempts(history: &[Event]) -> Vec<Attempt<'_>> {
    let mut replies: BTreeMap<(&str, &str), &Event> = BTreeMap::new();
    for event in history {
        if event.kind == Kind::Replied
            && let (Some(key), Some(attempt)) = (&event.key, &event.attempt)
        {
            replies.insert((key, attempt), event);
        }
    }
    let mut attempts = Vec::new();
    for event in history {
        if event.kind == Kind::Sent
            && let (Some(key), Some(attempt)) = (&event.key, &event.attempt)
        {
            attempts.push(Attempt {
                sent: event,
                replied: replies.get(&(key.as_str(), attempt.as_str())).copied(),
            });
        }
    }
    attempts
}

fn stops(history: &[Event]) -> Vec<PlannedStop<'_>> {
    let mut callers_addresses: BTreeMap<(&str, Option<u64>), &str> = BTreeMap::new();
    let mut stops: Vec<PlannedStop<'_>> = Vec::new();
    for event in history {
        let process = event.process.as_str();
        let id = (process, event.incarnation);
        match event.kind {
            Kind::Started => {
                if let Some(address) = &event.detail {
                    callers_addresses.insert(id, address);
                }
            }
            Kind::Stopping => stops.push(PlannedStop {
                process,
                incarnation: event.incarnation,
                begun_us: event.at_us,
                ended_us: u64::MAX,
                callers_address: callers_addresses.get(&id).copied(),
            }),
            Kind::Stopped => {
                let stop = stops
                    .iter_mut()
                    .find(|stop| (stop.process, stop.incarnation) == id);
                if let Some(stop) = stop {
                    stop.ended_us = event.at_us;
                }
            }
            _ => {}
        }
    }
    stops
}
