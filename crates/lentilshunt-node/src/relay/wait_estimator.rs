//! Estimate of how long a caller has waited before it repeated a request.

use std::{collections::HashMap, sync::Mutex, time::Duration};

use lentilshunt_core::overload::Timeouts;

use crate::executor::lock;

/// Maximum number of routes whose timeouts are tracked.
const MAX_ROUTES: usize = 4096;

/// Tracks the timeouts that callers of each route have set.
#[derive(Debug, Default)]
pub struct WaitEstimator {
    routes: Mutex<HashMap<String, Timeouts>>,
}

impl WaitEstimator {
    /// Records the timeout of a request and estimates how long its caller has waited already.
    pub fn record_and_estimate(&self, route: &str, timeout: Duration) -> Duration {
        let mut routes = lock(&self.routes);
        if let Some(timeouts) = routes.get_mut(route) {
            return timeouts.record_and_estimate(timeout);
        }
        if routes.len() < MAX_ROUTES {
            let mut timeouts = Timeouts::default();
            timeouts.record_and_estimate(timeout);
            routes.insert(route.to_owned(), timeouts);
        }
        Duration::ZERO
    }
}
