//! How long callers have waited before they sent a request again.

use std::{collections::HashMap, sync::Mutex, time::Duration};

use crate::executor::lock;

/// Routes whose callers are remembered.
const MAX_ROUTES: usize = 256;

/// Longest time that callers of each route have given a request.
///
/// A caller that repeats a request gives it what is left of its time, so the
/// difference is how long the caller has waited already.
#[derive(Debug, Default)]
pub struct WaitEstimator {
    longest: Mutex<HashMap<String, Duration>>,
}

impl WaitEstimator {
    /// Returns how long a caller has waited that gives a request `named` time.
    pub fn waited(&self, route: &str, named: Duration) -> Duration {
        let mut routes = lock(&self.longest);
        if let Some(longest) = routes.get_mut(route) {
            *longest = named.max(*longest);
            return longest.saturating_sub(named);
        }
        if routes.len() < MAX_ROUTES {
            routes.insert(route.to_owned(), named);
        }
        Duration::ZERO
    }
}
