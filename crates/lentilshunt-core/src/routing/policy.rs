//! The border behind which ways of choosing an endpoint stand.

use std::{fmt::Debug, sync::Arc, time::Instant};

use super::{Observations, ServiceRoute};
use crate::{id::InstanceId, membership::Endpoint};

/// What a policy chooses from.
#[derive(Clone, Copy, Debug)]
pub struct SelectionContext<'a> {
    /// Name of the service.
    pub service: &'a str,
    /// Endpoints of the service.
    pub route: &'a ServiceRoute,
    /// Instances that the call has been tried on.
    pub tried: &'a [InstanceId],
    /// What the node has seen of the endpoints.
    pub observations: &'a Observations,
    /// Instant of the choice.
    pub now: Instant,
    /// A uniformly distributed number drawn by the owner.
    pub random: u64,
}

/// What a policy chose.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Choice {
    /// The endpoint of the next attempt.
    Endpoint(Arc<Endpoint>),
    /// Every candidate is known to be full.
    Full,
    /// There is no candidate.
    Absent,
}

/// One way to choose the endpoint of the next attempt.
pub trait Policy: Debug + Send + Sync {
    /// Chooses an endpoint that has not been tried.
    fn choose(&self, selection: &SelectionContext<'_>) -> Choice;
}

impl SelectionContext<'_> {
    /// Returns whether the call has not been tried on an endpoint.
    #[must_use]
    pub fn is_untried(&self, endpoint: &Endpoint) -> bool {
        !self.tried.contains(&endpoint.instance)
    }
}
