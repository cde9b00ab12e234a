//! Chooses at random among the nearest endpoints.

use std::sync::Arc;

use super::{Policy, Route};
use crate::{id::InstanceId, membership::Endpoint};

/// Chooses at random among the untried endpoints of the nearest tier that has one.
#[derive(Clone, Copy, Debug, Default)]
pub struct Nearest;

impl Policy for Nearest {
    fn choose(&self, route: &Route, tried: &[InstanceId], random: u64) -> Option<Arc<Endpoint>> {
        for tier in &route.tiers {
            let untried: Vec<_> = tier
                .iter()
                .filter(|endpoint| !tried.contains(&endpoint.instance))
                .collect();
            if let Some(index) = random.checked_rem(untried.len() as u64) {
                let index = usize::try_from(index).unwrap_or_default();
                return Some(Arc::clone(untried[index]));
            }
        }
        None
    }
}
