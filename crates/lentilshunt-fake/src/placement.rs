//! Localities and addresses of the simulated nodes.

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    time::Duration,
};

use lentilshunt_core::routing::Locality;

/// Peer port of every node.
const PEER_PORT: u16 = 7001;
/// Number of seed peers that a node is configured with.
const SEEDS_PER_NODE: usize = 2;
/// One-way latency within a failure domain.
const SAME_DOMAIN_LATENCY: Duration = Duration::from_micros(100);
/// One-way latency between failure domains.
const OTHER_DOMAIN_LATENCY: Duration = Duration::from_micros(500);
/// One-way latency between regions.
const OTHER_REGION_LATENCY: Duration = Duration::from_millis(8);

/// Locality, addresses and service of one node.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NodeSpec {
    /// Locality of the node.
    pub locality: Locality,
    /// Peer address of the node.
    pub address: SocketAddr,
    /// Service of its upstream.
    pub service: String,
    /// Peer addresses that the node contacts at start.
    pub seeds: Vec<SocketAddr>,
}

/// Localities and addresses of all nodes of a simulation.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Placement {
    /// Nodes in a fixed order, assigned to the regions and failure domains round-robin.
    pub nodes: Vec<NodeSpec>,
}

impl Placement {
    /// Distributes `nodes` nodes of `services` services over `regions` regions with
    /// `domains` failure domains each.
    #[must_use]
    pub fn new(regions: usize, domains: usize, nodes: usize, services: usize) -> Self {
        let domain_count = regions * domains;
        let spec = |index: usize| {
            let (region, domain) = (index % regions, index / regions % domains);
            NodeSpec {
                locality: Locality::new(
                    format!("service-{}-{}", index % services, index / services),
                    format!("domain-{region}-{domain}"),
                    format!("region-{region}"),
                ),
                address: address(index),
                service: format!("service-{}", index % services),
                seeds: Vec::new(),
            }
        };
        let mut specs: Vec<NodeSpec> = (0..nodes).map(spec).collect();
        for (index, spec) in specs.iter_mut().enumerate() {
            let first = index % domain_count;
            let seeds = (first..nodes).step_by(domain_count);
            let seeds = seeds.filter(|other| *other != index).take(SEEDS_PER_NODE);
            spec.seeds = seeds.map(address).collect();
        }
        Self { nodes: specs }
    }

    /// Returns the one-way latency between two localities.
    #[must_use]
    pub fn latency(from: &Locality, to: &Locality) -> Duration {
        if from.region != to.region {
            OTHER_REGION_LATENCY
        } else if from.domain != to.domain {
            OTHER_DOMAIN_LATENCY
        } else {
            SAME_DOMAIN_LATENCY
        }
    }
}

/// Returns the peer address of the node with the given index.
fn address(index: usize) -> SocketAddr {
    let offset = u32::try_from(index + 1).expect("the node index fits in 32 bits");
    let ip = Ipv4Addr::from_bits(Ipv4Addr::new(10, 0, 0, 0).to_bits() + offset);
    SocketAddr::new(IpAddr::V4(ip), PEER_PORT)
}
