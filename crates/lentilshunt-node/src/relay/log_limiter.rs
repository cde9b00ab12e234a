//! How many decisions about requests are logged.

use std::{
    sync::Mutex,
    time::{Duration, Instant},
};

use slog::{Level, Logger, warn};

use crate::executor::lock;

/// Lines a second about requests that were answered at the first attempt.
const PLAIN_LINES: u32 = 5;
/// Lines a second about requests that were refused, tried again or failed.
const NOTABLE_LINES: u32 = 40;
/// Time for which lines are counted.
const INTERVAL: Duration = Duration::from_secs(1);

/// Bounds the lines about requests and counts those left out.
#[derive(Debug)]
pub struct LogLimiter {
    count: Mutex<Count>,
}

#[derive(Debug)]
struct Count {
    ends_at: Instant,
    plain: u32,
    notable: u32,
    left_out: u64,
}

impl Default for LogLimiter {
    fn default() -> Self {
        Self::new()
    }
}

impl LogLimiter {
    /// Creates a journal without lines.
    #[must_use]
    pub fn new() -> Self {
        Self {
            count: Mutex::new(Count {
                ends_at: Instant::now() + INTERVAL,
                plain: 0,
                notable: 0,
                left_out: 0,
            }),
        }
    }

    /// Returns whether a line of a level is written, and logs how many were not.
    pub fn allows(&self, level: Level, now: Instant, log: &Logger) -> bool {
        let mut count = lock(&self.count);
        if now >= count.ends_at {
            if count.left_out > 0 {
                warn!(log, "lines about requests left out"; "lines" => count.left_out);
            }
            *count = Count {
                ends_at: now + INTERVAL,
                plain: 0,
                notable: 0,
                left_out: 0,
            };
        }
        let (lines, limit) = match level {
            Level::Info => (&mut count.plain, PLAIN_LINES),
            _ => (&mut count.notable, NOTABLE_LINES),
        };
        *lines += 1;
        let is_admitted = *lines <= limit;
        // Plain answers are sampled; only notable ones are missed.
        if !is_admitted && level != Level::Info {
            count.left_out += 1;
        }
        is_admitted
    }
}
