//! Crashes, restarts and pauses of nodes, and outages of the platform.

mod fleet;

use std::time::Duration;

use fleet::{
    NODE_COUNT, RECOVERY_LIMIT, SETTLE_TIME, accept, assert_versions_ascend, assert_views,
    assert_views_accurate, domain, nodes_in_domain, nodes_without_version, run_until,
    run_until_installed, snapshot, started_fleet, stopped_fleet,
};
use lentilshunt_core::membership::Phase;
use lentilshunt_fake::{Cut, Side, Simulation, TrafficStats};
use rstest::rstest;

/// Limit on the time until an accepted version is in force without faults.
const INSTALL_LIMIT: Duration = Duration::from_secs(5);
/// Limit on the time for which a draining upstream is still offered for new work.
const DRAIN_LIMIT: Duration = Duration::from_secs(2);

/// Kills nodes, accepts a version without them, and restarts them.
fn kill_and_restart(mut fleet: Simulation, killed: &[usize]) {
    for index in killed {
        fleet.kill(*index);
    }
    accept(&mut fleet, 2);
    run_until_installed(&mut fleet, INSTALL_LIMIT, 2);
    fleet.run_for(SETTLE_TIME);
    assert_views_accurate(&fleet);
    for index in killed {
        fleet.start(*index);
    }
    run_until_installed(&mut fleet, RECOVERY_LIMIT, 2);
    fleet.run_for(SETTLE_TIME);
    assert_views_accurate(&fleet);
    assert_versions_ascend(&fleet);
}

#[rstest]
fn third_of_fleet_killed_and_restarted(#[values(1, 2, 3)] seed: u64) {
    let killed: Vec<usize> = (0..NODE_COUNT).filter(|index| index % 3 == 0).collect();
    kill_and_restart(started_fleet(seed), &killed);
}

#[rstest]
fn domain_killed_and_restarted(#[values(1, 2, 3)] seed: u64) {
    let fleet = started_fleet(seed);
    let killed = nodes_in_domain(&fleet, &domain(1, 0));
    kill_and_restart(fleet, &killed);
}

#[test]
fn fleet_restarted_platform_down() {
    let mut fleet = started_fleet(1);
    fleet.platform.is_down = true;
    for index in 0..NODE_COUNT {
        fleet.kill(index);
    }
    fleet.run_for(Duration::from_secs(1));
    for index in 0..NODE_COUNT {
        fleet.start(index);
    }
    fleet.run_for(SETTLE_TIME);
    for region in 0..3 {
        let is_in_domain = |name: &str| name == domain(region, 0);
        assert_views(&fleet, is_in_domain, is_in_domain);
    }
    // No node may install a version while the platform is down and no peer has one.
    assert_eq!(nodes_without_version(&fleet, 0), Vec::<String>::new());
    fleet.platform.is_down = false;
    run_until_installed(&mut fleet, RECOVERY_LIMIT, 1);
    fleet.run_for(SETTLE_TIME);
    assert_views_accurate(&fleet);
    assert_versions_ascend(&fleet);
}

#[rstest]
fn node_restarted_platform_down_installs_highest_peer_version(#[values(0, 7, 17)] index: usize) {
    let mut fleet = started_fleet(1);
    accept(&mut fleet, 2);
    run_until_installed(&mut fleet, INSTALL_LIMIT, 2);
    fleet.platform.is_down = true;
    fleet.kill(index);
    fleet.run_for(Duration::from_secs(1));
    fleet.start(index);
    run_until_installed(&mut fleet, RECOVERY_LIMIT, 2);
    assert_versions_ascend(&fleet);
}

#[rstest]
fn node_paused_during_changes(#[values(0, 1, 2, 3, 4, 5)] index: usize) {
    let mut fleet = started_fleet(1);
    fleet.pause(index);
    accept(&mut fleet, 2);
    fleet.run_for(Duration::from_secs(15));
    accept(&mut fleet, 3);
    fleet.run_for(Duration::from_secs(15));
    fleet.resume(index);
    run_until_installed(&mut fleet, RECOVERY_LIMIT, 3);
    run_until(&mut fleet, RECOVERY_LIMIT, |fleet| {
        let is_complete = |node: &lentilshunt_fake::Node| node.view.endpoints.len() == NODE_COUNT;
        fleet.nodes.iter().all(is_complete)
    });
    assert_views_accurate(&fleet);
    assert_versions_ascend(&fleet);
}

#[test]
fn domain_paused_during_changes() {
    let mut fleet = started_fleet(1);
    let paused = nodes_in_domain(&fleet, &domain(2, 1));
    for index in &paused {
        fleet.pause(*index);
    }
    accept(&mut fleet, 2);
    fleet.run_for(Duration::from_secs(30));
    for index in &paused {
        fleet.resume(*index);
    }
    run_until_installed(&mut fleet, RECOVERY_LIMIT, 2);
    fleet.run_for(SETTLE_TIME);
    assert_views_accurate(&fleet);
    assert_versions_ascend(&fleet);
}

