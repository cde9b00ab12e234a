//! Endpoints and settings of one service.

use std::sync::Arc;

use super::Locality;
use crate::{config::Service, membership::Endpoint};

/// Settings and endpoints of one service.
///
/// A route owns its endpoints, so it cannot refer to an endpoint that the node
/// does not have. A service without a live endpoint has a route with empty tiers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceRoute {
    /// Settings of the service.
    pub service: Service,
    /// Endpoints by [`Locality::distance`].
    pub tiers: [Vec<Arc<Endpoint>>; Locality::DISTANCES],
}

impl ServiceRoute {
    /// Returns the endpoints from the nearest to the farthest.
    pub fn endpoints(&self) -> impl Iterator<Item = &Arc<Endpoint>> {
        self.tiers.iter().flatten()
    }

    /// Returns whether no endpoint is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.tiers.iter().all(Vec::is_empty)
    }
}
