//! Load that an upstream reports.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Recent load samples, reported with a fixed lag.
#[derive(Debug)]
pub(super) struct Load {
    lag: Duration,
    samples: VecDeque<Sample>,
}

#[derive(Clone, Copy, Debug)]
struct Sample {
    load: u32,
    due_at: Instant,
}

impl Load {
    /// Creates a load that is reported `lag` after it was measured.
    pub(super) fn new(lag: Duration) -> Self {
        Self {
            lag,
            samples: VecDeque::new(),
        }
    }

    /// Records the current load and returns the one to report, or 0 before `lag` has passed.
    pub(super) fn report(&mut self, load: u32, now: Instant) -> u32 {
        self.samples.push_back(Sample {
            load,
            due_at: now + self.lag,
        });
        while self.samples.get(1).is_some_and(|next| next.due_at <= now) {
            self.samples.pop_front();
        }
        let oldest = self.samples.front();
        oldest
            .filter(|oldest| oldest.due_at <= now)
            .map_or(0, |oldest| oldest.load)
    }
}
