//! Endpoints, routes and observations for the tests.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use lentilshunt_core::{
    config::Service,
    membership::{Endpoint, Phase},
    routing::{AttemptOutcome, Choice, Observations, Policy, SelectionContext, ServiceRoute},
};

/// Number of slots of every endpoint.
pub const SLOTS: u32 = 4;

/// Returns a ready endpoint with all slots free.
pub fn endpoint(instance: &str) -> Arc<Endpoint> {
    Arc::new(Endpoint {
        instance: instance.to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 7001)),
        region: "r".to_owned(),
        domain: "d".to_owned(),
        incarnation: 1,
        service: "s".to_owned(),
        version: String::new(),
        phase: Phase::Ready,
        slots: SLOTS,
        free_slots: SLOTS,
    })
}

/// Returns a route with the named endpoints at each distance.
pub fn route(tiers: [&[&str]; 4]) -> ServiceRoute {
    ServiceRoute {
        service: Service::default(),
        tiers: tiers.map(|tier| tier.iter().map(|name| endpoint(name)).collect()),
    }
}

/// A route with the observations of its endpoints.
pub struct Fixture {
    pub route: ServiceRoute,
    pub observations: Observations,
    pub origin: Instant,
}

impl Fixture {
    pub fn new(tiers: [&[&str]; 4]) -> Self {
        let origin = Instant::now();
        Self {
            route: route(tiers),
            observations: Observations::new(origin),
            origin,
        }
    }

    /// Makes an attempt that ends immediately with an outcome.
    pub fn end(
        &self,
        instance: &str,
        outcome: AttemptOutcome,
        free_slots: Option<u32>,
        now: Instant,
    ) {
        let endpoint = self.endpoint(instance);
        self.observations
            .begin_attempt(&endpoint, now)
            .end(outcome, free_slots, now);
    }

    /// Makes a successful attempt with a response time.
    pub fn respond(&self, instance: &str, response_time: Duration, now: Instant) {
        let endpoint = self.endpoint(instance);
        self.observations.begin_attempt(&endpoint, now).end(
            AttemptOutcome::Healthy,
            None,
            now + response_time,
        );
    }

    pub fn endpoint(&self, instance: &str) -> Arc<Endpoint> {
        let found = self.route.endpoints().find(|e| e.instance == instance);
        Arc::clone(found.expect("an endpoint of the instance"))
    }

    /// Returns the name of the chosen instance, `full` or `no candidate`.
    pub fn choose(&self, policy: &dyn Policy, tried: &[&str], now: Instant, random: u64) -> String {
        let tried: Vec<String> = tried.iter().map(ToString::to_string).collect();
        let selection = SelectionContext {
            service: "s",
            route: &self.route,
            tried: &tried,
            observations: &self.observations,
            now,
            random,
        };
        match policy.choose(&selection) {
            Choice::Endpoint(endpoint) | Choice::Queue(endpoint) => endpoint.instance.clone(),
            Choice::Full => "full".to_owned(),
            Choice::NoCandidate => "no candidate".to_owned(),
        }
    }
}
