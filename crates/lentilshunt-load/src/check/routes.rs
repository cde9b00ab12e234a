//! Checks the recorded routes of nodes against accepted versions and started upstreams.

use std::collections::{BTreeMap, BTreeSet};

use lentilshunt_schema::history::{Event, Kind};

use super::{Faults, Invariant, Violation, version_summary::accepted};

/// Maximum time after the planned stop of an upstream until all routes to it are
/// removed, in microseconds.
const ROUTE_REMOVAL_LIMIT_US: u64 = 5_000_000;

/// Returns a violation for each route to an unknown service or endpoint.
///
/// A `routes` event contains the routes that a node served on its admin address,
/// with the version they were built from. Its services must be those of the
/// accepted version. Each endpoint must be an instance whose upstream has started
/// with that service and whose planned stop, if any, is within the limit.
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
                        add_violation(format!(
                            "{service} has a route to {instance}, which never started"
                        ));
                    }
                    let is_stale = ended.get(instance).is_some_and(|ended_us| {
                        event.at_us > ended_us + ROUTE_REMOVAL_LIMIT_US
                            && !faults.has_fault_between(*ended_us, event.at_us)
                    });
                    if is_stale {
                        add_violation(format!(
                            "{service} has a route to {instance}, which has stopped"
                        ));
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
    let service_names = |event: &Event| -> Option<BTreeSet<String>> {
        Some(event.routes.as_ref()?.keys().cloned().collect())
    };
    let routed = service_names(event)?;
    let accepted = service_names(acceptance)?;
    (routed != accepted)
        .then(|| format!("routes of services {routed:?}, the version contains {accepted:?}"))
}
