//! Rate limit for log lines about requests.

use std::{
    sync::Mutex,
    time::{Duration, Instant},
};

use slog::{Level, Logger, warn};

use crate::executor::lock;

/// Maximum number of lines in each interval about requests with a response to the first attempt.
const MAX_INFO_LINES: u32 = 5;
/// Maximum number of lines in each interval about refused, retried or failed requests.
const MAX_WARNING_LINES: u32 = 40;
/// Interval in which lines are counted.
const INTERVAL: Duration = Duration::from_secs(1);

/// Limits the rate of log lines about requests and counts suppressed warnings.
#[derive(Debug)]
pub struct LogLimiter {
    count: Mutex<LineCount>,
}

#[derive(Debug)]
struct LineCount {
    ends_at: Instant,
    info: u32,
    warning: u32,
    suppressed_warnings: u64,
}

impl Default for LogLimiter {
    fn default() -> Self {
        Self::new()
    }
}

impl LogLimiter {
    /// Creates a limiter that has counted no lines.
    #[must_use]
    pub fn new() -> Self {
        Self {
            count: Mutex::new(LineCount {
                ends_at: Instant::now() + INTERVAL,
                info: 0,
                warning: 0,
                suppressed_warnings: 0,
            }),
        }
    }

    /// Counts a line and returns whether it may be written.
    ///
    /// At the start of an interval, logs how many warnings the previous one suppressed.
    pub fn allows(&self, level: Level, now: Instant, log: &Logger) -> bool {
        let mut count = lock(&self.count);
        if now >= count.ends_at {
            if count.suppressed_warnings > 0 {
                warn!(log, "log lines about requests suppressed by the rate limit";
                    "lines" => count.suppressed_warnings);
            }
            *count = LineCount {
                ends_at: now + INTERVAL,
                info: 0,
                warning: 0,
                suppressed_warnings: 0,
            };
        }
        let (lines, limit) = match level {
            Level::Info => (&mut count.info, MAX_INFO_LINES),
            _ => (&mut count.warning, MAX_WARNING_LINES),
        };
        *lines += 1;
        let is_allowed = *lines <= limit;
        // Info lines are only a sample, so their suppressed lines are not counted.
        if !is_allowed && level != Level::Info {
            count.suppressed_warnings += 1;
        }
        is_allowed
    }
}
