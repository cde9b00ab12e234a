//! Tokens and demand of one organisation.

use std::time::{Duration, Instant};

use super::{ALL, Permille, Usage, bucket::Bucket};
use crate::organisation::Quota;

/// Period over which the demand is measured, at least; twice that at most.
const DEMAND_PERIOD: Duration = Duration::from_millis(500);
/// Level below which requests are limited, as a part of the burst.
const LIMITED_LEVEL: f64 = 0.5;
/// Smallest bucket, in tokens: a smaller burst would be used up by requests that arrive together.
const MIN_BURST: f64 = 4.0;

/// Tokens and demand of one organisation, summed over the nodes that report here.
#[derive(Clone, Debug)]
pub(super) struct Account {
    bucket: Bucket,
    asked_before: u32,
    asked: u32,
    period_started_at: Instant,
}

impl Account {
    /// Creates an account whose bucket is filled to the level at which nothing is limited.
    ///
    /// What other accountants have given out before is not known.
    pub(super) fn new(quota: &Quota, now: Instant) -> Self {
        Self {
            bucket: Bucket::new(burst(quota) * LIMITED_LEVEL, now),
            asked_before: 0,
            asked: 0,
            period_started_at: now,
        }
    }

    /// Adds what a node has used.
    pub(super) fn record(&mut self, usage: &Usage, now: Instant) {
        self.advance(now);
        self.asked = self.asked.saturating_add(usage.asked);
        self.bucket.charge(f64::from(usage.admitted));
    }

    /// Returns the share of the requests that may pass, with the given part of the quota.
    pub(super) fn share(&mut self, quota: &Quota, part: f64, now: Instant) -> Permille {
        self.advance(now);
        let quota = Quota {
            rate: quota.rate * part,
            burst: burst(quota),
        };
        let level = self.bucket.refill(&quota, now);
        let limited_level = quota.burst * LIMITED_LEVEL;
        if level >= limited_level {
            return ALL;
        }
        // At a quarter of the burst as much passes as is refilled; above more, below less.
        let allowed = quota.rate * (0.5 + level / limited_level).max(0.0);
        to_permille(allowed / self.demand(now))
    }

    /// Returns the requests per second that have arrived lately.
    fn demand(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.period_started_at) + DEMAND_PERIOD;
        f64::from(self.asked.saturating_add(self.asked_before)) / elapsed.as_secs_f64()
    }

    fn advance(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.period_started_at);
        if elapsed < DEMAND_PERIOD {
            return;
        }
        let is_recent = elapsed < DEMAND_PERIOD * 2;
        self.asked_before = if is_recent { self.asked } else { 0 };
        self.asked = 0;
        self.period_started_at = now;
    }
}

fn burst(quota: &Quota) -> f64 {
    quota.burst.max(MIN_BURST)
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the number is clamped to the range first; none is taken for all"
)]
fn to_permille(share: f64) -> Permille {
    if share.is_nan() {
        return ALL;
    }
    (share * f64::from(ALL)).clamp(0.0, f64::from(ALL)) as Permille
}
