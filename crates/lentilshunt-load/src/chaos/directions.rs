//! Link settings of every direction between two failure domains.

use std::collections::BTreeMap;

use lentilshunt_core::id::{DomainId, RegionId};
use lentilshunt_schema::platform::{Direction, LinkMode};

use super::Disruption;
use crate::fleet::Layout;

/// One-way latency between failure domains of one region, in microseconds.
const OTHER_DOMAIN_LATENCY_US: u64 = 500;
/// One-way latency between regions, in microseconds.
const OTHER_REGION_LATENCY_US: u64 = 8_000;
/// One-way latency of a direction under [`Disruption::Slow`], in microseconds.
const SLOW_LATENCY_US: u64 = 400_000;

/// Source and destination failure domain.
type Pair = (DomainId, DomainId);

/// Base latency of every direction and the active link disruptions.
#[derive(Debug)]
pub(super) struct Directions {
    domains: BTreeMap<DomainId, RegionId>,
    active: BTreeMap<String, Vec<(Pair, LinkMode, u64)>>,
}

impl Directions {
    /// Creates directions without disruptions; the platform is in the first region.
    pub(super) fn new(layout: &Layout) -> Self {
        let mut domains = layout.domains();
        if let Some(region) = domains.values().next().cloned() {
            domains.insert(Layout::PLATFORM_DOMAIN.to_owned(), region);
        }
        Self {
            domains,
            active: BTreeMap::new(),
        }
    }

    /// Returns the current settings of every direction.
    pub(super) fn all(&self) -> Vec<Direction> {
        let pairs = self.domains.keys().flat_map(|from| {
            let to = self.domains.keys();
            to.map(|to| (from.clone(), to.clone()))
        });
        pairs.map(|pair| self.direction(&pair, false)).collect()
    }

    /// Adds a disruption and returns the directions that it changes.
    pub(super) fn apply(&mut self, id: &str, disruption: &Disruption) -> Vec<Direction> {
        let affected = affected_directions(disruption);
        let is_silent = matches!(disruption, Disruption::Silence(..));
        self.active.insert(id.to_owned(), affected.clone());
        let affected = affected.iter();
        affected
            .map(|(pair, _, _)| self.direction(pair, is_silent))
            .collect()
    }

    /// Removes a disruption and returns the directions that it changed.
    pub(super) fn revert(&mut self, id: &str) -> Vec<Direction> {
        let affected = self.active.remove(id).unwrap_or_default();
        let affected = affected.iter();
        affected
            .map(|(pair, _, _)| self.direction(pair, false))
            .collect()
    }

    fn direction(&self, pair: &Pair, silence: bool) -> Direction {
        let (from, to) = pair;
        let matching = || {
            let all = self.active.values().flatten();
            all.filter(|(disrupted, _, _)| disrupted == pair)
        };
        let cut = matching().map(|(_, cut, _)| *cut).max();
        let delay_us = matching().map(|(_, _, delay_us)| *delay_us).max();
        Direction {
            from: from.clone(),
            to: to.clone(),
            delay_us: self
                .base_latency_us(from, to)
                .max(delay_us.unwrap_or_default()),
            cut: cut.unwrap_or(LinkMode::Open),
            silence,
        }
    }

    fn base_latency_us(&self, from: &DomainId, to: &DomainId) -> u64 {
        if from == to {
            0
        } else if self.domains.get(from) == self.domains.get(to) {
            OTHER_DOMAIN_LATENCY_US
        } else {
            OTHER_REGION_LATENCY_US
        }
    }
}

/// Returns the directions that a disruption affects, with their mode and latency.
fn affected_directions(disruption: &Disruption) -> Vec<(Pair, LinkMode, u64)> {
    let pair = |from: &DomainId, to: &DomainId| (from.clone(), to.clone());
    match disruption {
        Disruption::Blackhole { from, to, both } => {
            let mut directions = vec![(pair(from, to), LinkMode::Blackhole, 0)];
            if *both {
                directions.push((pair(to, from), LinkMode::Blackhole, 0));
            }
            directions
        }
        Disruption::Refuse(from, to) => vec![
            (pair(from, to), LinkMode::Refuse, 0),
            (pair(to, from), LinkMode::Refuse, 0),
        ],
        Disruption::Slow(from, to) => vec![(pair(from, to), LinkMode::Open, SLOW_LATENCY_US)],
        Disruption::Silence(from, to) => vec![(pair(from, to), LinkMode::Open, 0)],
        _ => Vec::new(),
    }
}
