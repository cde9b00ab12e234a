//! The report of a run.

use std::fmt;

use lentilshunt_schema::history::{Event, Kind};
use serde::Serialize;

use super::Percentiles;
use crate::check::{self, Invariant};

/// Control bytes by link class; `None` when not measured.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct ControlBytes {
    /// Bytes between nodes of the same failure domain.
    pub same_domain: Option<u64>,
    /// Bytes between failure domains of one region.
    pub other_domain: Option<u64>,
    /// Bytes between regions.
    pub other_region: Option<u64>,
    /// Bytes to and from the platform.
    pub platform: Option<u64>,
}

/// Calls by outcome.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Calls {
    /// Calls that were sent.
    pub sent: u64,
    /// Calls with the response of an upstream.
    pub answered: u64,
    /// Calls whose attempts were all reported as not run.
    pub refused_not_run: u64,
    /// Calls that may have run, including those without a response.
    pub may_have_run: u64,
    /// Attempts with a wrong response, or reported as not run although they ran.
    pub lost: u64,
    /// Non-idempotent calls that ran more than once.
    pub duplicated: u64,
}

/// Accepted versions and violations of the version invariants.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Versions {
    /// Accepted versions.
    pub accepted: u64,
    /// Installations of a version that is not newer than the previous one.
    pub moved_back: u64,
    /// Installations whose content differs from the accepted one.
    pub partial: u64,
}

/// Results of a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Report {
    /// Number of nodes.
    pub nodes: usize,
    /// Time from the acceptance of a version until it was in force, over all nodes and versions.
    pub convergence_ms: Percentiles,
    /// Bytes of control traffic.
    pub control_bytes: ControlBytes,
    /// Calls by outcome.
    pub calls: Calls,
    /// Accepted and installed versions.
    pub versions: Versions,
    /// Routes to unknown services or endpoints; `None` when no routes were recorded.
    pub routes_dangling: Option<u64>,
    /// Latency added to a call by the nodes.
    pub added_latency_ms: Percentiles,
    /// All violated invariants, including those without a counter.
    pub violations: Vec<String>,
}

impl Report {
    /// Creates the report of a history.
    #[must_use]
    pub fn new(nodes: usize, history: &[Event]) -> Self {
        let calls = check::CallSummary::from_history(history);
        let versions = check::VersionSummary::from_history(history);
        let violations = check::check_history(history);
        let dangling = violations
            .iter()
            .filter(|violation| violation.invariant == Invariant::KnownRoutes)
            .count();
        let is_observed = history.iter().any(|event| event.kind == Kind::Routes);
        Self {
            routes_dangling: is_observed.then_some(dangling as u64),
            violations: violations.iter().map(ToString::to_string).collect(),
            nodes,
            convergence_ms: Percentiles::from_us(versions.convergence_us.iter().copied()),
            calls: Calls {
                sent: calls.sent,
                answered: calls.answered,
                refused_not_run: calls.refused_not_run,
                may_have_run: calls.may_have_run,
                lost: calls.lost + calls.false_not_run,
                duplicated: calls.duplicated,
            },
            versions: Versions {
                accepted: versions.accepted,
                moved_back: versions.moved_back,
                partial: versions.partial,
            },
            ..Self::default()
        }
    }

    /// Sets the control bytes that the nodes counted.
    #[must_use]
    pub fn with_control_bytes(mut self, bytes: ControlBytes) -> Self {
        self.control_bytes = bytes;
        self
    }

    /// Sets the latency that the nodes add to a call.
    #[must_use]
    pub fn with_added_latency(mut self, added: Percentiles) -> Self {
        self.added_latency_ms = added;
        self
    }

    /// Returns whether any invariant was violated.
    #[must_use]
    pub fn has_violation(&self) -> bool {
        !self.violations.is_empty()
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let calls = &self.calls;
        let bytes = &self.control_bytes;
        let rows = [
            ("nodes", self.nodes.to_string()),
            (
                "convergence p50/p99/max ms",
                format_percentiles(&self.convergence_ms),
            ),
            (
                "added latency p50/p99/max ms",
                format_percentiles(&self.added_latency_ms),
            ),
            ("control bytes, domain", format_optional(bytes.same_domain)),
            (
                "control bytes, other domain",
                format_optional(bytes.other_domain),
            ),
            (
                "control bytes, other region",
                format_optional(bytes.other_region),
            ),
            ("control bytes, platform", format_optional(bytes.platform)),
            ("calls sent", calls.sent.to_string()),
            ("calls answered", calls.answered.to_string()),
            ("calls refused, not run", calls.refused_not_run.to_string()),
            ("calls that may have run", calls.may_have_run.to_string()),
            ("calls lost", calls.lost.to_string()),
            ("calls duplicated", calls.duplicated.to_string()),
            ("versions accepted", self.versions.accepted.to_string()),
            ("versions moved back", self.versions.moved_back.to_string()),
            ("versions partial", self.versions.partial.to_string()),
            ("routes dangling", format_optional(self.routes_dangling)),
        ];
        for (name, value) in rows {
            writeln!(f, "{name:<30} {value}")?;
        }
        for violation in &self.violations {
            writeln!(f, "broken: {violation}")?;
        }
        Ok(())
    }
}

fn format_percentiles(percentiles: &Percentiles) -> String {
    let text = |value: Option<f64>| value.map_or_else(|| "-".to_owned(), |ms| format!("{ms:.2}"));
    format!(
        "{} / {} / {}",
        text(percentiles.p50),
        text(percentiles.p99),
        text(percentiles.max)
    )
}

fn format_optional(value: Option<u64>) -> String {
    value.map_or_else(|| "-".to_owned(), |value| value.to_string())
}
