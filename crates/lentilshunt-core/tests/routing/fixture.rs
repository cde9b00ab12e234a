//! Endpoints and routes.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use lentilshunt_core::{
    config::Service,
    membership::{Endpoint, Phase},
    routing::{Choice, Observations, Outcome, Policy, Route, Selection},
};

/// Slots of every endpoint.
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
        phase: Phase::Ready,
        slots: SLOTS,
        free_slots: SLOTS,
    })
}

/// Returns a route with named endpoints at each distance.
pub fn route(tiers: [&[&str]; 4]) -> Route {
    Route {
        service: Service::default(),
        tiers: tiers.map(|tier| tier.iter().map(|name| endpoint(name)).collect()),
    }
}

/// A route with what was observed of it.
pub struct Fixture {
    pub route: Route,
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

    /// Ends an attempt on an endpoint.
    pub fn end(&self, instance: &str, outcome: Outcome, room: Option<u32>, now: Instant) {
        let endpoint = self.endpoint(instance);
        self.observations
            .begin(&endpoint, now)
            .end(outcome, room, now);
    }

    /// Makes an attempt on an endpoint that is answered after a time.
    pub fn respond(&self, instance: &str, response: Duration, now: Instant) {
        let endpoint = self.endpoint(instance);
        self.observations
            .begin(&endpoint, now)
            .end(Outcome::Healthy, None, now + response);
    }

    pub fn endpoint(&self, instance: &str) -> Arc<Endpoint> {
        let found = self.route.endpoints().find(|e| e.instance == instance);
        Arc::clone(found.expect("a known instance"))
    }

    /// Returns the name of the instance that is chosen, `full` or `absent`.
    pub fn choose(&self, policy: &dyn Policy, tried: &[&str], now: Instant, random: u64) -> String {
        let tried: Vec<String> = tried.iter().map(ToString::to_string).collect();
        let selection = Selection {
            service: "s",
            route: &self.route,
            tried: &tried,
            observations: &self.observations,
            now,
            random,
        };
        match policy.choose(&selection) {
            Choice::Endpoint(endpoint) => endpoint.instance.clone(),
            Choice::Full => "full".to_owned(),
            Choice::Absent => "absent".to_owned(),
        }
    }
}
