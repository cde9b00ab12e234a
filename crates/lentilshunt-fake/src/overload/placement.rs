//! Choice of the upstream of an attempt.

use std::sync::Arc;

use lentilshunt_core::{
    membership::Endpoint,
    routing::{Choice, LocalityAware, Policy, RoundRobin, SelectionContext},
};

/// Choice of the upstream of an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Placement {
    /// The product: near upstreams with free slots, by load and response time.
    Product,
    /// All upstreams in turn.
    RoundRobin,
    /// The less loaded of two random upstreams.
    LeastLoaded,
    /// The upstream with the lowest response time of two random ones.
    Fastest,
}

impl Placement {
    /// All placements.
    pub const ALL: [Self; 4] = [
        Self::Product,
        Self::RoundRobin,
        Self::LeastLoaded,
        Self::Fastest,
    ];

    /// Returns the name of the placement.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Product => "product",
            Self::RoundRobin => "round-robin",
            Self::LeastLoaded => "least-loaded",
            Self::Fastest => "fastest",
        }
    }

    /// Creates the policy of one node.
    pub(super) fn policy(self) -> Box<dyn Policy> {
        match self {
            Self::Product => Box::new(LocalityAware),
            Self::RoundRobin => Box::<RoundRobin>::default(),
            Self::LeastLoaded => Box::new(TwoChoices { by_time: false }),
            Self::Fastest => Box::new(TwoChoices { by_time: true }),
        }
    }
}

/// The better of two random endpoints, wherever they are.
#[derive(Clone, Copy, Debug)]
struct TwoChoices {
    /// Whether the response time counts instead of the load.
    by_time: bool,
}

impl Policy for TwoChoices {
    fn choose(&self, selection: &SelectionContext<'_>) -> Choice {
        let untried: Vec<&Arc<Endpoint>> = selection
            .route
            .endpoints()
            .filter(|endpoint| selection.is_untried(endpoint))
            .collect();
        let count = untried.len() as u64;
        let Some(first) = selection.random.checked_rem(count) else {
            return Choice::NoCandidate;
        };
        let second = (first + 1 + (selection.random >> u32::BITS)) % count;
        let pick = |index: u64| untried[usize::try_from(index).unwrap_or_default()];
        let cost = |endpoint: &Arc<Endpoint>| {
            let observations = selection.observations;
            let state = observations.endpoint_state(endpoint, selection.now);
            if self.by_time {
                u64::from(state.response_time_us.unwrap_or(0))
            } else {
                state.load
            }
        };
        let (first, second) = (pick(first), pick(second));
        let better = if cost(second) < cost(first) {
            second
        } else {
            first
        };
        Choice::Endpoint(Arc::clone(better))
    }
}
