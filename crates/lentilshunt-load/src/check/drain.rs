//! Checks that a draining upstream receives no new requests.

use std::collections::BTreeMap;

use lentilshunt_schema::history::{Event, Kind};

use super::{Invariant, Violation};

/// Maximum time until all nodes stop sending requests to a draining upstream, in
/// microseconds.
const DRAIN_PROPAGATION_LIMIT_US: u64 = 2_000_000;
/// Maximum time for which a request waits at the upstream before its run begins, in
/// microseconds.
const QUEUE_WAIT_LIMIT_US: u64 = 500_000;

/// Returns a violation for each run that began after both limits of a drain.
#[must_use]
pub fn check(history: &[Event]) -> Vec<Violation> {
    let mut draining: BTreeMap<(&str, Option<u64>), u64> = BTreeMap::new();
    let mut violations = Vec::new();
    for event in history {
        let process = (event.process.as_str(), event.incarnation);
        match (event.kind, event.detail.as_deref()) {
            (Kind::Phase, Some("draining")) => {
                draining.entry(process).or_insert(event.at_us);
            }
            (Kind::Phase, _) => {
                draining.remove(&process);
            }
            (Kind::RunBegun, _) => {
                let Some(begun_us) = draining.get(&process) else {
                    continue;
                };
                let elapsed_us = event.at_us.saturating_sub(*begun_us);
                if elapsed_us > DRAIN_PROPAGATION_LIMIT_US + QUEUE_WAIT_LIMIT_US {
                    let key = event.key.as_deref().unwrap_or("a request");
                    let detail =
                        format!("{key} began {elapsed_us} us after the start of the drain");
                    violations.push(Violation::new(
                        Invariant::Drain,
                        event.at_us,
                        &event.process,
                        detail,
                    ));
                }
            }
            _ => {}
        }
    }
    violations
}
