//! Checks that acceptances are linearizable, with a compare-and-set register as the model.

use std::collections::BTreeMap;

use lentilshunt_schema::history::{Event, Kind};

use super::{Invariant, Violation};

/// Returns a violation for each acceptance that no serial order can explain.
///
/// The model is a register whose version increases by one with each acceptance
/// whose base is the current version. An `offered` event begins an operation, and
/// an `accepted` event with the same request id ends it. A version belongs to one
/// operation, follows its base, and is higher than each version whose acceptance
/// ended before its operation began.
#[must_use]
pub fn check(history: &[Event]) -> Vec<Violation> {
    let mut offered: BTreeMap<&str, &Event> = BTreeMap::new();
    let mut accepted: BTreeMap<u64, &Event> = BTreeMap::new();
    let mut violations = Vec::new();
    for event in history {
        let Some(operation) = event.request.as_deref() else {
            continue;
        };
        match (event.kind, event.version) {
            (Kind::Offered, _) => {
                offered.insert(operation, event);
            }
            (Kind::Accepted, Some(version)) => {
                let offer = offered.get(operation).copied();
                if let Some(detail) = find_contradiction(version, event, offer, &accepted) {
                    let invariant = Invariant::SerialAcceptance;
                    violations.push(Violation::new(invariant, event.at_us, operation, detail));
                }
                accepted.insert(version, event);
            }
            _ => {}
        }
    }
    violations
}

fn find_contradiction(
    version: u64,
    event: &Event,
    offer: Option<&Event>,
    accepted: &BTreeMap<u64, &Event>,
) -> Option<String> {
    if let Some(other) = accepted.get(&version)
        && other.request != event.request
    {
        return Some(format!("version {version} was accepted twice"));
    }
    let offer = offer?;
    if offer.base.is_some_and(|base| base + 1 != version) {
        return Some(format!("version {version} does not follow its base"));
    }
    let newer = accepted
        .range(version + 1..)
        .find(|(_, other)| other.at_us < offer.at_us);
    newer.map(|(newer, _)| format!("version {version} was offered after {newer} was accepted"))
}
