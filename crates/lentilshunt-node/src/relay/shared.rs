//! State shared by the components of a relaying node.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, atomic::AtomicBool},
    time::Instant,
};

use arc_swap::ArcSwap;
use lentilshunt_core::{
    id::{InstanceId, ServiceId, VersionId},
    membership::{Endpoint, Phase},
    retry::FleetBudget,
    routing::{Locality, ServiceRoute},
    traffic::Rules,
};
use slog::Logger;
use tokio::{
    sync::{Notify, watch},
    time::timeout_at,
};
use tokio_util::sync::CancellationToken;

use super::{HeaderNames, Lifetime};
use crate::rollout::Rollouts;

/// Endpoints of each service, grouped by distance.
#[derive(Debug, Default)]
pub struct Directory {
    services: HashMap<ServiceId, ServiceRoute>,
    /// Routes without other regions, for services with an endpoint in the local region.
    local_region: HashMap<ServiceId, ServiceRoute>,
    node_count: usize,
    /// Nodes that may read the table store for the local failure domain, in order of preference.
    reader_candidates: Vec<(InstanceId, SocketAddr)>,
    /// Nodes that may decide for the fleet, as accountant of quotas or coordinator of roll-outs, in order of preference.
    coordinators: Vec<(InstanceId, SocketAddr)>,
}

/// The highest version that is known to be active on some node.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct NewestVersion {
    /// Number of the version.
    pub version: VersionId,
    /// Node on which it is active; `None` for this node.
    pub node: Option<SocketAddr>,
}

/// State shared by the components of a relaying node.
#[derive(Debug)]
pub struct Shared {
    /// Location of the node.
    pub locality: Locality,
    /// Service of the local upstream.
    pub service: ServiceId,
    /// Names of the headers exchanged with callers and the upstream.
    pub header_names: HeaderNames,
    /// Retries that all nodes together may send for one service.
    pub retry_allowance: ArcSwap<FleetBudget>,
    /// Active traffic rules.
    pub rules: ArcSwap<Rules>,
    /// Whether callers may send keys of organisations, although the active rules list none.
    ///
    /// Set by the settings, or by the first version that lists organisations.
    pub has_organisations: AtomicBool,
    /// Known endpoints.
    pub directory: ArcSwap<Directory>,
    /// Roll-outs of new versions of services.
    pub rollouts: Rollouts,
    /// Highest version that is active on this or another node.
    pub newest_version: watch::Sender<NewestVersion>,
    /// Notified when the suspicions of a request may have changed.
    pub suspicions_changed: Notify,
    /// Cancelled when the node starts to shut down.
    pub stop: CancellationToken,
    /// Time that is left for requests.
    pub lifetime: Lifetime,
    /// Structured log.
    pub log: Logger,
}

impl Directory {
    /// Groups ready endpoints by service and by their distance from `locality`.
    #[must_use]
    pub fn new(endpoints: &[Arc<Endpoint>], locality: &Locality) -> Self {
        let mut services: HashMap<ServiceId, ServiceRoute> = HashMap::new();
        for endpoint in endpoints {
            if endpoint.phase != Phase::Ready {
                continue;
            }
            let route = services
                .entry(endpoint.service.clone())
                .or_insert_with(|| ServiceRoute {
                    service: lentilshunt_core::config::Service::default(),
                    tiers: Default::default(),
                });
            route.tiers[locality.distance(endpoint)].push(Arc::clone(endpoint));
        }
        let local_region = services
            .iter()
            .filter_map(|(service, route)| Some((service.clone(), within_local_region(route)?)))
            .collect();
        Self {
            services,
            local_region,
            node_count: endpoints.len(),
            reader_candidates: Vec::new(),
            coordinators: Vec::new(),
        }
    }

    /// Sets the nodes that may read the table store for the local failure domain, in order of
    /// preference.
    #[must_use]
    pub fn with_reader_candidates(
        mut self,
        reader_candidates: Vec<(InstanceId, SocketAddr)>,
    ) -> Self {
        self.reader_candidates = reader_candidates;
        self
    }

    /// Returns the nodes that may read the table store for the local failure domain, in order of
    /// preference.
    ///
    /// If the list is empty, each node reads the table store itself.
    #[must_use]
    pub fn reader_candidates(&self) -> &[(InstanceId, SocketAddr)] {
        &self.reader_candidates
    }

    /// Sets the nodes that may decide for the fleet, as accountant of quotas or coordinator of
    /// roll-outs, in order of preference.
    #[must_use]
    pub fn with_coordinators(mut self, coordinators: Vec<(InstanceId, SocketAddr)>) -> Self {
        self.coordinators = coordinators;
        self
    }

    /// Returns the nodes that may decide for the fleet, as accountant of quotas or coordinator of
    /// roll-outs, in order of preference.
    #[must_use]
    pub fn coordinators(&self) -> &[(InstanceId, SocketAddr)] {
        &self.coordinators
    }

    /// Returns the endpoints of a service in the local region, or those of all regions if the
    /// local one has none.
    #[must_use]
    pub fn local_region_route(&self, service: &str) -> Option<&ServiceRoute> {
        self.local_region
            .get(service)
            .or_else(|| self.route(service))
    }

    /// Returns the endpoints of a service, or `None` if none is known.
    #[must_use]
    pub fn route(&self, service: &str) -> Option<&ServiceRoute> {
        self.services.get(service)
    }

    /// Returns the number of known nodes.
    #[must_use]
    pub fn node_count(&self) -> usize {
        self.node_count
    }

    /// Returns all endpoints that accept calls.
    pub fn endpoints(&self) -> impl Iterator<Item = &Arc<Endpoint>> {
        self.services.values().flat_map(ServiceRoute::endpoints)
    }
}

/// Returns a route without other regions, or `None` if no endpoint remains.
fn within_local_region(route: &ServiceRoute) -> Option<ServiceRoute> {
    let mut local = route.clone();
    local.tiers[Locality::DISTANCES - 1].clear();
    (!local.is_empty()).then_some(local)
}

impl Shared {
    /// Returns the active version, or 0 before the first.
    #[must_use]
    pub fn version(&self) -> VersionId {
        self.rules.load().version()
    }

    /// Waits until traffic rules are active, and returns whether they are by the deadline.
    pub async fn wait_for_rules(&self, deadline: Instant) -> bool {
        if self.version() > 0 {
            return true;
        }
        let mut newest = self.newest_version.subscribe();
        let active = newest.wait_for(|_| self.version() > 0);
        // The error is that of a dropped sender, which this borrows.
        matches!(timeout_at(deadline.into(), active).await, Ok(Ok(_)))
    }

    /// Records the version that is active on a node; `None` denotes this node.
    pub fn observe_version(&self, version: VersionId, node: Option<SocketAddr>) {
        self.newest_version.send_if_modified(|newest| {
            // A version that becomes active on this node may have been seen on another before.
            let is_newer = version > newest.version || node.is_none();
            if version >= newest.version {
                // Among several nodes with the version, the last one seen is queried.
                *newest = NewestVersion { version, node };
            }
            is_newer
        });
    }
}
