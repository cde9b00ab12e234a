//! Which failure domains reach each other.

use std::collections::BTreeMap;

use lentilshunt_schema::peer::Reachability;

use crate::id::{DomainId, RegionId};

/// The newest statement of each failure domain about each other one.
#[derive(Debug, Default)]
pub(super) struct Reaches {
    statements: BTreeMap<(DomainId, DomainId), Statement>,
}

#[derive(Debug)]
struct Statement {
    reach: Reachability,
    changed: u64,
}

impl Reaches {
    /// Takes a statement, numbered `changed`, if it is newer than the held one.
    pub(super) fn merge(&mut self, reach: Reachability, changed: u64) -> bool {
        let key = (reach.observer.clone(), reach.domain.clone());
        let held = self.statements.get(&key);
        let rank = |reach: &Reachability| (reach.counter, reach.reachable);
        if held.is_some_and(|held| rank(&held.reach) >= rank(&reach)) {
            return false;
        }
        self.statements.insert(key, Statement { reach, changed });
        true
    }

    /// Returns what a failure domain has said about another one.
    pub(super) fn said(&self, observer: &str, domain: &str) -> Option<bool> {
        let key = (observer.to_owned(), domain.to_owned());
        self.statements
            .get(&key)
            .map(|statement| statement.reach.reachable)
    }

    /// Returns the next statement of an observer about a failure domain, unless it is known.
    pub(super) fn next(
        &self,
        observer: &str,
        domain: &str,
        reachable: bool,
    ) -> Option<Reachability> {
        let key = (observer.to_owned(), domain.to_owned());
        let held = self.statements.get(&key).map(|statement| &statement.reach);
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

    /// Returns the statements that changed after the number `since`.
    pub(super) fn since(&self, since: u64) -> Vec<Reachability> {
        self.statements
            .values()
            .filter(|statement| statement.changed > since)
            .map(|statement| statement.reach.clone())
            .collect()
    }

    /// Returns whether a failure domain counts as reachable from another one.
    ///
    /// The own statement decides; else the statements from the own region, then
    /// those from the region of the other domain. Without any it is reachable.
    pub(super) fn is_reachable(
        &self,
        own: &str,
        domain: &str,
        regions: &BTreeMap<DomainId, RegionId>,
    ) -> bool {
        if own == domain {
            return true;
        }
        if let Some(reachable) = self.said(own, domain) {
            return reachable;
        }
        let near = self.verdict(domain, regions.get(own), regions);
        let far = || self.verdict(domain, regions.get(domain), regions);
        near.or_else(far).unwrap_or(true)
    }

    fn verdict(
        &self,
        domain: &str,
        region: Option<&RegionId>,
        regions: &BTreeMap<DomainId, RegionId>,
    ) -> Option<bool> {
        self.statements
            .iter()
            .filter(|((observer, about), _)| about == domain && regions.get(observer) == region)
            .map(|(_, statement)| statement.reach.reachable)
            .reduce(|left, right| left || right)
    }
}
