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
pub struct Part {
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
    parts: Vec<Part>,
    total: u64,
    step: u64,
    taken: AtomicU64,
}

impl Split {
    /// Creates a split that begins at a phase, which the owner draws at random.
    ///
    /// Returns none when no part has a weight above zero.
    #[must_use]
    pub fn new(parts: Vec<Part>, phase: u64) -> Option<Self> {
        let total: u64 = parts.iter().map(|part| u64::from(part.weight)).sum();
        if total == 0 {
            return None;
        }
        let near = total * STEP_NUMERATOR / STEP_DENOMINATOR;
        let step = (near.max(1)..=total + 1).find(|step| divisor(*step, total) == 1)?;
        Some(Self {
            parts,
            total,
            step,
            taken: AtomicU64::new(phase % total),
        })
    }

    /// Returns the parts of the split.
    #[must_use]
    pub fn parts(&self) -> &[Part] {
        &self.parts
    }

    /// Returns the service that answers the next request.
    #[must_use]
    pub fn next(&self) -> &Arc<str> {
        let taken = self.taken.fetch_add(1, Ordering::Relaxed) % self.total;
        let mut point = taken * self.step % self.total;
        for part in &self.parts {
            let weight = u64::from(part.weight);
            if point < weight {
                return &part.service;
            }
            point -= weight;
        }
        &self.parts[0].service
    }
}

impl Clone for Split {
    fn clone(&self) -> Self {
        Self {
            parts: self.parts.clone(),
            total: self.total,
            step: self.step,
            taken: AtomicU64::new(self.taken.load(Ordering::Relaxed)),
        }
    }
}

/// Returns the greatest common divisor.
fn divisor(left: u64, right: u64) -> u64 {
    if right == 0 {
        left
    } else {
        divisor(right, left % right)
    }
}
