//! State of the local upstream, as its process reports it.

use std::time::{Duration, Instant};

use hyper::http::HeaderValue;
use lentilshunt_core::{
    id::ServiceId,
    leaving::{Departure, Start},
};
use lentilshunt_schema::peer::Phase;
use rapidhash::v3::rapidhash_v3;

/// Number of reports that may be missing before an older process may replace a silent one.
const MISSING_REPORTS_BEFORE_REPLACEMENT: u32 = 2;

/// Part of the report interval that may lie between two reports, as a divisor.
const REPORT_INTERVAL_TOLERANCE_DIVISOR: u32 = 2;

/// A report (in `executor`: announcement) of an upstream process about itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Report {
    /// Id of the process.
    pub process: String,
    /// Start time of the process by its own clock, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Sequence number of the report, starting over when the process restarts.
    pub sequence: u64,
    /// Service of the process.
    pub service: ServiceId,
    /// Version of the process's software; empty if it has not named one.
    pub version: String,
    /// Time for which the process stays slow after its start.
    pub warm_up_left: Duration,
    /// Lifecycle phase of the process.
    pub phase: Phase,
    /// Maximum number of requests that the process runs concurrently.
    pub slots: u32,
}

impl Report {
    /// Returns the last report of a process that leaves, which has no slots any more.
    #[must_use]
    pub fn from_departure(departure: &Departure, service: &str) -> Self {
        Self {
            process: departure.process.clone(),
            started_ms: departure.started_ms,
            sequence: departure.sequence,
            service: service.to_owned(),
            version: String::new(),
            warm_up_left: Duration::ZERO,
            phase: departure.phase,
            slots: 0,
        }
    }

    /// Returns the departure that the report tells of, or `None` if its process stays.
    #[must_use]
    pub fn departure(&self) -> Option<Departure> {
        let has_left = matches!(self.phase, Phase::Draining | Phase::Gone);
        has_left.then(|| Departure {
            process: self.process.clone(),
            started_ms: self.started_ms,
            sequence: self.sequence,
            phase: self.phase,
        })
    }

    /// Returns the start of the process.
    #[must_use]
    pub fn start(&self) -> Start<'_> {
        Start {
            process: &self.process,
            started_ms: self.started_ms,
            sequence: self.sequence,
        }
    }
}

/// The current upstream process with its newest report.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Upstream {
    /// Newest report.
    pub report: Report,
    /// Id of the process as a header value.
    pub id: HeaderValue,
    /// Time at which the newest report arrived.
    pub received_at: Instant,
    /// Time from which the process is no longer slow after its start.
    pub warm_at: Instant,
}

impl Upstream {
    /// Returns a hash that identifies the process and its start.
    #[must_use]
    pub fn process_hash(&self) -> u64 {
        let text = format!("{} {}", self.report.process, self.report.started_ms);
        rapidhash_v3(text.as_bytes())
    }

    /// Returns whether the process has said that it leaves, or has left.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        phase_order(self.report.phase) >= phase_order(Phase::Draining)
    }

    /// Returns the upstream as one that has said that it leaves.
    #[must_use]
    pub fn leaving(&self) -> Self {
        let mut upstream = self.clone();
        upstream.report.phase = Phase::Draining;
        upstream
    }

    /// Returns whether a report is that of this process, and not of another start of it.
    ///
    /// One without a start counts as that of the current process.
    #[must_use]
    pub fn is_same_start(&self, report: &Report) -> bool {
        let own = &self.report;
        let starts = [own.started_ms, report.started_ms];
        let is_known = !starts.contains(&0);
        own.process == report.process && (starts[0] == starts[1] || !is_known)
    }

    /// Returns whether the report of a process comes from this one.
    ///
    /// The start of a process that was found by its health check is unknown.
    #[must_use]
    pub fn is_same_process(&self, other: &Report) -> bool {
        let own = &self.report;
        own.process == other.process && (own.started_ms == other.started_ms || own.started_ms == 0)
    }
}

/// Effect of a report.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// The report was ignored: outdated, malformed, of an older process or an earlier phase.
    Ignored,
    /// The report confirms the current state.
    Unchanged,
    /// The process, phase, service or number of slots changed.
    Changed,
}

