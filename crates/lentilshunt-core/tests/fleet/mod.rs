//! Fleets and assertions shared by the dissemination tests.

#![allow(dead_code, reason = "each test file uses a part of the helpers")]

use std::{collections::BTreeMap, time::Duration};

use lentilshunt_core::{
    config::Snapshot,
    dissemination::Hybrid,
    id::{DomainId, InstanceId, VersionId},
    membership::Phase,
};
use lentilshunt_fake::{Placement, Simulation};

/// Limit on the time from the end of a fault until versions and views are up to date.
pub const RECOVERY_LIMIT: Duration = Duration::from_secs(5);
/// Simulated time after which every view must match the running nodes again.
pub const SETTLE_TIME: Duration = Duration::from_secs(15);
/// Number of nodes of the fleet.
pub const NODE_COUNT: usize = 18;
/// Number of nodes of each failure domain: three regions have two domains each.
pub const NODES_PER_DOMAIN: usize = 3;

/// Returns a started fleet of [`NODE_COUNT`] nodes with version 1 in force.
pub fn started_fleet(seed: u64) -> Simulation {
    let mut fleet = stopped_fleet(seed);
    fleet.platform.accept(1, &snapshot(1));
    fleet.start_all(Duration::from_millis(100));
    fleet.run_for(SETTLE_TIME);
    assert_eq!(nodes_without_version(&fleet, 1), Vec::<InstanceId>::new());
    assert_views_accurate(&fleet);
    fleet
}

/// Returns a fleet in which no node runs.
pub fn stopped_fleet(seed: u64) -> Simulation {
    let factory = Box::new(|local_record, seeds, random, now| {
        Box::new(Hybrid::new(local_record, seeds, random, now)) as _
    });
    Simulation::new(Placement::new(3, 2, NODE_COUNT, 3), seed, factory)
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
pub fn accept(fleet: &mut Simulation, version: VersionId) {
    fleet.platform.accept(version, &snapshot(version));
}

/// Returns the running nodes at which another version than `version` is in force.
///
/// Version 0 is in force at a node that has installed none.
pub fn nodes_without_version(fleet: &Simulation, version: VersionId) -> Vec<InstanceId> {
    let running = fleet.nodes.iter().filter(|node| node.is_up());
    running
        .filter(|node| node.version != version)
        .map(|node| node.spec.locality.instance.clone())
        .collect()
}

/// Asserts that the view of every running node has exactly the running nodes, in their phases.
pub fn assert_views_accurate(fleet: &Simulation) {
    let any_domain = |_: &str| true;
    assert_views(fleet, any_domain, any_domain);
}

/// Asserts that the views of the running nodes of `observers` contain exactly the running nodes of
/// `observed`, with incarnation and phase.
pub fn assert_views(
    fleet: &Simulation,
    observers: impl Fn(&str) -> bool,
    observed: impl Fn(&str) -> bool,
) {
    let running = || fleet.nodes.iter().filter(|node| node.is_up());
    let expected: BTreeMap<&InstanceId, (u64, Phase)> = running()
        .filter(|node| observed(&node.spec.locality.domain))
        .map(|node| (&node.spec.locality.instance, (node.incarnation, node.phase)))
        .collect();
    for node in running().filter(|node| observers(&node.spec.locality.domain)) {
        let view: BTreeMap<&InstanceId, (u64, Phase)> = node
            .view
            .endpoints
            .iter()
            .map(|endpoint| (&endpoint.instance, (endpoint.incarnation, endpoint.phase)))
            .collect();
        assert_eq!(view, expected, "view of {}", node.spec.locality.instance);
    }
}

/// Asserts that no node ever installed an older version than before.
pub fn assert_versions_ascend(fleet: &Simulation) {
    for node in &fleet.nodes {
        let versions: Vec<VersionId> = node.installed.iter().map(|(_, version)| *version).collect();
        let mut sorted = versions.clone();
        sorted.sort_unstable();
        assert_eq!(versions, sorted, "{}", node.spec.locality.instance);
    }
}

/// Returns the indices of the nodes of a failure domain.
pub fn nodes_in_domain(fleet: &Simulation, domain: &str) -> Vec<usize> {
    let nodes = fleet.nodes.iter().enumerate();
    nodes
        .filter(|(_, node)| node.spec.locality.domain == domain)
        .map(|(index, _)| index)
        .collect()
}

/// Returns the name of a failure domain by the numbers of its region and itself.
pub fn domain(region: usize, number: usize) -> DomainId {
    format!("domain-{region}-{number}")
}

/// Runs until a condition holds and returns how long it took.
///
/// # Panics
///
/// Panics if the condition does not hold within the limit.
pub fn run_until(
    fleet: &mut Simulation,
    limit: Duration,
    condition: impl Fn(&Simulation) -> bool,
) -> Duration {
    let start = fleet.now();
    while !condition(fleet) {
        let elapsed = fleet.now() - start;
        assert!(
            elapsed < limit,
            "the condition did not hold within {limit:?}"
        );
        fleet.run_for(Duration::from_millis(50));
    }
    fleet.now() - start
}

/// Runs until a version is in force on every running node and returns how long it took.
///
/// # Panics
///
/// Panics if that does not happen within the limit.
pub fn run_until_installed(
    fleet: &mut Simulation,
    limit: Duration,
    version: VersionId,
) -> Duration {
    run_until(fleet, limit, |fleet| {
        nodes_without_version(fleet, version).is_empty()
    })
}
