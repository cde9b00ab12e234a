//! Deaths, restarts, pauses and outages of the platform.

mod fleet;

use std::time::Duration;

use fleet::{
    AFTER_FAULT, SETTLE, accept, assert_never_back, assert_true, assert_views, behind, cold,
    domain, fleet, members, run_until, run_until_in_force, snapshot,
};
use lentilshunt_core::membership::Phase;
use lentilshunt_fake::{Cut, Fleet, Side, Tally};
use rstest::rstest;

/// Bound on an accepted version without faults.
const IN_FORCE: Duration = Duration::from_secs(5);
/// Bound on the time in which a leaving upstream still gets new work.
const DRAINED: Duration = Duration::from_secs(2);

/// Kills nodes, accepts a version without them, and restarts them.
fn kill_and_restart(mut fleet: Fleet, killed: &[usize]) {
    for index in killed {
        fleet.kill(*index);
    }
    accept(&mut fleet, 2);
    run_until_in_force(&mut fleet, IN_FORCE, 2);
    fleet.run_for(SETTLE);
    assert_true(&fleet);
    for index in killed {
        fleet.start(*index);
    }
    run_until_in_force(&mut fleet, AFTER_FAULT, 2);
    fleet.run_for(SETTLE);
    assert_true(&fleet);
    assert_never_back(&fleet);
}

#[rstest]
fn herd_third_killed(#[values(1, 2, 3)] seed: u64) {
    let killed: Vec<usize> = (0..18).filter(|index| index % 3 == 0).collect();
    kill_and_restart(fleet(seed), &killed);
}

#[rstest]
fn domain_killed_and_restarted(#[values(1, 2, 3)] seed: u64) {
    let fleet = fleet(seed);
    let killed = members(&fleet, &domain(1, 0));
    kill_and_restart(fleet, &killed);
}

#[test]
fn fleet_restarted_platform_down() {
    let mut fleet = fleet(1);
    fleet.platform.down = true;
    for index in 0..18 {
        fleet.kill(index);
    }
    fleet.run_for(Duration::from_secs(1));
    for index in 0..18 {
        fleet.start(index);
    }
    fleet.run_for(SETTLE);
    for region in 0..3 {
        let own = |name: &str| name == domain(region, 0);
        assert_views(&fleet, own, own);
    }
    assert_eq!(behind(&fleet, 0), Vec::<String>::new());
    fleet.platform.down = false;
    run_until_in_force(&mut fleet, AFTER_FAULT, 1);
    fleet.run_for(SETTLE);
    assert_true(&fleet);
    assert_never_back(&fleet);
}

#[rstest]
fn restarted_platform_down_takes_peers_highest(#[values(0, 7, 17)] index: usize) {
    let mut fleet = fleet(1);
    accept(&mut fleet, 2);
    run_until_in_force(&mut fleet, IN_FORCE, 2);
    fleet.platform.down = true;
    fleet.kill(index);
    fleet.run_for(Duration::from_secs(1));
    fleet.start(index);
    run_until_in_force(&mut fleet, AFTER_FAULT, 2);
    assert_never_back(&fleet);
}

#[rstest]
fn paused_over_changes(#[values(0, 1, 2, 3, 4, 5)] index: usize) {
    let mut fleet = fleet(1);
    fleet.pause(index);
    accept(&mut fleet, 2);
    fleet.run_for(Duration::from_secs(15));
    accept(&mut fleet, 3);
    fleet.run_for(Duration::from_secs(15));
    fleet.wake(index);
    run_until_in_force(&mut fleet, AFTER_FAULT, 3);
    run_until(&mut fleet, AFTER_FAULT, |fleet| {
        let sees = |node: &lentilshunt_fake::Node| node.view.endpoints.len() == 18;
        fleet.nodes.iter().all(sees)
    });
    assert_true(&fleet);
    assert_never_back(&fleet);
}

