//! Location of a node.

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
    /// Number of distinct values of [`Locality::distance`].
    pub const DISTANCES: usize = 4;

    /// Returns the distance to an endpoint: 0 on the same instance, 1 in the same
    /// failure domain, 2 in the same region, 3 in any other region.
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
