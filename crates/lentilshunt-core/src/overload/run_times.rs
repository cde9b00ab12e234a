//! Expected run times on one upstream.

use std::time::{Duration, Instant};

use super::Kind;

/// A new run time has a weight of one over this number in the average.
const SMOOTHING_DIVISOR: u32 = 8;
/// The same for a run time of less than half of the average, as after a slow phase.
const RECOVERY_DIVISOR: u32 = 2;
/// Number of ranks whose run times are told apart; lower ranks share the last place.
const RANKS: usize = 4;
/// Minimum number of running requests whose age indicates a slow upstream.
const MIN_RUNNING: u32 = 3;

/// Average run times by kind of request, and the age of the requests that are running.
///
/// The average follows an upstream that becomes slow only after slow runs have ended. The age of
/// the running requests shows it before: all kinds are expected to take longer by the factor by
/// which those that run are older than their average. Long runs of one kind are no sign that another
/// kind has become slow.
#[derive(Clone, Debug)]
pub struct RunTimes {
    origin: Instant,
    /// By rank, first of requests that are not idempotent.
    kinds: [[KindTimes; RANKS]; 2],
    overall: Option<Duration>,
}

/// Run times of one kind.
#[derive(Clone, Copy, Debug, Default)]
struct KindTimes {
    average: Option<Duration>,
    running: u32,
    /// Sum of the starts of the running requests, each as the time since `origin`.
    starts: Duration,
}

impl RunTimes {
    /// Creates an estimate without observations; later calls must not pass an earlier instant.
    #[must_use]
    pub fn new(origin: Instant) -> Self {
        Self {
            origin,
            kinds: Default::default(),
            overall: None,
        }
    }

    /// Records the start of a request.
    pub fn start(&mut self, kind: Kind, now: Instant) {
        let start = now.saturating_duration_since(self.origin);
        let times = self.times_mut(kind);
        times.running += 1;
        times.starts += start;
    }

    /// Records the end of a request that started at `started_at`.
    pub fn end(&mut self, kind: Kind, started_at: Instant) {
        let start = started_at.saturating_duration_since(self.origin);
        let times = self.times_mut(kind);
        times.running = times.running.saturating_sub(1);
        times.starts = times.starts.saturating_sub(start);
    }

    /// Records the run time of a request that completed.
    pub fn observe(&mut self, kind: Kind, run: Duration) {
        average_in(&mut self.times_mut(kind).average, run);
        average_in(&mut self.overall, run);
    }

    /// Returns the expected run time of requests of a kind; `None` before the first observation.
    #[must_use]
    pub fn expected(&self, kind: Kind, now: Instant) -> Option<Duration> {
        let [once, repeatable] = &self.kinds;
        let kinds = if kind.idempotent { repeatable } else { once };
        self.slowed(kinds[rank_index(kind)].average.or(self.overall), now)
    }

    /// Returns the expected run time of any request; `None` before the first observation.
    #[must_use]
    pub fn expected_overall(&self, now: Instant) -> Option<Duration> {
        self.slowed(self.overall, now)
    }

    fn times_mut(&mut self, kind: Kind) -> &mut KindTimes {
        let [once, repeatable] = &mut self.kinds;
        let kinds = if kind.idempotent { repeatable } else { once };
        &mut kinds[rank_index(kind)]
    }

    /// Returns an average, prolonged if the requests that run are older than theirs.
    ///
    /// Without an average, the mean age of the requests that run is the least that is expected.
    fn slowed(&self, average: Option<Duration>, now: Instant) -> Option<Duration> {
        let since_origin = now.saturating_duration_since(self.origin);
        let mut running = 0;
        let mut ages = Duration::ZERO;
        let mut expected = Duration::ZERO;
        for times in self.kinds.iter().flatten() {
            running += times.running;
            ages += (since_origin * times.running).saturating_sub(times.starts);
            expected += times.average.or(self.overall).unwrap_or_default() * times.running;
        }
        if running < MIN_RUNNING {
            return average;
        }
        let Some(average) = average else {
            return Some(ages / running);
        };
        if ages <= expected || expected.is_zero() {
            return Some(average);
        }
        Some(average.mul_f64(ages.div_duration_f64(expected)))
    }
}

fn rank_index(kind: Kind) -> usize {
    usize::from(kind.rank).min(RANKS - 1)
}

fn average_in(average: &mut Option<Duration>, run: Duration) {
    let updated = average.map_or(run, |average| {
        let divisor = if run < average / 2 {
            RECOVERY_DIVISOR
        } else {
            SMOOTHING_DIVISOR
        };
        average.saturating_sub(average / divisor) + run / divisor
    });
    *average = Some(updated);
}
