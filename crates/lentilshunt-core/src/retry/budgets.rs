//! Retry budgets of all services.

use std::{sync::Arc, time::Instant};

use super::Budget;
use crate::routing::shared_map::SharedMap;

/// Retry budgets by service, which persist across changes of the route table.
#[derive(Debug)]
pub struct Budgets {
    origin: Instant,
    percent: u32,
    services: SharedMap<Budget>,
}

impl Budgets {
    /// Creates budgets of `percent` retries for every hundred first attempts.
    ///
    /// Later calls must not pass an instant before `origin`.
    #[must_use]
    pub fn new(origin: Instant, percent: u32) -> Self {
        Self {
            origin,
            percent,
            services: SharedMap::default(),
        }
    }

    /// Returns the budget of a service in the configuration.
    #[must_use]
    pub fn budget(&self, service: &str) -> Arc<Budget> {
        if let Some(budget) = self.services.get(service) {
            return budget;
        }
        let budget = Budget::new(self.origin, self.percent);
        self.services
            .get_or_insert(service, budget, |_| true, |_| true)
    }
}
