//! Fleets and checks shared by the tests of dissemination and membership.

#![allow(dead_code, reason = "each test file uses a part of the helpers")]

use std::{collections::BTreeMap, time::Duration};

use lentilshunt_core::{
    config::Snapshot,
    dissemination::Hybrid,
    id::{DomainId, InstanceId, VersionId},
    membership::Phase,
};
use lentilshunt_fake::{Fleet, Layout};

/// Bound on the time from the end of a fault until the newest version is in force.
pub const AFTER_FAULT: Duration = Duration::from_secs(5);
/// Bound on the time until every view is true again.
pub const SETTLE: Duration = Duration::from_secs(15);

/// Returns a fleet of today's size, started at once, with version 1 in force.
pub fn fleet(seed: u64) -> Fleet {
    let mut fleet = cold(seed);
    fleet.platform.accept(1, &snapshot(1));
    fleet.start_all(Duration::from_millis(100));
    fleet.run_for(SETTLE);
    assert_eq!(behind(&fleet, 1), Vec::<InstanceId>::new());
    assert_true(&fleet);
    fleet
}

/// Returns a fleet in which no node runs.
pub fn cold(seed: u64) -> Fleet {
    let factory =
        Box::new(|owner, seeds, random, now| Box::new(Hybrid::new(owner, seeds, random, now)) as _);
    Fleet::new(Layout::new(3, 2, 18, 3), seed, factory)
}

/// Returns a valid snapshot that differs for each number.
pub fn snapshot(number: u64) -> Snapshot {
    let mut snapshot = Snapshot::default();
    for region in 0..3 {
        let name = format!("region-{region}");
        snapshot.topology.regions.insert(name.clone());
        for domain in 0..2 {
            let domain = format!("domain-{region}-{domain}");
            snapshot.topology.domains.insert(domain, name.clone());
        }
    }
    snapshot.topology.regions.insert(format!("spare-{number}"));
    snapshot
}

/// Accepts a version at the platform.
pub fn accept(fleet: &mut Fleet, version: VersionId) {
    fleet.platform.accept(version, &snapshot(version));
}

/// Returns the running nodes that do not have a version in force.
pub fn behind(fleet: &Fleet, version: VersionId) -> Vec<InstanceId> {
    let running = fleet.nodes.iter().filter(|node| node.is_up());
    running
        .filter(|node| node.version != version)
        .map(|node| node.seat.place.instance.clone())
        .collect()
}

/// Checks that every running node sees exactly the running nodes, in their phases.
pub fn assert_true(fleet: &Fleet) {
    let everywhere = |_: &str| true;
    assert_views(fleet, everywhere, everywhere);
}

/// Checks that the running nodes of some domains see exactly those of some domains.
pub fn assert_views(fleet: &Fleet, seers: impl Fn(&str) -> bool, seen: impl Fn(&str) -> bool) {
    let running = || fleet.nodes.iter().filter(|node| node.is_up());
    let truth: BTreeMap<&InstanceId, (u64, Phase)> = running()
        .filter(|node| seen(&node.seat.place.domain))
        .map(|node| (&node.seat.place.instance, (node.incarnation, node.phase)))
        .collect();
    for node in running().filter(|node| seers(&node.seat.place.domain)) {
        let view: BTreeMap<&InstanceId, (u64, Phase)> = node
            .view
            .endpoints
            .iter()
            .map(|endpoint| (&endpoint.instance, (endpoint.incarnation, endpoint.phase)))
            .collect();
        assert_eq!(view, truth, "view of {}", node.seat.place.instance);
    }
}

/// Checks that no node ever put an older version in force.
pub fn assert_never_back(fleet: &Fleet) {
    for node in &fleet.nodes {
        let versions: Vec<VersionId> = node.installed.iter().map(|(_, version)| *version).collect();
        let mut sorted = versions.clone();
        sorted.sort_unstable();
        assert_eq!(versions, sorted, "{}", node.seat.place.instance);
    }
}

/// Returns the numbers of the nodes of a failure domain.
pub fn members(fleet: &Fleet, domain: &str) -> Vec<usize> {
    let nodes = fleet.nodes.iter().enumerate();
    nodes
        .filter(|(_, node)| node.seat.place.domain == domain)
        .map(|(index, _)| index)
        .collect()
}

/// Returns a failure domain by region and number.
pub fn domain(region: usize, number: usize) -> DomainId {
    format!("domain-{region}-{number}")
}

/// Runs until a condition holds and returns how long it took, or fails at the bound.
pub fn run_until(fleet: &mut Fleet, bound: Duration, holds: impl Fn(&Fleet) -> bool) -> Duration {
    let from = fleet.now();
    while !holds(fleet) {
        let waited = fleet.now() - from;
        assert!(waited < bound, "not within {bound:?}");
        fleet.run_for(Duration::from_millis(50));
    }
    fleet.now() - from
}

/// Runs until a version is in force on every running node, or fails at the bound.
pub fn run_until_in_force(fleet: &mut Fleet, bound: Duration, version: VersionId) -> Duration {
    run_until(fleet, bound, |fleet| behind(fleet, version).is_empty())
}
