//! Timeouts that callers set, from which it is inferred how long a caller has waited already.

use std::time::Duration;

/// Number of requests after which the longest timeout before them is forgotten.
const WINDOW_REQUESTS: u32 = 128;
/// Shortest timeout of a first try, in thousandths of the longest one.
///
/// Callers of one route do not all set the same timeout.
const FIRST_TRY_PERMILLE: u32 = 800;
/// Typical timeout of a first try, in thousandths of the longest one.
const TYPICAL_PERMILLE: u32 = 920;
const PERMILLE: u32 = 1000;

/// Longest timeouts that the callers of one route have set lately.
///
/// A caller that repeats a request sets the time that it has left as the timeout. One that is
/// much shorter than the longest is therefore that of a repeat.
#[derive(Clone, Copy, Debug, Default)]
pub struct Timeouts {
    /// Longest timeout of the current window.
    longest: Duration,
    /// Longest timeout of the previous window.
    longest_before: Duration,
    requests: u32,
}

impl Timeouts {
    /// Records the timeout of a request and returns how long its caller has probably waited.
    ///
    /// Returns zero for a first try.
    pub fn record_and_estimate(&mut self, timeout: Duration) -> Duration {
        if self.requests >= WINDOW_REQUESTS {
            *self = Self {
                longest_before: self.longest,
                ..Self::default()
            };
        }
        self.requests += 1;
        self.longest = self.longest.max(timeout);
        let longest = self.longest.max(self.longest_before);
        if timeout >= longest / PERMILLE * FIRST_TRY_PERMILLE {
            return Duration::ZERO;
        }
        (longest / PERMILLE * TYPICAL_PERMILLE).saturating_sub(timeout)
    }
}
