//! The border behind which ways of choosing an endpoint stand.

use std::{fmt::Debug, sync::Arc};

use super::Route;
use crate::{id::InstanceId, membership::Endpoint};

/// One way to choose the endpoint of the next attempt.
pub trait Policy: Debug + Send + Sync {
    /// Chooses an endpoint that has not been tried, or none.
    ///
    /// `random` is a uniformly distributed number drawn by the owner.
    fn choose(&self, route: &Route, tried: &[InstanceId], random: u64) -> Option<Arc<Endpoint>>;
}
