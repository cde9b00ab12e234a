//! Drains in a storm of restarts and changes of load.

mod fleet;

use std::time::Duration;

use fleet::fleet;
use lentilshunt_core::membership::Phase;
use lentilshunt_fake::Fleet;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use rstest::rstest;

/// Bound on the time in which a leaving upstream still gets new work.
const DRAINED: Duration = Duration::from_secs(2);
/// Step in which the storm is run.
const STEP: Duration = Duration::from_millis(50);
/// Steps of the storm.
const STEPS: usize = 1200;
/// Chance in a step that an upstream's load changes.
const LOAD: f64 = 0.025;
/// Chance in a step that an endpoint drains, returns or restarts: a tenth a second.
const CHANGE: f64 = 0.005;

#[rstest]
fn draining_is_seen_in_storm(#[values(1, 2, 3, 4)] seed: u64) {
    let mut fleet = fleet(seed);
    let mut random = StdRng::seed_from_u64(seed);
    let mut drains = Vec::new();
    for _ in 0..STEPS {
        for index in 0..fleet.nodes.len() {
            change(&mut fleet, &mut random, index, &mut drains);
        }
        fleet.run_for(STEP);
        drains.retain(|(index, _)| is_offered(&fleet, *index));
        for (index, since) in &drains {
            assert!(fleet.now() - *since <= DRAINED, "node {index}");
        }
    }
}

type Drain = (usize, std::time::Instant);

fn change(fleet: &mut Fleet, random: &mut StdRng, index: usize, drains: &mut Vec<Drain>) {
    let phase = fleet.nodes[index].phase;
    if random.random_bool(LOAD) {
        fleet.announce(index, phase, random.random_range(0..1000));
    }
    if !random.random_bool(CHANGE) {
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

/// Returns whether any view still offers a draining endpoint for new work.
fn is_offered(fleet: &Fleet, index: usize) -> bool {
    let instance = &fleet.nodes[index].seat.place.instance;
    fleet.nodes.iter().any(|node| {
        let mut endpoints = node.view.endpoints.iter();
        endpoints.any(|endpoint| endpoint.instance == *instance && endpoint.phase == Phase::Ready)
    })
}
