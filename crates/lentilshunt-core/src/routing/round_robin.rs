//! Chooses all endpoints in turn.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use super::{Choice, Policy, SelectionContext};

/// Chooses the untried endpoints of a service in turn, wherever they are.
#[derive(Debug, Default)]
pub struct RoundRobin {
    turn: AtomicUsize,
}

impl Policy for RoundRobin {
    fn choose(&self, selection: &SelectionContext<'_>) -> Choice {
        let untried = || {
            let endpoints = selection.route.endpoints();
            endpoints.filter(|endpoint| selection.is_untried(endpoint))
        };
        let turn = self.turn.fetch_add(1, Ordering::Relaxed);
        let index = turn.checked_rem(untried().count()).unwrap_or_default();
        untried().nth(index).map_or(Choice::Absent, |endpoint| {
            Choice::Endpoint(Arc::clone(endpoint))
        })
    }
}
