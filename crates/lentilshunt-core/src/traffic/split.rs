//! Weighted distribution of requests to services.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

/// Numerator of the step between consecutive requests, a fraction of the total weight that
/// approximates the golden ratio.
const STEP_NUMERATOR: u64 = 618;
/// Denominator of the step between consecutive requests.
const STEP_DENOMINATOR: u64 = 1000;

/// A service and its weight in a split.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: Arc<str>,
    /// Weight relative to the other services.
    pub weight: u32,
}

/// Services that receive the requests of a route in proportion to their weights.
///
/// In any sequence of as many requests as the sum of the weights, each service
/// receives exactly as many requests as its weight. The split uses no lock.
#[derive(Debug)]
pub struct Split {
    services: Vec<WeightedService>,
    total_weight: u64,
    step: u64,
    counter: AtomicU64,
}

impl Split {
    /// Creates a split that starts at `offset`, which should be a random number.
    ///
    /// Returns none if no service has a weight above zero.
    #[must_use]
    pub fn new(services: Vec<WeightedService>, offset: u64) -> Option<Self> {
        let total_weight: u64 = services.iter().map(|entry| u64::from(entry.weight)).sum();
        if total_weight == 0 {
            return None;
        }
        let approximate_step = total_weight * STEP_NUMERATOR / STEP_DENOMINATOR;
        let step = (approximate_step.max(1)..=total_weight + 1)
            .find(|step| greatest_common_divisor(*step, total_weight) == 1)?;
        Some(Self {
            services,
            total_weight,
            step,
            counter: AtomicU64::new(offset % total_weight),
        })
    }

    /// Returns the services with their weights.
    #[must_use]
    pub fn services(&self) -> &[WeightedService] {
        &self.services
    }

    /// Returns the service that receives the next request.
    #[must_use]
    pub fn next_service(&self) -> &Arc<str> {
        let counter = self.counter.fetch_add(1, Ordering::Relaxed) % self.total_weight;
        let mut point = self.point(counter);
        for entry in &self.services {
            let weight = u64::from(entry.weight);
            if point < weight {
                return &entry.service;
            }
            point -= weight;
        }
        &self.services[0].service
    }

    /// Returns the position of a request in the sum of the weights.
    fn point(&self, counter: u64) -> u64 {
        let point = u128::from(counter) * u128::from(self.step) % u128::from(self.total_weight);
        // The remainder is below the sum.
        u64::try_from(point).unwrap_or_default()
    }
}

impl Clone for Split {
    fn clone(&self) -> Self {
        Self {
            services: self.services.clone(),
            total_weight: self.total_weight,
            step: self.step,
            counter: AtomicU64::new(self.counter.load(Ordering::Relaxed)),
        }
    }
}

/// Returns the greatest common divisor.
fn greatest_common_divisor(left: u64, right: u64) -> u64 {
    if right == 0 {
        left
    } else {
        greatest_common_divisor(right, left % right)
    }
}
