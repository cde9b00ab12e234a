//! Network cuts between failure domains, regions and the platform.

mod fleet;

use std::{sync::Arc, time::Duration};

use fleet::{
    NODE_COUNT, NODES_PER_DOMAIN, RECOVERY_LIMIT, SETTLE_TIME, accept, assert_versions_ascend,
    assert_views, assert_views_accurate, domain, nodes_in_domain, nodes_without_version, run_until,
    run_until_installed, started_fleet,
};
use lentilshunt_fake::{Cut, Side, Simulation};
use rstest::rstest;

/// Duration of a cut.
const CUT_TIME: Duration = Duration::from_secs(30);

/// Returns the cuts of `cut_domain` from what `kind` specifies.
///
/// Any kind without an arm of its own, such as `all`, cuts the domain off from the other domains
/// and from the platform.
fn cuts(kind: &str, cut_domain: &str) -> Vec<Cut> {
    let inside = || Side::Domain(cut_domain.to_owned());
    let outside = || Side::OutsideDomain(cut_domain.to_owned());
    match kind {
        "platform" => Cut::both_ways(inside(), Side::Platform),
        "other_domains" => Cut::both_ways(inside(), outside()),
        "outgoing" => Cut::one_way(inside(), outside()),
        "incoming" => Cut::one_way(outside(), inside()),
        _ => {
            let mut cuts = Cut::both_ways(inside(), outside());
            cuts.extend(Cut::both_ways(inside(), Side::Platform));
            cuts
        }
    }
}

#[rstest]
#[case::platform("platform")]
#[case::other_domains("other_domains")]
#[case::outgoing("outgoing")]
#[case::incoming("incoming")]
fn domain_partly_cut_converges(
    #[case] kind: &str,
    #[values((0, 0), (1, 1), (2, 0))] (region, number): (usize, usize),
) {
    let mut fleet = started_fleet(1);
    fleet.cuts = cuts(kind, &domain(region, number));
    fleet.run_for(CUT_TIME);
    accept(&mut fleet, 2);
    run_until_installed(&mut fleet, RECOVERY_LIMIT, 2);
    fleet.cuts.clear();
    fleet.run_for(SETTLE_TIME);
    assert_views_accurate(&fleet);
    assert_versions_ascend(&fleet);
}

/// A version accepted during the cut must be in force, and all views complete, soon after it ends.
#[rstest]
fn domain_isolated_then_reconnected(
    #[values((0, 0), (1, 1), (2, 0))] (region, number): (usize, usize),
    #[values(1, 2, 3)] seed: u64,
) {
    let mut fleet = started_fleet(seed);
    let cut_domain = domain(region, number);
    fleet.cuts = cuts("all", &cut_domain);
    accept(&mut fleet, 2);
    fleet.run_for(CUT_TIME);
    assert_eq!(nodes_without_version(&fleet, 2).len(), NODES_PER_DOMAIN);
    let inside = |name: &str| name == cut_domain;
    let outside = |name: &str| name != cut_domain;
    assert_views(&fleet, inside, inside);
    assert_views(&fleet, outside, outside);
    fleet.cuts.clear();
    run_until_installed(&mut fleet, RECOVERY_LIMIT, 2);
    run_until(&mut fleet, RECOVERY_LIMIT, all_views_complete);
    assert_views_accurate(&fleet);
    assert_versions_ascend(&fleet);
}

#[rstest]
fn region_cut_ends_with_unchanged_view(#[values(1, 2, 3)] seed: u64) {
    let mut fleet = started_fleet(seed);
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
    run_until(&mut fleet, RECOVERY_LIMIT, all_views_complete);
    // The region was unreachable as a whole, so no record of its nodes changed.
    assert_eq!(fleet.nodes[0].view, before);
    assert_views_accurate(&fleet);
}

/// A version accepted during the cut reaches the node through the platform, and all views are
/// complete soon after the cut ends.
#[test]
fn node_cut_from_peers_then_reconnected() {
    let mut fleet = started_fleet(1);
    let index = nodes_in_domain(&fleet, &domain(0, 0))[1];
    let name = fleet.nodes[index].spec.locality.instance.clone();
    fleet.cuts = Cut::both_ways(Side::Node(name), Side::Nodes);
    fleet.run_for(CUT_TIME);
    accept(&mut fleet, 2);
    run_until_installed(&mut fleet, RECOVERY_LIMIT, 2);
    fleet.cuts.clear();
    run_until(&mut fleet, RECOVERY_LIMIT, all_views_complete);
    assert_views_accurate(&fleet);
    assert_versions_ascend(&fleet);
}

fn all_views_complete(fleet: &Simulation) -> bool {
    let mut nodes = fleet.nodes.iter();
    nodes.all(|node| node.view.endpoints.len() == NODE_COUNT)
}
