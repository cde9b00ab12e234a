//! Observations of all endpoints by this node.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use super::{
    AttemptOutcome, EndpointState, Observation,
    atomic_instant::AtomicInstant,
    shared_map::{Entries, SharedMap},
};
use crate::membership::Endpoint;

/// Time after the last spillover of a service during which it returns to the region only
/// if a quarter of the slots in the region is free.
const SPILLOVER_TIME: Duration = Duration::from_secs(1);

/// Observations of endpoints by instance, which persist across changes of the route table.
#[derive(Debug)]
pub struct Observations {
    origin: Instant,
    endpoints: SharedMap<Observation>,
    /// Instant until which each service counts as spilled over to another region.
    spillovers: SharedMap<AtomicInstant>,
}

/// Guard that counts an attempt as in flight until it is dropped.
#[derive(Debug)]
pub struct AttemptGuard {
    endpoint: Arc<Endpoint>,
    started_at: Instant,
    observation: Arc<Observation>,
}

impl Observations {
    /// Creates an empty set; later calls must not pass an instant before `origin`.
    #[must_use]
    pub fn new(origin: Instant) -> Self {
        Self {
            origin,
            endpoints: SharedMap::default(),
            spillovers: SharedMap::default(),
        }
    }

    /// Records the start of an attempt on an endpoint.
    #[must_use]
    pub fn begin_attempt(&self, endpoint: &Arc<Endpoint>, now: Instant) -> AttemptGuard {
        let observation = self.observation(endpoint, now);
        observation.begin_attempt(now);
        AttemptGuard {
            endpoint: Arc::clone(endpoint),
            started_at: now,
            observation,
        }
    }

    /// Returns the availability and predicted load of an endpoint.
    #[must_use]
    pub fn endpoint_state(&self, endpoint: &Endpoint, now: Instant) -> EndpointState {
        self.endpoint_state_in(&self.endpoints.load(), endpoint, now)
    }

    /// Returns the state of each endpoint.
    pub(super) fn endpoint_states<'a>(
        &self,
        endpoints: impl Iterator<Item = &'a Arc<Endpoint>>,
        now: Instant,
    ) -> Vec<(&'a Arc<Endpoint>, EndpointState)> {
        let entries = self.endpoints.load();
        endpoints
            .map(|endpoint| (endpoint, self.endpoint_state_in(&entries, endpoint, now)))
            .collect()
    }

    /// Records that a call of a service goes to another region.
    pub(super) fn mark_spillover(&self, service: &str, now: Instant) {
        let unset = || AtomicInstant::new(self.origin);
        self.spillovers
            .get_or_insert(service, unset(), |_| true, |_| true)
            .set(now + SPILLOVER_TIME);
    }

    /// Returns whether calls of a service recently went to another region.
    #[must_use]
    pub fn has_spilled_over(&self, service: &str, now: Instant) -> bool {
        let spillover = self.spillovers.get(service);
        spillover.is_some_and(|until| until.is_after(now))
    }

    fn endpoint_state_in(
        &self,
        entries: &Entries<Observation>,
        endpoint: &Endpoint,
        now: Instant,
    ) -> EndpointState {
        match entries.get(&endpoint.instance) {
            Some(observation) if observation.is_same_incarnation(endpoint) => {
                observation.endpoint_state(endpoint, now)
            }
            _ => self
                .observation(endpoint, now)
                .endpoint_state(endpoint, now),
        }
    }

    fn observation(&self, endpoint: &Endpoint, now: Instant) -> Arc<Observation> {
        let current = self.endpoints.get(&endpoint.instance);
        if let Some(current) = current.filter(|current| current.is_same_incarnation(endpoint)) {
            return current;
        }
        self.endpoints.get_or_insert(
            &endpoint.instance,
            Observation::new(endpoint.incarnation, self.origin, now),
            |observation| observation.is_same_incarnation(endpoint),
            |observation| observation.is_in_use(now),
        )
    }
}

impl AttemptGuard {
    /// Ends the attempt with its outcome and the free slots reported by its response.
    pub fn end(self, outcome: AttemptOutcome, free_slots: Option<u32>, now: Instant) {
        let observation = Arc::clone(&self.observation);
        let endpoint = Arc::clone(&self.endpoint);
        let response_time = now.saturating_duration_since(self.started_at);
        drop(self);
        if outcome == AttemptOutcome::Healthy {
            observation.record_response_time(response_time, now);
        }
        observation.record_outcome(&endpoint, outcome, free_slots, now);
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        self.observation.end_attempt();
    }
}
