//! Checks the history of a run against the invariants.
//!
//! Every checker is a pure function over the events of a run and returns each
//! violated invariant as a [`Violation`]. A killed process may leave an incomplete
//! last line, which [`read_history`] skips. Upstreams record a run before it
//! begins, so a killed upstream can lose the record of a run that never began, but
//! not of one that did.

mod acceptance;
mod call_summary;
mod convergence;
mod drain;
mod fault;
mod invariant;
mod reader;
mod routes;
mod stop;
mod version_summary;
mod violation;

pub use acceptance::check as check_acceptances;
pub use call_summary::CallSummary;
pub use convergence::check as check_convergence;
pub use drain::check as check_drains;
pub use fault::{FaultPeriod, Faults};
pub use invariant::Invariant;
pub use reader::read_history;
pub use routes::check as check_routes;
pub use stop::check as check_stops;
pub use version_summary::VersionSummary;
pub use violation::Violation;

use lentilshunt_schema::history::Event;

/// Runs every checker on a history; violations are ordered by their instants.
#[must_use]
pub fn check_history(history: &[Event]) -> Vec<Violation> {
    let mut violations = CallSummary::from_history(history).violations;
    violations.extend(VersionSummary::from_history(history).violations);
    violations.extend(check_convergence(history));
    violations.extend(check_routes(history));
    violations.extend(check_drains(history));
    violations.extend(check_stops(history));
    violations.extend(check_acceptances(history));
    violations.sort_by_key(|violation| violation.at_us);
    violations
}
