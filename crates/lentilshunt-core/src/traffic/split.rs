//! Shares of requests by weight.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

/// Part of the golden ratio by which consecutive requests step through the weights.
const STEP_NUMERATOR: u64 = 618;
/// Whole that [`STEP_NUMERATOR`] is a part of.
const STEP_DENOMINATOR: u64 = 1000;

/// A service and its weight in a split.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: Arc<str>,
    /// Weight among the parts.
    pub weight: u32,
}

/// Services that answer the requests of a route in proportion to their weights.
///
/// Any run of as many requests as the sum of the weights gives each service
/// exactly its weight of them, without a lock.
#[derive(Debug)]
pub struct Split {
    services: Vec<WeightedService>,
    total_weight: u64,
    step: u64,
    counter: AtomicU64,
}

impl Split {
    /// Creates a split that begins at a phase, which the owner draws at random.
    ///
    /// Returns none when no part has a weight above zero.
    #[must_use]
    pub fn new(services: Vec<WeightedService>, phase: u64) -> Option<Self> {
        let total_weight: u64 = services.iter().map(|entry| u64::from(entry.weight)).sum();
        if total_weight == 0 {
            return None;
        }
        let near = total_weight * STEP_NUMERATOR / STEP_DENOMINATOR;
        let step = (near.max(1)..=total_weight + 1)
            .find(|step| greatest_common_divisor(*step, total_weight) == 1)?;
        Some(Self {
            services,
            total_weight,
            step,
            counter: AtomicU64::new(phase % total_weight),
        })
    }

    /// Returns the parts of the split.
    #[must_use]
    pub fn services(&self) -> &[WeightedService] {
        &self.services
    }

    /// Returns the service that answers the next request.
    #[must_use]
    pub fn next_service(&self) -> &Arc<str> {
        let counter = self.counter.fetch_add(1, Ordering::Relaxed) % self.total_weight;
        let mut point = counter * self.step % self.total_weight;
        for entry in &self.services {
            let weight = u64::from(entry.weight);
            if point < weight {
                return &entry.service;
            }
            point -= weight;
        }
        &self.services[0].service
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
