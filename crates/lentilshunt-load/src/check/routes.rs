//! Checks the routes that nodes show against what they can know.

use std::collections::{BTreeMap, BTreeSet};

use lentilshunt_schema::history::{Event, Kind};

use super::{Faults, Invariant, Violation, version_summary::accepted};

/// Time after the planned end of an upstream from which on no route may name
/// it, in microseconds.
const ROUTE_REMOVAL_LIMIT_US: u64 = 5_000_000;

/// Returns a violation for each shown route that points at nothing.
///
/// A `routes` event holds the routes that a node showed on its admin address,
/// with the version they were built from. Its services must be those of the
/// accepted version. Each endpoint must be an instance whose upstream has
/// started with that service, and not one that stopped by plan long ago.
#[must_use]
pub fn check(history: &[Event]) -> Vec<Violation> {
    let faults = Faults::from_history(history);
    let accepted = accepted(history);
    let mut started: BTreeSet<(&str, &str)> = BTreeSet::new();
    let mut ended: BTreeMap<&str, u64> = BTreeMap::new();
    let mut violations = Vec::new();
    for event in history {
        match (event.kind, event.process.strip_prefix("upstream/")) {
            (Kind::Started, Some(instance)) => {
                started.insert((event.service.as_deref().unwrap_or_default(), instance));
                ended.remove(instance);
            }
            (Kind::Stopped, Some(instance)) => {
                ended.insert(instance, event.at_us);
            }
            (Kind::Routes, _) => {
                let mut add_violation = |detail: String| {
                    let node = event.instance.as_deref().unwrap_or_default();
                    let invariant = Invariant::KnownRoutes;
                    violations.push(Violation::new(invariant, event.at_us, node, detail));
                };
                if let Some(detail) = unknown_services(event, &accepted) {
                    add_violation(detail);
                }
                for (service, instance) in endpoints(event) {
                    if !started.contains(&(service, instance)) {
                        add_violation(format!("{service} names {instance}, which never started"));
                    }
                    let stale = ended.get(instance).is_some_and(|ended_us| {
                        event.at_us > ended_us + ROUTE_REMOVAL_LIMIT_US
                            && !faults.has_fault_between(*ended_us, event.at_us)
                    });
                    if stale {
                        add_violation(format!("{service} names {instance}, which has stopped"));
                    }
                }
            }
            _ => {}
        }
    }
    violations
}

fn endpoints(event: &Event) -> impl Iterator<Item = (&str, &str)> {
    let routes = event.routes.iter().flatten();
    routes.flat_map(|(service, instances)| {
        instances
            .iter()
            .map(move |instance| (service.as_str(), instance.as_str()))
    })
}

fn unknown_services(event: &Event, accepted: &BTreeMap<u64, &Event>) -> Option<String> {
    let acceptance = accepted.get(&event.version?)?;
    let names = |event: &Event| -> Option<BTreeSet<String>> {
        Some(event.routes.as_ref()?.keys().cloned().collect())
    };
    let shown = names(event)?;
    let known = names(acceptance)?;
    (shown != known).then(|| format!("routes of {shown:?}, the version has {known:?}"))
}
