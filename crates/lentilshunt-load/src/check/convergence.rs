//! Checks that accepted versions are in force on every node within a time limit.

use std::collections::BTreeMap;

use lentilshunt_schema::history::{Event, Kind};

use super::{Faults, Invariant, Violation, version_summary::accepted};

/// Maximum time from an acceptance, a process start or the end of the last fault
/// until the version is in force, in microseconds.
const CONVERGENCE_LIMIT_US: u64 = 5_000_000;

/// One process of a node with the versions that it installed.
#[derive(Debug)]
struct NodeProcess<'a> {
    process: &'a str,
    begun_us: u64,
    ended_us: u64,
    installed: Vec<(u64, u64)>,
}

/// Returns a violation for each node process that ran long enough without faults
/// and did not install an accepted version, or a newer one, in time.
///
/// The time counts from the acceptance or from the start of the process, and
/// restarts when a fault ends. A limit after the last event is not checked.
#[must_use]
pub fn check(history: &[Event]) -> Vec<Violation> {
    let faults = Faults::from_history(history);
    let processes = processes(history, &faults);
    let end_us = history.last().map_or(0, |event| event.at_us);
    let mut violations = Vec::new();
    for (version, acceptance) in accepted(history) {
        for node in &processes {
            let from_us = acceptance.at_us.max(node.begun_us);
            let Some(start_us) = faults.fault_free_from(from_us, CONVERGENCE_LIMIT_US) else {
                continue;
            };
            let due_us = start_us + CONVERGENCE_LIMIT_US;
            if due_us > end_us || due_us > node.ended_us || node.has_installed(version, due_us) {
                continue;
            }
            let detail = format!("version {version} is not in force at {due_us}");
            violations.push(Violation::new(
                Invariant::Convergence,
                due_us,
                node.process,
                detail,
            ));
        }
    }
    violations
}

impl NodeProcess<'_> {
    fn has_installed(&self, version: u64, due_us: u64) -> bool {
        self.installed
            .iter()
            .any(|(installed, at_us)| *installed >= version && *at_us <= due_us)
    }
}

fn processes<'a>(history: &'a [Event], faults: &Faults) -> Vec<NodeProcess<'a>> {
    let mut processes: BTreeMap<(&str, Option<u64>), NodeProcess<'a>> = BTreeMap::new();
    let mut latest: BTreeMap<&str, Option<u64>> = BTreeMap::new();
    for event in history {
        let process = event.process.as_str();
        let id = (process, event.incarnation);
        match event.kind {
            Kind::Started if process.starts_with("node/") => {
                if let Some(previous) = latest.insert(process, event.incarnation)
                    && let Some(node) = processes.get_mut(&(process, previous))
                {
                    node.ended_us = node.ended_us.min(event.at_us);
                }
                let node = NodeProcess {
                    process,
                    begun_us: event.at_us,
                    ended_us: faults
                        .next_fault_of_process(process, event.at_us)
                        .unwrap_or(u64::MAX),
                    installed: Vec::new(),
                };
                processes.insert(id, node);
            }
            Kind::Stopping => {
                if let Some(node) = processes.get_mut(&id) {
                    node.ended_us = node.ended_us.min(event.at_us);
                }
            }
            Kind::Installed => {
                if let (Some(node), Some(version)) = (processes.get_mut(&id), event.version) {
                    node.installed.push((version, event.at_us));
                }
            }
            _ => {}
        }
    }
    processes.into_values().collect()
}
