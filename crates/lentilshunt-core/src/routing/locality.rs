//! Where a node stands.

use derive_more::Constructor;

use crate::{
    id::{DomainId, InstanceId, RegionId},
    membership::Endpoint,
};

/// Instance, failure domain and region of a node.
#[derive(Clone, Constructor, Debug, Eq, PartialEq)]
pub struct Locality {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Failure domain of the instance.
    pub domain: DomainId,
    /// Region of the instance.
    pub region: RegionId,
}

impl Locality {
    /// Number of distances that [`Locality::distance`] returns.
    pub const DISTANCES: usize = 4;

    /// Returns how far an endpoint is: 0 for the own instance, 1 for the own
    /// failure domain, 2 for the own region, 3 for any other region.
    #[must_use]
    pub fn distance(&self, endpoint: &Endpoint) -> usize {
        if endpoint.instance == self.instance {
            0
        } else if endpoint.domain == self.domain {
            1
        } else if endpoint.region == self.region {
            2
        } else {
            3
        }
    }
}
