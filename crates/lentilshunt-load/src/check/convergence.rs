//! Checks that accepted versions are soon in force on every node.

use std::collections::BTreeMap;

use lentilshunt_schema::history::{Event, Kind};

use super::{Faults, Promise, Violation, versions::accepted};

/// Longest time from an acceptance, a start or the end of the last fault until
/// a version is in force, in microseconds.
const CONVERGENCE_US: u64 = 5_000_000;

/// The life of one node process.
#[derive(Debug)]
struct Life<'a> {
    process: &'a str,
    begun_us: u64,
    ended_us: u64,
    installed: Vec<(u64, u64)>,
}

/// Returns a violation for each node process that lived long enough, without
/// faults, and has not installed an accepted version or a newer one in time.
///
/// The time counts from the acceptance or from the start of the process. It
/// begins anew when a fault is healed, and is not judged past the last event.
#[must_use]
pub fn judge(history: &[Event]) -> Vec<Violation> {
    let faults = Faults::collect(history);
    let lives = lives(history, &faults);
    let end_us = history.last().map_or(0, |event| event.at_us);
    let mut violations = Vec::new();
    for (version, acceptance) in accepted(history) {
        for life in &lives {
            let from_us = acceptance.at_us.max(life.begun_us);
            let Some(calm_us) = faults.calm_from(from_us, CONVERGENCE_US) else {
                continue;
            };
            let due_us = calm_us + CONVERGENCE_US;
            if due_us > end_us || due_us > life.ended_us || life.has(version, due_us) {
                continue;
            }
            let detail = format!("version {version} is not in force at {due_us}");
            violations.push(Violation::new(
                Promise::InForce,
                due_us,
                life.process,
                detail,
            ));
        }
    }
    violations
}

impl Life<'_> {
    fn has(&self, version: u64, due_us: u64) -> bool {
        self.installed
            .iter()
            .any(|(installed, at_us)| *installed >= version && *at_us <= due_us)
    }
}

fn lives<'a>(history: &'a [Event], faults: &Faults) -> Vec<Life<'a>> {
    let mut lives: BTreeMap<(&str, Option<u64>), Life<'a>> = BTreeMap::new();
    let mut latest: BTreeMap<&str, Option<u64>> = BTreeMap::new();
    for event in history {
        let process = event.process.as_str();
        let id = (process, event.incarnation);
        match event.kind {
            Kind::Started if process.starts_with("node/") => {
                if let Some(before) = latest.insert(process, event.incarnation)
                    && let Some(life) = lives.get_mut(&(process, before))
                {
                    life.ended_us = life.ended_us.min(event.at_us);
                }
                let life = Life {
                    process,
                    begun_us: event.at_us,
                    ended_us: faults
                        .next_of_process(process, event.at_us)
                        .unwrap_or(u64::MAX),
                    installed: Vec::new(),
                };
                lives.insert(id, life);
            }
            Kind::Stopping => {
                if let Some(life) = lives.get_mut(&id) {
                    life.ended_us = life.ended_us.min(event.at_us);
                }
            }
            Kind::Installed => {
                if let (Some(life), Some(version)) = (lives.get_mut(&id), event.version) {
                    life.installed.push((version, event.at_us));
                }
            }
            _ => {}
        }
    }
    lives.into_values().collect()
}
