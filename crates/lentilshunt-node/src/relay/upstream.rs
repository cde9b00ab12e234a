//! What the node knows of the upstream beside it.

use std::time::{Duration, Instant};

use hyper::http::HeaderValue;
use lentilshunt_core::id::ServiceId;
use lentilshunt_schema::peer::Phase;

/// Announcements that may be missing before another process may take the place of a silent one.
const MISSING_ANNOUNCEMENTS: u32 = 2;

/// A report of an upstream process about itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Report {
    /// Id of the process.
    pub process: String,
    /// Start of the process in milliseconds since the Unix epoch, by its own clock.
    pub started_ms: u64,
    /// Number of the report within this start.
    pub sequence: u64,
    /// Service of the process.
    pub service: ServiceId,
    /// Phase of the process.
    pub phase: Phase,
    /// Requests that the process runs at a time.
    pub slots: u32,
}

/// The upstream process that is in charge, by its newest report.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Upstream {
    /// Newest report.
    pub report: Report,
    /// Id of the process, as it is sent in headers.
    pub id: HeaderValue,
    /// When the newest report arrived.
    pub received_at: Instant,
}

/// What a report changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// The report is older than what is known, or of a process that has left.
    Stale,
    /// The report confirms what is known.
    Unchanged,
    /// Process, phase, service or slots have changed.
    Changed,
}

/// Takes a report and returns what it changed.
///
/// Reports of one start are ordered by their sequence. A process that has begun
/// to leave does not come back, and an older process replaces a newer one only
/// after the newer one has been silent, since a clock may have been set back.
#[must_use]
pub fn apply_report(
    held: Option<&Upstream>,
    report: Report,
    interval: Duration,
    now: Instant,
) -> (Change, Option<Upstream>) {
    let Ok(id) = HeaderValue::try_from(report.process.as_str()) else {
        return (Change::Stale, None);
    };
    let taken = |report, change| {
        let received_at = now;
        let upstream = Upstream {
            report,
            id,
            received_at,
        };
        (change, Some(upstream))
    };
    let Some(held) = held else {
        return taken(report, Change::Changed);
    };
    let old = &held.report;
    let same_start = old.process == report.process && old.started_ms == report.started_ms;
    if same_start {
        let goes_back = rank(report.phase) < rank(old.phase);
        if report.sequence <= old.sequence || goes_back {
            return (Change::Stale, None);
        }
        let differs =
            (report.phase, report.slots, &report.service) != (old.phase, old.slots, &old.service);
        let change = if differs {
            Change::Changed
        } else {
            Change::Unchanged
        };
        return taken(report, change);
    }
    let silent = now.saturating_duration_since(held.received_at) > interval * MISSING_ANNOUNCEMENTS;
    if report.started_ms < old.started_ms && !silent {
        return (Change::Stale, None);
    }
    taken(report, Change::Changed)
}

/// Returns the order in which a process goes through its phases.
fn rank(phase: Phase) -> u8 {
    match phase {
        Phase::Starting => 0,
        Phase::Ready => 1,
        Phase::Draining => 2,
        Phase::Gone => 3,
    }
}
