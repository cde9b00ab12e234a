//! What all parts of a relaying node share.

use std::{collections::HashMap, net::SocketAddr, sync::Arc};

use arc_swap::ArcSwap;
use lentilshunt_core::{
    id::{InstanceId, ServiceId, VersionId},
    membership::{Endpoint, Phase},
    retry::Allowance,
    routing::{Place, Route},
    traffic::Rules,
};
use slog::Logger;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use super::HeaderNames;

/// Endpoints of each service, from the nearest to the farthest.
#[derive(Debug, Default)]
pub struct Directory {
    services: HashMap<ServiceId, Route>,
    /// Routes without other regions, for services with an endpoint in the own region.
    local_region: HashMap<ServiceId, Route>,
    nodes: usize,
    /// Nodes of the own failure domain, the one that reads the store first.
    readers: Vec<(InstanceId, SocketAddr)>,
}

/// The highest version that is known to be in force somewhere.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct NewestVersion {
    /// Number of the version.
    pub version: VersionId,
    /// Node that has it in force; none for this one.
    pub node: Option<SocketAddr>,
}

/// State shared by the parts of a relaying node.
#[derive(Debug)]
pub struct Shared {
    /// Where the node stands.
    pub place: Place,
    /// Service of the upstream beside the node.
    pub service: ServiceId,
    /// Header names of callers and upstreams.
    pub header_names: HeaderNames,
    /// Retries that all nodes together may make for one service.
    pub retry_allowance: ArcSwap<Allowance>,
    /// Traffic rules in force.
    pub rules: ArcSwap<Rules>,
    /// Endpoints known.
    pub directory: ArcSwap<Directory>,
    /// Highest version that this or another node has in force.
    pub newest_version: watch::Sender<NewestVersion>,
    /// Cancelled when the node begins to stop.
    pub stop: CancellationToken,
    /// Structured log.
    pub log: Logger,
}

impl Directory {
    /// Sorts endpoints by service and by their distance from a place.
    #[must_use]
    pub fn new(endpoints: &[Arc<Endpoint>], place: &Place) -> Self {
        let mut services: HashMap<ServiceId, Route> = HashMap::new();
        for endpoint in endpoints {
            if endpoint.phase != Phase::Ready {
                continue;
            }
            let route = services
                .entry(endpoint.service.clone())
                .or_insert_with(|| Route {
                    service: lentilshunt_core::config::Service::default(),
                    tiers: Default::default(),
                });
            route.tiers[place.distance(endpoint)].push(Arc::clone(endpoint));
        }
        let local_region = services
            .iter()
            .filter_map(|(service, route)| Some((service.clone(), within_local_region(route)?)))
            .collect();
        Self {
            services,
            local_region,
            nodes: endpoints.len(),
            readers: Vec::new(),
        }
    }

    /// Sets which nodes of the own failure domain read the store, in their order.
    #[must_use]
    pub fn with_readers(mut self, readers: Vec<(InstanceId, SocketAddr)>) -> Self {
        self.readers = readers;
        self
    }

    /// Returns the nodes that read the store for the own failure domain, in their order.
    ///
    /// Where none is returned, each node reads the store by itself.
    #[must_use]
    pub fn readers(&self) -> &[(InstanceId, SocketAddr)] {
        &self.readers
    }

    /// Returns the endpoints of a service in the own region, or all if there is none.
    #[must_use]
    pub fn local_region_route(&self, service: &str) -> Option<&Route> {
        self.local_region
            .get(service)
            .or_else(|| self.route(service))
    }

    /// Returns the endpoints of a service, if any is known.
    #[must_use]
    pub fn route(&self, service: &str) -> Option<&Route> {
        self.services.get(service)
    }

    /// Returns the number of nodes known.
    #[must_use]
    pub fn nodes(&self) -> usize {
        self.nodes
    }

    /// Returns every endpoint that may be called.
    pub fn endpoints(&self) -> impl Iterator<Item = &Arc<Endpoint>> {
        self.services.values().flat_map(Route::endpoints)
    }
}

/// Returns a route without other regions, unless nothing is left of it.
fn within_local_region(route: &Route) -> Option<Route> {
    let mut local = route.clone();
    local.tiers[Place::DISTANCES - 1].clear();
    (!local.is_empty()).then_some(local)
}

impl Shared {
    /// Returns the version in force; 0 before the first.
    #[must_use]
    pub fn version(&self) -> VersionId {
        self.rules.load().version()
    }

    /// Takes the version that a node has in force; none stands for this node.
    pub fn observe_version(&self, version: VersionId, node: Option<SocketAddr>) {
        self.newest_version.send_if_modified(|newest| {
            let is_newer = version > newest.version;
            if version >= newest.version {
                // Of several nodes with the version, the one heard last is asked.
                *newest = NewestVersion { version, node };
            }
            is_newer
        });
    }
}
