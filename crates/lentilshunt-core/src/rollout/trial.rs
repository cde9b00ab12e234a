//! When a version is given up or gets all requests.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

use super::{Comparison, Evidence, Mode, Order, Outcome};
use crate::id::InstanceId;

/// Part of the allowed share that a trial uses; the split is random and attempts are repeated.
const SHARE_PERCENT: u16 = 80;
/// Part of the time after which the trial ends.
const TRIAL_PART: f64 = 0.6;
/// Runs of the new version without which it is not completed.
const MIN_NEW_RUNS: f64 = 20.0;
/// Time for which all nodes must have sent every request to the new version, so that the old
/// upstreams have ended what they ran.
const SHIFT_TIME: Duration = Duration::from_millis(1200);
/// Time after its last report for which a node counts.
const REPORT_LIFETIME: Duration = Duration::from_secs(2);

/// What a node reports of a roll-out.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Report {
    /// Instance of the node.
    pub node: InstanceId,
    /// Service of the order.
    pub service: String,
    /// New version of the order.
    pub version: String,
    /// Age of the order in milliseconds, as far as the node knows.
    pub age_ms: u64,
    /// Plan that the node applies.
    pub mode: Mode,
    /// Whether the local upstream has the new version; `None` if it is of another service.
    pub is_new: Option<bool>,
    /// What the local upstream has done since the order.
    pub evidence: Evidence,
}

/// The trial of a new version, at the coordinator.
#[derive(Clone, Debug)]
pub struct Trial {
    order: Order,
    started_at: Instant,
    share: u16,
    reports: BTreeMap<InstanceId, (Report, Instant)>,
    mode: Mode,
    /// Since when all reporting nodes send every request to the new version.
    shifted_since: Option<Instant>,
    /// What is wrong with the new version.
    fault: Option<&'static str>,
    outcome: Outcome,
}

impl Trial {
    /// Starts a trial; `allowed_share` of the requests may go to the new version, in thousandths.
    #[must_use]
    pub fn new(order: Order, allowed_share: u16, now: Instant) -> Self {
        let share = allowed_share / 100 * SHARE_PERCENT;
        Self {
            order,
            started_at: now,
            share,
            reports: BTreeMap::new(),
            mode: Mode::Trial(share),
            shifted_since: None,
            fault: None,
            outcome: Outcome::Active,
        }
    }

    /// Returns the order.
    #[must_use]
    pub fn order(&self) -> &Order {
        &self.order
    }

    /// Returns the plan for all nodes.
    #[must_use]
    pub fn mode(&self) -> Mode {
        self.mode
    }

    /// Returns the outcome to be written, or already written.
    #[must_use]
    pub fn outcome(&self) -> Outcome {
        self.outcome
    }

    /// Returns what is wrong with the new version, if anything is known to be.
    #[must_use]
    pub fn fault(&self) -> Option<&'static str> {
        self.fault
    }

    /// Returns the age of the order.
    #[must_use]
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.started_at)
    }

    /// Adopts the outcome that is written in the store.
    pub fn adopt(&mut self, outcome: Outcome) {
        self.outcome = outcome;
        match outcome {
            Outcome::Active => {}
            Outcome::Completed => self.mode = Mode::Shifted,
            Outcome::Reverted => self.mode = Mode::Stopped,
        }
    }

    /// Adds the report of a node, and decides.
    pub fn settle(&mut self, report: Report, now: Instant) {
        let age = Duration::from_millis(report.age_ms);
        if age > self.age(now)
            && let Some(started_at) = now.checked_sub(age)
        {
            self.started_at = started_at;
        }
        self.reports.insert(report.node.clone(), (report, now));
        if self.outcome == Outcome::Active {
            self.decide(now);
        }
    }

    fn decide(&mut self, now: Instant) {
        let comparison = self.comparison();
        self.fault = comparison.fault();
        if self.fault.is_some() {
            return self.adopt(Outcome::Reverted);
        }
        match self.mode {
            Mode::Trial(_) if self.age(now) >= self.order.duration.mul_f64(TRIAL_PART) => {
                if comparison.new_runs() >= MIN_NEW_RUNS {
                    self.mode = Mode::Shifted;
                } else {
                    self.fault = Some("too few requests have run");
                    self.adopt(Outcome::Reverted);
                }
            }
            Mode::Shifted => self.decide_shift(now),
            Mode::Trial(_) | Mode::Stopped => {}
        }
    }

    fn decide_shift(&mut self, now: Instant) {
        let is_recent = |seen_at: Instant| now.saturating_duration_since(seen_at) < REPORT_LIFETIME;
        let mut recent = self
            .reports
            .values()
            .filter(|(_, seen_at)| is_recent(*seen_at));
        if !recent.all(|(report, _)| report.mode == Mode::Shifted) {
            self.shifted_since = None;
            return;
        }
        let since = *self.shifted_since.get_or_insert(now);
        if now.saturating_duration_since(since) >= SHIFT_TIME {
            self.adopt(Outcome::Completed);
        }
    }

    fn comparison(&self) -> Comparison {
        let mut comparison = Comparison::default();
        for (report, _) in self.reports.values() {
            if let Some(is_new) = report.is_new {
                comparison.add(is_new, &report.evidence);
            }
        }
        comparison
    }

    /// Returns the share of a trial in thousandths.
    #[must_use]
    pub fn share(&self) -> u16 {
        self.share
    }
}