#[rstest]
fn platform_down_during_accept(#[values(1, 2, 3)] seed: u64) {
    let mut fleet = started_fleet(seed);
    fleet.platform.is_down = true;
    fleet.run_for(Duration::from_secs(30));
    accept(&mut fleet, 2);
    fleet.run_for(Duration::from_secs(30));
    assert_eq!(nodes_without_version(&fleet, 1), Vec::<String>::new());
    assert_views_accurate(&fleet);
    fleet.platform.is_down = false;
    run_until_installed(&mut fleet, RECOVERY_LIMIT, 2);
    assert_versions_ascend(&fleet);
}

#[rstest]
fn draining_reaches_views(#[values(0, 5, 11, 17)] index: usize) {
    let mut fleet = started_fleet(1);
    fleet.announce(index, Phase::Draining, 0);
    let instance = fleet.nodes[index].spec.locality.instance.clone();
    run_until(&mut fleet, DRAIN_LIMIT, |fleet| {
        !is_ready_in_any_view(fleet, &instance)
    });
}

/// Guards against losing the push of a drain in the subtree of a node that restarts 10 ms before
/// the push is sent, and does not know its children when it arrives.
#[test]
fn draining_reaches_views_despite_restarted_node() {
    for restarted in 1..NODE_COUNT {
        let mut fleet = started_fleet(1);
        fleet.announce(0, Phase::Draining, 0);
        fleet.run_for(Duration::from_millis(20));
        fleet.kill(restarted);
        fleet.start(restarted);
        let instance = fleet.nodes[0].spec.locality.instance.clone();
        run_until(&mut fleet, DRAIN_LIMIT, |fleet| {
            !is_ready_in_any_view(fleet, &instance)
        });
    }
}

#[test]
fn node_replaced_at_new_address() {
    let mut fleet = started_fleet(1);
    fleet.kill(4);
    fleet.relocate(4, "10.9.9.9:7001".parse().unwrap());
    fleet.start(4);
    run_until_installed(&mut fleet, RECOVERY_LIMIT, 1);
    fleet.run_for(SETTLE_TIME);
    assert_views_accurate(&fleet);
}

#[test]
fn views_accurate_after_churn() {
    let mut fleet = started_fleet(1);
    for round in 0..60_usize {
        let index = round * 7 % NODE_COUNT;
        match round % 3 {
            0 => fleet.announce(index, Phase::Draining, 500),
            1 => fleet.announce(index, Phase::Ready, 100),
            _ => {
                fleet.kill(index);
                fleet.start(index);
            }
        }
        if round % 15 == 0 {
            accept(&mut fleet, 2 + round as u64 / 15);
        }
        // One change every 550 ms among 18 nodes is a tenth of the nodes a second.
        fleet.run_for(Duration::from_millis(550));
    }
    run_until_installed(&mut fleet, RECOVERY_LIMIT, 5);
    fleet.run_for(SETTLE_TIME);
    assert_views_accurate(&fleet);
    assert_versions_ascend(&fleet);
}

#[test]
fn invalid_version_refused() {
    let mut fleet = started_fleet(1);
    let content = vec![1, 2, 3];
    let digest = "0".repeat(64);
    fleet.platform.accept_raw(2, content, &digest);
    fleet.run_for(SETTLE_TIME);
    assert_eq!(nodes_without_version(&fleet, 1), Vec::<String>::new());
    assert!(fleet.nodes.iter().any(|node| node.refused == vec![2]));
    accept(&mut fleet, 3);
    run_until_installed(&mut fleet, INSTALL_LIMIT, 3);
}

#[test]
fn platform_reads_bounded_all_nodes_isolated() {
    let mut fleet = stopped_fleet(1);
    fleet.platform.accept(1, &snapshot(1));
    fleet.cuts = Cut::both_ways(Side::Nodes, Side::Nodes);
    fleet.start_all(Duration::ZERO);
    fleet.run_for(SETTLE_TIME);
    assert_eq!(nodes_without_version(&fleet, 1), Vec::<String>::new());
    fleet.traffic = TrafficStats::default();
    fleet.run_for(Duration::from_mins(1));
    // At one read a second each, 510 nodes cause 510 reads a second, about a quarter of the 2000
    // that the platform serves.
    assert!(
        fleet.traffic.platform_reads <= NODE_COUNT as u64 * 60,
        "{:?}",
        fleet.traffic
    );
}

/// Returns whether any view still contains the endpoint of `instance` as ready.
fn is_ready_in_any_view(fleet: &Simulation, instance: &str) -> bool {
    fleet.nodes.iter().any(|node| {
        let mut endpoints = node.view.endpoints.iter();
        endpoints.any(|endpoint| endpoint.instance == instance && endpoint.phase == Phase::Ready)
    })
}
