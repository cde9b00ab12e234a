//! Estimate of how long a caller has waited before it repeated a request.

use std::{collections::HashMap, sync::Mutex, time::Duration};

use crate::executor::lock;

/// Maximum number of routes whose timeouts are tracked.
const MAX_ROUTES: usize = 256;

/// Tracks the longest timeout that callers of each route have set.
///
/// A caller that repeats a request sets its remaining time as the timeout, so the
/// difference to the longest timeout is the time that it has waited already.
#[derive(Debug, Default)]
pub struct WaitEstimator {
    longest_timeouts: Mutex<HashMap<String, Duration>>,
}

impl WaitEstimator {
    /// Records the timeout of a request and estimates how long its caller has waited already.
    pub fn record_and_estimate(&self, route: &str, timeout: Duration) -> Duration {
        let mut routes = lock(&self.longest_timeouts);
        if let Some(longest) = routes.get_mut(route) {
            *longest = timeout.max(*longest);
            return longest.saturating_sub(timeout);
        }
        if routes.len() < MAX_ROUTES {
            routes.insert(route.to_owned(), timeout);
        }
        Duration::ZERO
    }
}
