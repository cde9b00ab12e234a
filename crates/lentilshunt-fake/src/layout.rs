//! Where the nodes of a fleet stand.

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    time::Duration,
};

use lentilshunt_core::routing::Locality;

/// Port of every node.
const PORT: u16 = 7001;
/// Seeds that a node knows at start.
const SEEDS: usize = 2;
/// One-way latency within a failure domain.
const DOMAIN_LATENCY: Duration = Duration::from_micros(100);
/// One-way latency between failure domains.
const REGION_LATENCY: Duration = Duration::from_micros(500);
/// One-way latency between regions.
const FAR_LATENCY: Duration = Duration::from_millis(8);

/// Place, address and seeds of one node.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Seat {
    /// Where the node stands.
    pub place: Locality,
    /// Peer address of the node.
    pub address: SocketAddr,
    /// Service of its upstream.
    pub service: String,
    /// Peer addresses that the node knows at start.
    pub seeds: Vec<SocketAddr>,
}

/// The nodes of a fleet.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Layout {
    /// Nodes in a fixed order; domains take turns.
    pub seats: Vec<Seat>,
}

impl Layout {
    /// Spreads `nodes` nodes of `services` services over `domains` failure domains in each of `regions` regions.
    #[must_use]
    pub fn new(regions: usize, domains: usize, nodes: usize, services: usize) -> Self {
        let places = regions * domains;
        let seat = |index: usize| {
            let (region, domain) = (index % regions, index / regions % domains);
            Seat {
                place: Locality::new(
                    format!("service-{}-{}", index % services, index / services),
                    format!("domain-{region}-{domain}"),
                    format!("region-{region}"),
                ),
                address: address(index),
                service: format!("service-{}", index % services),
                seeds: Vec::new(),
            }
        };
        let mut seats: Vec<Seat> = (0..nodes).map(seat).collect();
        for (index, seat) in seats.iter_mut().enumerate() {
            let first = index % places;
            let seeds = (first..nodes).step_by(places);
            let seeds = seeds.filter(|other| *other != index).take(SEEDS);
            seat.seeds = seeds.map(address).collect();
        }
        Self { seats }
    }

    /// Returns the one-way latency between two places.
    #[must_use]
    pub fn latency(from: &Locality, to: &Locality) -> Duration {
        if from.region != to.region {
            FAR_LATENCY
        } else if from.domain != to.domain {
            REGION_LATENCY
        } else {
            DOMAIN_LATENCY
        }
    }
}

/// Returns the address of the node with a number.
fn address(index: usize) -> SocketAddr {
    let number = u32::try_from(index + 1).expect("a small fleet");
    let ip = Ipv4Addr::from_bits(Ipv4Addr::new(10, 0, 0, 0).to_bits() + number);
    SocketAddr::new(IpAddr::V4(ip), PORT)
}
