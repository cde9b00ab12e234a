//! Drains under a high rate of restarts and changes of load.

mod fleet;

use std::time::Duration;

use fleet::started_fleet;
use lentilshunt_core::membership::Phase;
use lentilshunt_fake::Simulation;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use rstest::rstest;

/// Limit on the time for which a draining upstream is still offered for new work.
const DRAIN_LIMIT: Duration = Duration::from_secs(2);
/// Simulated time of one step.
const STEP: Duration = Duration::from_millis(50);
/// Number of steps.
const STEP_COUNT: usize = 1200;
/// Probability per step and endpoint that the load of the upstream changes.
const LOAD_CHANGE_PROBABILITY: f64 = 0.025;
/// Probability per step and endpoint that it drains, becomes ready or restarts: 0.1 changes a
/// second.
const PHASE_CHANGE_PROBABILITY: f64 = 0.005;

#[rstest]
fn draining_reaches_views_under_churn(#[values(1, 2, 3, 4)] seed: u64) {
    let mut fleet = started_fleet(seed);
    let mut random = StdRng::seed_from_u64(seed);
    let mut drains = Vec::new();
    for _ in 0..STEP_COUNT {
        for index in 0..fleet.nodes.len() {
            change_node(&mut fleet, &mut random, index, &mut drains);
        }
        fleet.run_for(STEP);
        drains.retain(|(index, _)| is_node_ready_in_any_view(&fleet, *index));
        for (index, since) in &drains {
            assert!(fleet.now() - *since <= DRAIN_LIMIT, "node {index}");
        }
    }
}

type Drain = (usize, std::time::Instant);

fn change_node(fleet: &mut Simulation, random: &mut StdRng, index: usize, drains: &mut Vec<Drain>) {
    let phase = fleet.nodes[index].phase;
    if random.random_bool(LOAD_CHANGE_PROBABILITY) {
        fleet.announce(index, phase, random.random_range(0..1000));
    }
    if !random.random_bool(PHASE_CHANGE_PROBABILITY) {
        return;
    }
    if phase == Phase::Draining {
        fleet.announce(index, Phase::Ready, 0);
        drains.retain(|(draining, _)| *draining != index);
    } else if random.random_bool(0.5) {
        fleet.announce(index, Phase::Draining, 0);
        drains.push((index, fleet.now()));
    } else {
        fleet.kill(index);
        fleet.start(index);
    }
}

/// Returns whether any view still contains the endpoint of node `index` as ready.
fn is_node_ready_in_any_view(fleet: &Simulation, index: usize) -> bool {
    let instance = &fleet.nodes[index].spec.locality.instance;
    fleet.nodes.iter().any(|node| {
        let mut endpoints = node.view.endpoints.iter();
        endpoints.any(|endpoint| endpoint.instance == *instance && endpoint.phase == Phase::Ready)
    })
}
