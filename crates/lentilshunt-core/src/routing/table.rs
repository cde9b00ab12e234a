//! Route table of one version and one view.

use std::{collections::HashMap, sync::Arc};

use super::{Locality, ServiceRoute};
use crate::{
    config::Snapshot,
    id::{ServiceId, VersionId},
    membership::{Phase, View},
};

/// Routes of all services in a configuration, built from one view.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Table {
    version: VersionId,
    routes: HashMap<ServiceId, ServiceRoute>,
}

impl Table {
    /// Builds the routes of a snapshot over the endpoints of a view.
    ///
    /// Only endpoints that are ready and in a failure domain of the snapshot are included.
    #[must_use]
    pub fn new(version: VersionId, snapshot: &Snapshot, view: &View, locality: &Locality) -> Self {
        let mut routes: HashMap<ServiceId, ServiceRoute> = HashMap::new();
        for (name, service) in &snapshot.services {
            let route = ServiceRoute {
                service: service.clone(),
                tiers: Default::default(),
            };
            routes.insert(name.clone(), route);
        }
        for endpoint in &view.endpoints {
            let known_domain = snapshot.topology.domains.contains_key(&endpoint.domain);
            if endpoint.phase != Phase::Ready || !known_domain {
                continue;
            }
            if let Some(route) = routes.get_mut(&endpoint.service) {
                route.tiers[locality.distance(endpoint)].push(Arc::clone(endpoint));
            }
        }
        Self { version, routes }
    }

    /// Returns the version that the table was built from; 0 before the first version.
    #[must_use]
    pub fn version(&self) -> VersionId {
        self.version
    }

    /// Returns the route of a service, if it is in the configuration.
    #[must_use]
    pub fn route(&self, service: &str) -> Option<&ServiceRoute> {
        self.routes.get(service)
    }

    /// Returns all routes with the names of their services, in arbitrary order.
    pub fn routes(&self) -> impl Iterator<Item = (&ServiceId, &ServiceRoute)> {
        self.routes.iter()
    }
}
