//! Interface of the load balancing policies.

use std::{fmt::Debug, sync::Arc, time::Instant};

use super::{Observations, ServiceRoute};
use crate::{id::InstanceId, membership::Endpoint};

/// Input of a policy for one choice.
#[derive(Clone, Copy, Debug)]
pub struct SelectionContext<'a> {
    /// Name of the service.
    pub service: &'a str,
    /// Endpoints of the service.
    pub route: &'a ServiceRoute,
    /// Instances on which the call has been attempted.
    pub tried: &'a [InstanceId],
    /// Observations of the endpoints by this node.
    pub observations: &'a Observations,
    /// Instant of the choice.
    pub now: Instant,
    /// Uniformly distributed random number for this choice.
    pub random: u64,
}

/// Result of a policy.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Choice {
    /// Endpoint for the next attempt.
    Endpoint(Arc<Endpoint>),
    /// Endpoint for the next attempt, which is expected to wait there, as no candidate is known to
    /// have a free slot.
    Queue(Arc<Endpoint>),
    /// Every candidate is known to be full.
    Full,
    /// There are no candidates.
    NoCandidate,
}

/// Load balancing policy that chooses the endpoint of the next attempt.
pub trait Policy: Debug + Send + Sync {
    /// Chooses an endpoint that has not been tried.
    fn choose(&self, selection: &SelectionContext<'_>) -> Choice;
}

impl SelectionContext<'_> {
    /// Returns whether the call has not been attempted on an endpoint.
    #[must_use]
    pub fn is_untried(&self, endpoint: &Endpoint) -> bool {
        !self.tried.contains(&endpoint.instance)
    }
}
