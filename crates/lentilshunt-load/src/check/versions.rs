//! Checks the versions that nodes put in force.

use std::collections::{BTreeMap, BTreeSet};

use lentilshunt_schema::history::{Event, Kind};

/// Counts of installed versions and of broken promises about them.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Versions {
    /// Versions that were accepted.
    pub accepted: u64,
    /// Installations of a version not higher than the one in force.
    pub moved_back: u64,
    /// Installations whose content is not the accepted one.
    pub partial: u64,
    /// Time from each acceptance to each node's installation, in microseconds.
    pub convergence_us: Vec<u64>,
}

impl Versions {
    /// Judges a history.
    #[must_use]
    pub fn judge(history: &[Event]) -> Self {
        let mut result = Self::default();
        let mut accepted: BTreeMap<u64, (&str, u64)> = BTreeMap::new();
        for event in history {
            if let (Kind::Accepted, Some(version), Some(digest)) =
                (event.kind, event.version, &event.digest)
            {
                accepted.insert(version, (digest, event.at_us));
            }
        }
        result.accepted = accepted.len() as u64;
        let mut in_force: BTreeMap<(&str, Option<u64>), u64> = BTreeMap::new();
        let mut reached: BTreeSet<(&str, u64)> = BTreeSet::new();
        for event in history {
            let (Kind::Installed, Some(version)) = (event.kind, event.version) else {
                continue;
            };
            let process = (event.process.as_str(), event.incarnation);
            let before = in_force.insert(process, version).unwrap_or_default();
            if version <= before {
                result.moved_back += 1;
            }
            match accepted.get(&version) {
                Some((digest, at_us)) => {
                    if event.digest.as_deref() != Some(digest) {
                        result.partial += 1;
                    }
                    if reached.insert((process.0, version)) {
                        let elapsed = event.at_us.saturating_sub(*at_us);
                        result.convergence_us.push(elapsed);
                    }
                }
                None => result.partial += 1,
            }
        }
        result
    }
}
