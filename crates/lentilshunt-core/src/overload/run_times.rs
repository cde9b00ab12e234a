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
/// the running requests shows it before.
#[derive(Clone, Debug)]
pub struct RunTimes {
    origin: Instant,
    /// Average by rank, first of requests that are not idempotent.
    kinds: [[Option<Duration>; RANKS]; 2],
    overall: Option<Duration>,
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
            kinds: [[None; RANKS]; 2],
            overall: None,
            running: 0,
            starts: Duration::ZERO,
        }
    }

    /// Records the start of a request.
    pub fn start(&mut self, now: Instant) {
        self.running += 1;
        self.starts += now.saturating_duration_since(self.origin);
    }

    /// Records the end of a request that started at `started_at`.
    pub fn end(&mut self, started_at: Instant) {
        self.running = self.running.saturating_sub(1);
        let start = started_at.saturating_duration_since(self.origin);
        self.starts = self.starts.saturating_sub(start);
    }

    /// Records the run time of a request that completed.
    pub fn observe(&mut self, kind: Kind, run: Duration) {
        average_in(self.kind_mut(kind), run);
        average_in(&mut self.overall, run);
    }

    /// Returns the expected run time of requests of a kind; `None` before the first observation.
    #[must_use]
    pub fn expected(&self, kind: Kind, now: Instant) -> Option<Duration> {
        let [once, repeatable] = &self.kinds;
        let kinds = if kind.idempotent { repeatable } else { once };
        self.at_least_mean_age(kinds[rank_index(kind)].or(self.overall), now)
    }

    /// Returns the expected run time of any request; `None` before the first observation.
    #[must_use]
    pub fn expected_overall(&self, now: Instant) -> Option<Duration> {
        self.at_least_mean_age(self.overall, now)
    }

    fn kind_mut(&mut self, kind: Kind) -> &mut Option<Duration> {
        let [once, repeatable] = &mut self.kinds;
        let kinds = if kind.idempotent { repeatable } else { once };
        &mut kinds[rank_index(kind)]
    }

    fn at_least_mean_age(&self, average: Option<Duration>, now: Instant) -> Option<Duration> {
        let age = (self.running >= MIN_RUNNING).then(|| {
            let since_origin = now.saturating_duration_since(self.origin);
            since_origin.saturating_sub(self.starts / self.running)
        });
        average.max(age)
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
