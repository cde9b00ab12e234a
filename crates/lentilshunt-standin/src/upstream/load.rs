//! The load that an upstream reports.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Loads of the recent past, so that a report can lag behind.
#[derive(Debug)]
pub(super) struct Load {
    lag: Duration,
    past: VecDeque<Sample>,
}

#[derive(Clone, Copy, Debug)]
struct Sample {
    load: u32,
    due_at: Instant,
}

impl Load {
    /// Creates a load whose reports lag by `lag`.
    pub(super) fn new(lag: Duration) -> Self {
        Self {
            lag,
            past: VecDeque::new(),
        }
    }

    /// Takes the load of now and returns the one to report.
    pub(super) fn report(&mut self, load: u32, now: Instant) -> u32 {
        self.past.push_back(Sample {
            load,
            due_at: now + self.lag,
        });
        while self.past.get(1).is_some_and(|next| next.due_at <= now) {
            self.past.pop_front();
        }
        let oldest = self.past.front();
        oldest
            .filter(|oldest| oldest.due_at <= now)
            .map_or(0, |oldest| oldest.load)
    }
}
