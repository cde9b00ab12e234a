//! Checks the versions that nodes installed.

use std::collections::{BTreeMap, BTreeSet};

use lentilshunt_schema::history::{Event, Kind};

use super::{Invariant, Violation};

/// Accepted and installed versions, and violations of the version invariants.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct VersionSummary {
    /// Accepted versions.
    pub accepted: u64,
    /// Installations of an older version than the node had before, restarts included,
    /// or of the same version without a restart.
    pub moved_back: u64,
    /// Installations of a version that was never accepted or with other content.
    pub partial: u64,
    /// Time from each acceptance to each node's installation, in microseconds,
    /// for processes that were running at the acceptance.
    pub convergence_us: Vec<u64>,
    /// Violated invariants.
    pub violations: Vec<Violation>,
}

impl VersionSummary {
    /// Counts the versions of a history and checks each installation.
    #[must_use]
    pub fn from_history(history: &[Event]) -> Self {
        let mut result = Self::default();
        let accepted = accepted(history);
        result.accepted = accepted.len() as u64;
        let installed = history
            .iter()
            .filter(|event| event.kind == Kind::Installed)
            .filter_map(|event| Some((event, event.version?)));
        let mut in_force: BTreeMap<&str, (u64, Option<u64>)> = BTreeMap::new();
        let mut counted: BTreeSet<(&str, u64)> = BTreeSet::new();
        for (event, version) in installed {
            let process = event.process.as_str();
            if let Some((before, incarnation)) = in_force.get(process) {
                let restarted = *incarnation != event.incarnation;
                if version < *before || (version == *before && !restarted) {
                    result.moved_back += 1;
                    let detail = format!("installed {version} after {before}");
                    result.add_violation(Invariant::VersionOrder, event, detail);
                }
            }
            in_force.insert(process, (version, event.incarnation));
            let Some(acceptance) = accepted.get(&version) else {
                result.partial += 1;
                let detail = format!("installed {version}, which was never accepted");
                result.add_violation(Invariant::CompleteVersion, event, detail);
                continue;
            };
            if event.digest != acceptance.digest {
                result.partial += 1;
                let detail = format!("installed {version} with other content");
                result.add_violation(Invariant::CompleteVersion, event, detail);
            }
            let was_running = event.incarnation <= Some(acceptance.at_us);
            if counted.insert((process, version)) && was_running {
                let elapsed = event.at_us.saturating_sub(acceptance.at_us);
                result.convergence_us.push(elapsed);
            }
        }
        result
    }

    fn add_violation(&mut self, invariant: Invariant, event: &Event, detail: String) {
        let violation = Violation::new(invariant, event.at_us, &event.process, detail);
        self.violations.push(violation);
    }
}

/// Returns the first event of each accepted version.
pub(super) fn accepted(history: &[Event]) -> BTreeMap<u64, &Event> {
    let mut accepted = BTreeMap::new();
    for event in history {
        if let (Kind::Accepted, Some(version)) = (event.kind, event.version) {
            accepted.entry(version).or_insert(event);
        }
    }
    accepted
}
