//! What a node itself has seen of all endpoints.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use super::{
    Observation, Outcome, Standing,
    moment::Moment,
    registry::{Entries, Registry},
};
use crate::membership::Endpoint;

/// Time after the last spill of a service in which its way back is damped.
const SPILL_TIME: Duration = Duration::from_secs(1);

/// Observations of endpoints by instance, kept over changes of the route table.
#[derive(Debug)]
pub struct Observations {
    origin: Instant,
    endpoints: Registry<Observation>,
    /// Instant until which each service counts as spilled to other regions.
    spills: Registry<Moment>,
}

/// An attempt that counts as in flight until it is dropped.
#[derive(Debug)]
pub struct Attempt {
    endpoint: Arc<Endpoint>,
    begun_at: Instant,
    observation: Arc<Observation>,
}

impl Observations {
    /// Creates observations; no earlier instant may be passed in later.
    #[must_use]
    pub fn new(origin: Instant) -> Self {
        Self {
            origin,
            endpoints: Registry::default(),
            spills: Registry::default(),
        }
    }

    /// Counts an attempt on an endpoint.
    #[must_use]
    pub fn begin(&self, endpoint: &Arc<Endpoint>, now: Instant) -> Attempt {
        let observation = self.observation(endpoint, now);
        observation.begin(now);
        Attempt {
            endpoint: Arc::clone(endpoint),
            begun_at: now,
            observation,
        }
    }

    /// Returns whether an endpoint may be chosen, and what is predicted of it.
    #[must_use]
    pub fn standing(&self, endpoint: &Endpoint, now: Instant) -> Standing {
        self.standing_in(&self.endpoints.load(), endpoint, now)
    }

    /// Returns a standing for each of many endpoints.
    pub(super) fn standings<'a>(
        &self,
        endpoints: impl Iterator<Item = &'a Arc<Endpoint>>,
        now: Instant,
    ) -> Vec<(&'a Arc<Endpoint>, Standing)> {
        let entries = self.endpoints.load();
        endpoints
            .map(|endpoint| (endpoint, self.standing_in(&entries, endpoint, now)))
            .collect()
    }

    /// Notes that calls of a service go to another region.
    pub(super) fn spill(&self, service: &str, now: Instant) {
        let moment = || Moment::new(self.origin);
        self.spills
            .get_or_put(service, moment(), |_| true, |_| true)
            .set(now + SPILL_TIME);
    }

    /// Returns whether calls of a service went to another region a moment ago.
    #[must_use]
    pub fn is_spilled(&self, service: &str, now: Instant) -> bool {
        let spill = self.spills.get(service);
        spill.is_some_and(|until| until.is_after(now))
    }

    fn standing_in(
        &self,
        entries: &Entries<Observation>,
        endpoint: &Endpoint,
        now: Instant,
    ) -> Standing {
        match entries.get(&endpoint.instance) {
            Some(observation) if observation.is_of(endpoint) => observation.standing(endpoint, now),
            _ => self.observation(endpoint, now).standing(endpoint, now),
        }
    }

    fn observation(&self, endpoint: &Endpoint, now: Instant) -> Arc<Observation> {
        let known = self.endpoints.get(&endpoint.instance);
        if let Some(known) = known.filter(|known| known.is_of(endpoint)) {
            return known;
        }
        self.endpoints.get_or_put(
            &endpoint.instance,
            Observation::new(endpoint.incarnation, self.origin, now),
            |observation| observation.is_of(endpoint),
            |observation| observation.is_in_use(now),
        )
    }
}

impl Attempt {
    /// Ends the attempt with its outcome and the room that its reply told.
    pub fn end(self, outcome: Outcome, room: Option<u32>, now: Instant) {
        let observation = Arc::clone(&self.observation);
        let endpoint = Arc::clone(&self.endpoint);
        let response = now.saturating_duration_since(self.begun_at);
        drop(self);
        if outcome == Outcome::Healthy {
            observation.respond(response, now);
        }
        observation.record(&endpoint, outcome, room, now);
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        self.observation.leave();
    }
}
