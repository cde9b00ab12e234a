//! Policy that chooses among the nearest endpoints.

use std::sync::Arc;

use super::{Choice, Policy, SelectionContext};

/// Chooses a random untried endpoint in the nearest tier that has one.
#[derive(Clone, Copy, Debug, Default)]
pub struct Nearest;

impl Policy for Nearest {
    fn choose(&self, selection: &SelectionContext<'_>) -> Choice {
        for tier in &selection.route.tiers {
            let untried: Vec<_> = tier
                .iter()
                .filter(|endpoint| selection.is_untried(endpoint))
                .collect();
            if let Some(index) = selection.random.checked_rem(untried.len() as u64) {
                let index = usize::try_from(index).unwrap_or_default();
                return Choice::Endpoint(Arc::clone(untried[index]));
            }
        }
        Choice::NoCandidate
    }
}
