//! What callers received.

use std::time::Duration;

/// Length of the windows.
const WINDOW: Duration = Duration::from_secs(1);

/// What callers received, over a whole run and by second.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Summary {
    /// All requests.
    pub total: Tally,
    /// Requests by the second of their first try.
    pub windows: Vec<Tally>,
}

/// Requests and their results.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Tally {
    /// Requests with a response within their target latency.
    pub in_time: u32,
    /// Requests with a later response.
    pub late: u32,
    /// Requests refused for good.
    pub refused: u32,
    /// Requests without an answer in time, or whose run failed.
    pub failed: u32,
    /// Worth of the responses.
    pub earned: f64,
    /// Worth if all responses were in time.
    pub owed: f64,
}

/// Result of one request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Received {
    InTime,
    Late,
    Refused,
    Nothing,
}

impl Tally {
    /// Returns the worth of the responses as a fraction of what is owed.
    #[must_use]
    pub fn worth(&self) -> f64 {
        if self.owed > 0.0 {
            self.earned / self.owed
        } else {
            1.0
        }
    }

    /// Returns the fraction of the requests that had a response.
    #[must_use]
    pub fn served(&self) -> f64 {
        let served = f64::from(self.in_time + self.late);
        let all = served + f64::from(self.refused + self.failed);
        if all > 0.0 { served / all } else { 1.0 }
    }

    fn add(&mut self, received: Received, earned: f64, owed: f64) {
        match received {
            Received::InTime => self.in_time += 1,
            Received::Late => self.late += 1,
            Received::Refused => self.refused += 1,
            Received::Nothing => self.failed += 1,
        }
        self.earned += earned;
        self.owed += owed;
    }
}

impl Summary {
    /// Returns the lowest worth of a second with requests.
    #[must_use]
    pub fn worst_window(&self) -> f64 {
        let worths = self.windows.iter().map(Tally::worth);
        worths.fold(1.0, f64::min)
    }

    /// Adds the result of a request whose first try was at `at`.
    pub(super) fn add(&mut self, at: Duration, received: Received, earned: f64, owed: f64) {
        let window = usize::try_from(at.as_micros() / WINDOW.as_micros()).unwrap_or(usize::MAX);
        if self.windows.len() <= window {
            self.windows.resize(window + 1, Tally::default());
        }
        self.windows[window].add(received, earned, owed);
        self.total.add(received, earned, owed);
    }
}
