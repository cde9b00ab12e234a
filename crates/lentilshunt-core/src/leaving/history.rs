//! The processes of one upstream that have left.

use std::time::{Duration, Instant};

use super::{Departure, Start};

/// Time for which a departure is remembered; no report of the process is delayed so long.
const LIFETIME: Duration = Duration::from_mins(2);
/// Time for which reports are held off if it cannot be told whether they were sent before the
/// departure or by a later start of the process.
///
/// A report may arrive seconds late.
const MAX_REPORT_DELAY: Duration = Duration::from_secs(10);
/// Maximum number of processes that are remembered; the oldest departure is forgotten first.
const MAX_PROCESSES: usize = 8;
/// Part of the report interval that may lie between two reports, as a divisor.
const REPORT_INTERVAL_TOLERANCE_DIVISOR: u32 = 2;

/// The processes of one upstream that leave or have left, the latest departure last.
#[derive(Clone, Debug, Default)]
pub struct History {
    entries: Vec<Entry>,
}

#[derive(Clone, Debug)]
struct Entry {
    departure: Departure,
    /// When the departure became known.
    recorded_at: Instant,
}

impl Entry {
    fn expires_at(&self) -> Instant {
        self.recorded_at + LIFETIME
    }
}

impl History {
    /// Records a departure and returns whether it says anything new.
    pub fn record(&mut self, departure: Departure, now: Instant) -> bool {
        self.remove_expired(now);
        let mut entries = self.entries.iter_mut();
        let Some(known) = entries.find(|entry| entry.departure.process == departure.process) else {
            if self.entries.len() == MAX_PROCESSES {
                self.entries.remove(0);
            }
            self.entries.push(Entry {
                departure,
                recorded_at: now,
            });
            return true;
        };
        if known.departure.includes(&departure) {
            return false;
        }
        let before = known.departure.clone();
        let merged = before.clone().merge(departure);
        if before.started_ms > 0 && merged.started_ms > before.started_ms {
            known.recorded_at = now;
        }
        known.departure = merged;
        true
    }

    /// Records departures, the latest last, and returns whether they say anything new.
    pub fn record_all(&mut self, departures: &[Departure], now: Instant) -> bool {
        let mut is_new = false;
        for departure in departures {
            is_new |= self.record(departure.clone(), now);
        }
        is_new
    }

    /// Returns whether a report that a process is in use may have been sent before it left.
    ///
    /// `interval` is the time between two reports. Starts are compared by the clock of the
    /// process, which may have been set back, so one that seems to be earlier is
    /// held off for a limited time, and so is one that cannot be compared.
    #[must_use]
    pub fn holds_off(&self, report: &Start<'_>, interval: Duration, now: Instant) -> bool {
        let mut entries = self.entries.iter();
        let Some(entry) = entries.find(|entry| entry.departure.process == report.process) else {
            return false;
        };
        if now >= entry.expires_at() {
            return false;
        }
        let left = entry.departure.started_ms;
        let since = now.saturating_duration_since(entry.recorded_at);
        if left == 0 || report.started_ms == 0 {
            return since < MAX_REPORT_DELAY.max(shortest_time(report.sequence, interval));
        }
        left == report.started_ms || (report.started_ms < left && since < MAX_REPORT_DELAY)
    }

    /// Returns the departures that are remembered, the latest last.
    #[must_use]
    pub fn departures(&self) -> Vec<Departure> {
        let entries = self.entries.iter();
        entries.map(|entry| entry.departure.clone()).collect()
    }

    /// Returns when the next departure is forgotten.
    #[must_use]
    pub fn next_expiry(&self) -> Option<Instant> {
        self.entries.iter().map(Entry::expires_at).min()
    }

    /// Forgets departures that are no longer needed.
    pub fn remove_expired(&mut self, now: Instant) {
        self.entries.retain(|entry| now < entry.expires_at());
    }
}

/// Returns the time within which a process cannot have started and sent a number of reports.
fn shortest_time(reports: u64, interval: Duration) -> Duration {
    let earlier_reports = u32::try_from(reports.saturating_sub(1)).unwrap_or(u32::MAX);
    let fastest = interval / REPORT_INTERVAL_TOLERANCE_DIVISOR;
    fastest.saturating_mul(earlier_reports)
}
