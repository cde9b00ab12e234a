//! Reachability between failure domains.

use std::collections::BTreeMap;

use lentilshunt_schema::peer::Reachability;

use crate::id::{DomainId, RegionId};

/// The newest statement of each failure domain about the reachability of each other one.
#[derive(Debug, Default)]
pub(super) struct ReachabilityTable {
    statements: BTreeMap<(DomainId, DomainId), StoredReachability>,
}

/// A reachability statement and the local number of the change that stored it.
#[derive(Debug)]
struct StoredReachability {
    reachability: Reachability,
    change_number: u64,
}

impl ReachabilityTable {
    /// Stores a reachability statement as change `change_number` if it is newer than the held one.
    ///
    /// Returns whether it was stored.
    pub(super) fn merge(&mut self, reachability: Reachability, change_number: u64) -> bool {
        let key = (reachability.observer.clone(), reachability.domain.clone());
        let held = self.statements.get(&key);
        let precedence =
            |reachability: &Reachability| (reachability.counter, reachability.reachable);
        if held.is_some_and(|held| precedence(&held.reachability) >= precedence(&reachability)) {
            return false;
        }
        self.statements.insert(
            key,
            StoredReachability {
                reachability,
                change_number,
            },
        );
        true
    }

    /// Returns whether `observer` last stated that it reaches `domain`, if it stated anything.
    pub(super) fn last_stated_reachable(&self, observer: &str, domain: &str) -> Option<bool> {
        let key = (observer.to_owned(), domain.to_owned());
        self.statements
            .get(&key)
            .map(|statement| statement.reachability.reachable)
    }

    /// Returns a newer statement of an observer, unless it would repeat the held one.
    ///
    /// Without a held statement, the failure domain counts as reachable.
    pub(super) fn next_statement(
        &self,
        observer: &str,
        domain: &str,
        reachable: bool,
    ) -> Option<Reachability> {
        let key = (observer.to_owned(), domain.to_owned());
        let held = self
            .statements
            .get(&key)
            .map(|statement| &statement.reachability);
        if held.map_or(reachable, |held| held.reachable == reachable) {
            return None;
        }
        Some(Reachability {
            observer: key.0,
            domain: key.1,
            counter: held.map_or(1, |held| held.counter + 1),
            reachable,
        })
    }

    /// Returns the statements stored after the change `change_number`.
    pub(super) fn since(&self, change_number: u64) -> Vec<Reachability> {
        self.statements
            .values()
            .filter(|statement| statement.change_number > change_number)
            .map(|statement| statement.reachability.clone())
            .collect()
    }

    /// Returns whether `domain` counts as reachable from `observer`.
    ///
    /// The statement of the observer decides. Without one, the statements from
    /// the observer's region decide, then those from the region of `domain`.
    /// Without any statement the domain counts as reachable.
    pub(super) fn is_reachable(
        &self,
        observer: &str,
        domain: &str,
        regions: &BTreeMap<DomainId, RegionId>,
    ) -> bool {
        if observer == domain {
            return true;
        }
        if let Some(reachable) = self.last_stated_reachable(observer, domain) {
            return reachable;
        }
        let by_local_region = self.any_reaches(domain, regions.get(observer), regions);
        let by_other_region = || self.any_reaches(domain, regions.get(domain), regions);
        by_local_region.or_else(by_other_region).unwrap_or(true)
    }

    /// Returns whether any failure domain of a region states that it reaches `domain`, or none if
    /// no domain of the region stated anything.
    fn any_reaches(
        &self,
        domain: &str,
        region: Option<&RegionId>,
        regions: &BTreeMap<DomainId, RegionId>,
    ) -> Option<bool> {
        self.statements
            .iter()
            .filter(|((observer, about), _)| about == domain && regions.get(observer) == region)
            .map(|(_, statement)| statement.reachability.reachable)
            .reduce(|left, right| left || right)
    }
}
