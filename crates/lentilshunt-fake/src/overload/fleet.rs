//! Upstreams with their nodes.

use std::{net::SocketAddr, sync::Arc, time::Instant};

use lentilshunt_core::{
    config::Service,
    membership::{Endpoint, Phase},
    overload::Timeouts,
    routing::{Locality, Observations, Policy, ServiceRoute},
};

use super::{Placement, caller::CLASSES};

/// Number of regions.
const REGIONS: usize = 3;
/// Number of failure domains.
pub(super) const DOMAINS: usize = 6;
/// Slots of an upstream.
pub(super) const SLOTS: u32 = 9;
/// Factors on the run times of the upstreams, in turn.
const SPEEDS: [f64; 3] = [0.7, 0.7, 1.6];
/// Name of the service.
pub(super) const SERVICE: &str = "bales";

/// The node beside an upstream, as far as it sends attempts.
#[derive(Debug)]
pub(super) struct Node {
    pub(super) endpoint: Arc<Endpoint>,
    pub(super) locality: Locality,
    pub(super) route: ServiceRoute,
    pub(super) observations: Observations,
    pub(super) policy: Box<dyn Policy>,
    /// Timeouts of its callers, by class.
    pub(super) timeouts: [Timeouts; CLASSES.len()],
}

/// Returns the failure domain of a node.
fn domain(node: usize) -> usize {
    node % DOMAINS
}

/// Returns the factor on the run times of an upstream.
pub(super) fn speed(upstream: usize) -> f64 {
    // The upstreams of a domain differ in speed.
    SPEEDS[upstream / DOMAINS % SPEEDS.len()]
}

/// Creates the nodes of a fleet.
pub(super) fn nodes(count: usize, placement: Placement, origin: Instant) -> Vec<Node> {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let endpoints: Vec<_> = (0..count)
        .map(|index| {
            Arc::new(Endpoint {
                instance: format!("n{index}"),
                address,
                region: format!("r{}", domain(index) % REGIONS),
                domain: format!("d{}", domain(index)),
                incarnation: 1,
                service: SERVICE.to_owned(),
                version: String::new(),
                phase: Phase::Ready,
                slots: SLOTS,
                free_slots: SLOTS,
            })
        })
        .collect();
    let node = |endpoint: &Arc<Endpoint>| {
        let locality = Locality::new(
            endpoint.instance.clone(),
            endpoint.domain.clone(),
            endpoint.region.clone(),
        );
        let mut route = ServiceRoute {
            service: Service::default(),
            tiers: Default::default(),
        };
        for endpoint in &endpoints {
            route.tiers[locality.distance(endpoint)].push(Arc::clone(endpoint));
        }
        Node {
            endpoint: Arc::clone(endpoint),
            locality,
            route,
            observations: Observations::new(origin),
            policy: placement.policy(),
            timeouts: Default::default(),
        }
    };
    endpoints.iter().map(node).collect()
}
