//! Policy that cycles through all endpoints.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use super::{Choice, Policy, SelectionContext};

/// Cycles through the untried endpoints of a service, regardless of their distance.
#[derive(Debug, Default)]
pub struct RoundRobin {
    counter: AtomicUsize,
}

impl Policy for RoundRobin {
    fn choose(&self, selection: &SelectionContext<'_>) -> Choice {
        let untried = || {
            let endpoints = selection.route.endpoints();
            endpoints.filter(|endpoint| selection.is_untried(endpoint))
        };
        let count = self.counter.fetch_add(1, Ordering::Relaxed);
        let index = count.checked_rem(untried().count()).unwrap_or_default();
        untried()
            .nth(index)
            .map_or(Choice::NoCandidate, |endpoint| {
                Choice::Endpoint(Arc::clone(endpoint))
            })
    }
}
