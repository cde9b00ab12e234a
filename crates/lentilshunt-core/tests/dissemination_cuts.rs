//! Network cuts between failure domains, regions and the platform.

mod fleet;

use std::{sync::Arc, time::Duration};

use fleet::{
    RECOVERY_TIME, SETTLE_TIME, accept, assert_versions_ascend, assert_views,
    assert_views_accurate, domain, fleet, nodes_in_domain, not_in_force, run_until,
    run_until_installed,
};
use lentilshunt_fake::{Cut, Side, Simulation};
use rstest::rstest;

/// Duration of a cut.
const CUT_TIME: Duration = Duration::from_secs(30);

fn cuts(kind: &str, cut_domain: &str) -> Vec<Cut> {
    let inside = || Side::Domain(cut_domain.to_owned());
    let outside = || Side::OutsideDomain(cut_domain.to_owned());
    match kind {
        "platform" => Cut::both_ways(inside(), Side::Platform),
        "others" => Cut::both_ways(inside(), outside()),
        "out" => Cut::one_way(inside(), outside()),
        "in" => Cut::one_way(outside(), inside()),
        _ => {
            let mut cuts = Cut::both_ways(inside(), outside());
            cuts.extend(Cut::both_ways(inside(), Side::Platform));
            cuts
        }
    }
}

#[rstest]
#[case::platform("platform")]
#[case::others("others")]
#[case::outwards("out")]
#[case::inwards("in")]
fn domain_partly_cut_converges(
    #[case] kind: &str,
    #[values((0, 0), (1, 1), (2, 0))] place: (usize, usize),
) {
    let mut fleet = fleet(1);
    fleet.cuts = cuts(kind, &domain(place.0, place.1));
    fleet.run_for(CUT_TIME);
    accept(&mut fleet, 2);
    run_until_installed(&mut fleet, RECOVERY_TIME, 2);
    fleet.cuts.clear();
    fleet.run_for(SETTLE_TIME);
    assert_views_accurate(&fleet);
    assert_versions_ascend(&fleet);
}

#[rstest]
fn domain_isolated_then_healed(
    #[values((0, 0), (1, 1), (2, 0))] place: (usize, usize),
    #[values(1, 2, 3)] seed: u64,
) {
    let mut fleet = fleet(seed);
    let cut_domain = domain(place.0, place.1);
    fleet.cuts = cuts("all", &cut_domain);
    accept(&mut fleet, 2);
    fleet.run_for(CUT_TIME);
    assert_eq!(not_in_force(&fleet, 2).len(), 3);
    let inside = |name: &str| name == cut_domain;
    let outside = |name: &str| name != cut_domain;
    assert_views(&fleet, inside, inside);
    assert_views(&fleet, outside, outside);
    fleet.cuts.clear();
    run_until_installed(&mut fleet, RECOVERY_TIME, 2);
    run_until(&mut fleet, RECOVERY_TIME, all_views_complete);
    assert_views_accurate(&fleet);
    assert_versions_ascend(&fleet);
}

#[rstest]
fn region_cut_restored_by_one_exchange(#[values(1, 2, 3)] seed: u64) {
    let mut fleet = fleet(seed);
    let outside = |name: &str| !name.starts_with("domain-2-");
    let inside = |name: &str| name.starts_with("domain-2-");
    let before = Arc::clone(&fleet.nodes[0].view);
    for side in ["region-0", "region-1"] {
        let cuts = Cut::both_ways(
            Side::Region("region-2".to_owned()),
            Side::Region(side.to_owned()),
        );
        fleet.cuts.extend(cuts);
    }
    fleet.run_for(CUT_TIME);
    assert_views(&fleet, outside, outside);
    assert_views(&fleet, inside, inside);
    fleet.cuts.clear();
    run_until(&mut fleet, RECOVERY_TIME, all_views_complete);
    // The region was unreachable as a whole, so no record of its nodes changed.
    assert_eq!(fleet.nodes[0].view, before);
    assert_views_accurate(&fleet);
}

#[test]
fn node_cut_from_peers_then_healed() {
    let mut fleet = fleet(1);
    let index = nodes_in_domain(&fleet, &domain(0, 0))[1];
    let name = fleet.nodes[index].spec.locality.instance.clone();
    fleet.cuts = Cut::both_ways(Side::Node(name), Side::Nodes);
    fleet.run_for(CUT_TIME);
    accept(&mut fleet, 2);
    run_until_installed(&mut fleet, RECOVERY_TIME, 2);
    fleet.cuts.clear();
    run_until(&mut fleet, RECOVERY_TIME, all_views_complete);
    assert_views_accurate(&fleet);
    assert_versions_ascend(&fleet);
}

fn all_views_complete(fleet: &Simulation) -> bool {
    let mut nodes = fleet.nodes.iter();
    nodes.all(|node| node.view.endpoints.len() == 18)
}