/// Applies a report to the current state and returns its effect and the new state.
///
/// Reports of one process start are ordered by their sequence number; a deregistration comes last.
/// A process never returns to an earlier phase. An older process replaces a newer one only
/// after the newer one has been silent, because a clock may have been set back. A delayed report
/// of a process that has left is ignored also if the start of the process is unknown.
/// The state is `None` if the report was ignored.
#[must_use]
pub fn apply_report(
    current: Option<&Upstream>,
    report: Report,
    interval: Duration,
    now: Instant,
) -> (Change, Option<Upstream>) {
    let Ok(id) = HeaderValue::try_from(report.process.as_str()) else {
        return (Change::Ignored, None);
    };
    let accept = |report: Report, change| {
        let received_at = now;
        let warm_at = now + report.warm_up_left;
        let upstream = Upstream {
            report,
            id,
            received_at,
            warm_at,
        };
        (change, Some(upstream))
    };
    let Some(current) = current else {
        return accept(report, Change::Changed);
    };
    let old = &current.report;
    let is_same_process = old.process == report.process;
    if is_same_process && is_late_after_leaving(current, &report, interval, now) {
        return (Change::Ignored, None);
    }
    let is_same_start = is_same_process && old.started_ms == report.started_ms;
    if is_same_start {
        let is_earlier_phase = phase_order(report.phase) < phase_order(old.phase);
        // A deregistration has no sequence number of its own, and is the last report.
        let is_repeated = report.sequence <= old.sequence && report.phase != Phase::Gone;
        if is_repeated || is_earlier_phase {
            return (Change::Ignored, None);
        }
        let has_changed = (report.phase, report.slots, &report.service, &report.version)
            != (old.phase, old.slots, &old.service, &old.version);
        let change = if has_changed {
            Change::Changed
        } else {
            Change::Unchanged
        };
        return accept(report, change);
    }
    let is_earlier = report.started_ms < old.started_ms;
    let is_deregistration = is_same_process && report.phase == Phase::Gone;
    if is_deregistration && is_earlier && !current.is_same_start(&report) {
        // It says nothing of the current start, also if that has been silent.
        return (Change::Ignored, None);
    }
    let is_silent = now.saturating_duration_since(current.received_at)
        > interval * MISSING_REPORTS_BEFORE_REPLACEMENT;
    if is_earlier && !is_silent {
        return (Change::Ignored, None);
    }
    accept(report, Change::Changed)
}

/// Merges the last report of a process that leaves, as the node knew it before it restarted, into
/// the current state.
///
/// Returns the new state, or `None` if the current one is newer.
#[must_use]
pub fn restore_departure(
    current: Option<&Upstream>,
    departure: Report,
    interval: Duration,
    now: Instant,
) -> Option<Upstream> {
    let (_change, departed) = apply_report(None, departure, interval, now);
    let departed = departed?;
    let Some(current) = current else {
        return Some(departed);
    };
    // As if the reports since the restart had arrived after the departure.
    let report = current.report.clone();
    let (change, _current) = apply_report(Some(&departed), report, interval, now);
    (change == Change::Ignored).then_some(departed)
}

/// Returns whether a report was sent before its process left, by a process whose start is unknown.
///
/// A node that restarts may learn of an upstream by its health check or its deregistration, which
/// do not contain the start, and get a delayed report of it after it has said that it leaves. A process that has started again under the
/// same id since cannot have sent that many reports yet.
fn is_late_after_leaving(
    current: &Upstream,
    report: &Report,
    interval: Duration,
    now: Instant,
) -> bool {
    let is_behind = current.report.phase == Phase::Gone
        || phase_order(report.phase) < phase_order(Phase::Draining);
    let has_left = current.is_leaving() && is_behind && current.report.started_ms == 0;
    let since_leaving = now.saturating_duration_since(current.received_at);
    let earlier_reports = u32::try_from(report.sequence.saturating_sub(1)).unwrap_or(u32::MAX);
    let fastest = interval / REPORT_INTERVAL_TOLERANCE_DIVISOR;
    has_left && since_leaving < fastest.saturating_mul(earlier_reports)
}

/// Returns the position of a phase in the lifecycle of a process.
fn phase_order(phase: Phase) -> u8 {
    match phase {
        Phase::Starting => 0,
        Phase::Ready => 1,
        Phase::Draining => 2,
        Phase::Gone => 3,
    }
}
