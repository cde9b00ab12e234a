//! Whether a version has a fault that the other has not.

use std::collections::BTreeMap;

use super::{Evidence, Sample};

/// Failures of the new version beyond those of the old one that are evidence of a fault, at least.
const MIN_EXCESS_FAILURES: f64 = 5.0;
/// The same in standard deviations.
const MIN_FAILURE_DEVIATIONS: f64 = 4.0;
/// Factor between run times that is a fault, as a logarithm.
const SLOW_LOG_RATIO: f64 = std::f64::consts::LN_2;
/// The difference of run times that is evidence, in standard errors between upstreams.
const MIN_SLOW_ERRORS: f64 = 4.0;
/// Runs of a kind at one upstream from which their mean time counts.
const MIN_TIMED_RUNS: u32 = 8;
/// Smallest standard deviation of the mean logarithm between upstreams of one version, which differ
/// in speed.
const MIN_SPEED_DEVIATION: f64 = 0.4;

type KindId = (u8, bool);

/// What is known of the two versions, by kind of request.
#[derive(Clone, Debug, Default)]
pub struct Comparison {
    kinds: BTreeMap<KindId, [Group; 2]>,
}

/// Runs of one kind on the upstreams of one version.
#[derive(Clone, Debug, Default)]
struct Group {
    runs: f64,
    failed: f64,
    /// Mean logarithms of the run times, one an upstream.
    means: Vec<f64>,
}

impl Comparison {
    /// Adds what one upstream has done.
    pub fn add(&mut self, is_new: bool, evidence: &Evidence) {
        for kind in &evidence.kinds {
            let groups = self.kinds.entry((kind.rank, kind.idempotent)).or_default();
            groups[usize::from(is_new)].add(&kind.sample);
        }
    }

    /// Returns the number of runs of the new version.
    #[must_use]
    pub fn new_runs(&self) -> f64 {
        self.kinds.values().map(|[_, new]| new.runs).sum()
    }

    /// Returns what is wrong with the new version, or `None` if nothing is known to be.
    #[must_use]
    pub fn fault(&self) -> Option<&'static str> {
        let mut excess = 0.0;
        let mut variance = 0.0;
        for [old, new] in self.kinds.values() {
            let (kind_excess, kind_variance) = failures(old, new);
            if is_failing(kind_excess, kind_variance) {
                return Some("one kind of request fails");
            }
            excess += kind_excess;
            variance += kind_variance;
        }
        if is_failing(excess, variance) {
            return Some("requests fail");
        }
        let is_slow = self.kinds.values().any(|[old, new]| is_slow(old, new));
        is_slow.then_some("requests are slow")
    }
}

impl Group {
    fn add(&mut self, sample: &Sample) {
        self.runs += f64::from(sample.runs);
        self.failed += f64::from(sample.failed);
        if sample.timed >= MIN_TIMED_RUNS {
            self.means.push(sample.log_time / f64::from(sample.timed));
        }
    }

    /// Returns the mean over upstreams, and the square of its standard error.
    #[allow(clippy::cast_precision_loss, reason = "there are few upstreams")]
    fn mean_time(&self) -> Option<(f64, f64)> {
        let count = self.means.len() as f64;
        if self.means.is_empty() {
            return None;
        }
        let mean = self.means.iter().sum::<f64>() / count;
        let squares = self.means.iter().map(|value| (value - mean).powi(2));
        let variance = squares.sum::<f64>() / (count - 1.0).max(1.0);
        Some((mean, variance.max(MIN_SPEED_DEVIATION.powi(2)) / count))
    }
}

/// Returns the failures of the new version beyond what both versions together predict, and the
/// variance of that number.
fn failures(old: &Group, new: &Group) -> (f64, f64) {
    let runs = old.runs + new.runs;
    if old.runs < 1.0 || new.runs < 1.0 {
        return (0.0, 0.0);
    }
    let share = (old.failed + new.failed) / runs;
    let excess = new.failed - new.runs * share;
    (excess, share * (1.0 - share) * new.runs * old.runs / runs)
}

fn is_failing(excess: f64, variance: f64) -> bool {
    excess >= MIN_EXCESS_FAILURES && excess >= MIN_FAILURE_DEVIATIONS * variance.sqrt()
}

fn is_slow(old: &Group, new: &Group) -> bool {
    let Some(((old_mean, old_error), (new_mean, new_error))) = old.mean_time().zip(new.mean_time())
    else {
        return false;
    };
    let difference = new_mean - old_mean;
    difference >= SLOW_LOG_RATIO && difference >= MIN_SLOW_ERRORS * (old_error + new_error).sqrt()
}