#[test]
fn domain_paused_over_changes() {
    let mut fleet = fleet(1);
    let paused = members(&fleet, &domain(2, 1));
    for index in &paused {
        fleet.pause(*index);
    }
    accept(&mut fleet, 2);
    fleet.run_for(Duration::from_secs(30));
    for index in &paused {
        fleet.wake(*index);
    }
    run_until_in_force(&mut fleet, AFTER_FAULT, 2);
    fleet.run_for(SETTLE);
    assert_true(&fleet);
    assert_never_back(&fleet);
}

#[rstest]
fn platform_down_around_accept(#[values(1, 2, 3)] seed: u64) {
    let mut fleet = fleet(seed);
    fleet.platform.down = true;
    fleet.run_for(Duration::from_secs(30));
    accept(&mut fleet, 2);
    fleet.run_for(Duration::from_secs(30));
    assert_eq!(behind(&fleet, 1), Vec::<String>::new());
    assert_true(&fleet);
    fleet.platform.down = false;
    run_until_in_force(&mut fleet, AFTER_FAULT, 2);
    assert_never_back(&fleet);
}

#[rstest]
fn draining_is_seen(#[values(0, 5, 11, 17)] index: usize) {
    let mut fleet = fleet(1);
    fleet.announce(index, Phase::Draining, 0);
    let instance = fleet.nodes[index].seat.place.instance.clone();
    run_until(&mut fleet, DRAINED, |fleet| !is_offered(fleet, &instance));
}

#[test]
fn draining_is_seen_through_restarted_node() {
    for restarted in 1..18 {
        let mut fleet = fleet(1);
        fleet.announce(0, Phase::Draining, 0);
        fleet.run_for(Duration::from_millis(20));
        fleet.kill(restarted);
        fleet.start(restarted);
        let instance = fleet.nodes[0].seat.place.instance.clone();
        run_until(&mut fleet, DRAINED, |fleet| !is_offered(fleet, &instance));
    }
}

#[test]
fn replaced_at_new_address() {
    let mut fleet = fleet(1);
    fleet.kill(4);
    fleet.relocate(4, "10.9.9.9:7001".parse().unwrap());
    fleet.start(4);
    run_until_in_force(&mut fleet, AFTER_FAULT, 1);
    fleet.run_for(SETTLE);
    assert_true(&fleet);
}

#[test]
fn churn_tenth_each_second() {
    let mut fleet = fleet(1);
    for round in 0..60_usize {
        let index = round * 7 % 18;
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
        fleet.run_for(Duration::from_millis(550));
    }
    run_until_in_force(&mut fleet, AFTER_FAULT, 5);
    fleet.run_for(SETTLE);
    assert_true(&fleet);
    assert_never_back(&fleet);
}

#[test]
fn bad_version_refused() {
    let mut fleet = fleet(1);
    let content = vec![1, 2, 3];
    let digest = "0".repeat(64);
    fleet.platform.accept_raw(2, content, &digest);
    fleet.run_for(SETTLE);
    assert_eq!(behind(&fleet, 1), Vec::<String>::new());
    assert!(fleet.nodes.iter().any(|node| node.refused == vec![2]));
    accept(&mut fleet, 3);
    run_until_in_force(&mut fleet, IN_FORCE, 3);
}

#[test]
fn platform_reads_bounded_all_alone() {
    let mut fleet = cold(1);
    fleet.platform.accept(1, &snapshot(1));
    fleet.cuts = Cut::both_ways(Side::Nodes, Side::Nodes);
    fleet.start_all(Duration::ZERO);
    fleet.run_for(SETTLE);
    assert_eq!(behind(&fleet, 1), Vec::<String>::new());
    fleet.tally = Tally::default();
    fleet.run_for(Duration::from_mins(1));
    // At 510 nodes, one read a second and node is a quarter of the platform's 2000.
    assert!(fleet.tally.reads <= 18 * 60, "{:?}", fleet.tally);
}

/// Returns whether any view still offers an endpoint for new work.
fn is_offered(fleet: &Fleet, instance: &str) -> bool {
    fleet.nodes.iter().any(|node| {
        let mut endpoints = node.view.endpoints.iter();
        endpoints.any(|endpoint| endpoint.instance == instance && endpoint.phase == Phase::Ready)
    })
}
