//! Judges the history of a run.
//!
//! Every checker is a pure function over the events of a run and returns each
//! broken promise as a [`Violation`]. A process that was killed may have left an
//! incomplete last line, which [`read`] passes over. Upstreams write a run
//! before it begins, so a killed upstream can hide a run that never began but
//! not one that did.

mod acceptance;
mod convergence;
mod drain;
mod fault;
mod promise;
mod reader;
mod routes;
mod runs;
mod stop;
mod versions;
mod violation;

pub use acceptance::judge as judge_acceptances;
pub use convergence::judge as judge_convergence;
pub use drain::judge as judge_drains;
pub use fault::{Fault, Faults};
pub use promise::Promise;
pub use reader::read;
pub use routes::judge as judge_routes;
pub use runs::Runs;
pub use stop::judge as judge_stops;
pub use versions::Versions;
pub use violation::Violation;

use lentilshunt_schema::history::Event;

/// Judges a history by every checker; violations come in the order of their instants.
#[must_use]
pub fn judge(history: &[Event]) -> Vec<Violation> {
    let mut violations = Runs::judge(history).violations;
    violations.extend(Versions::judge(history).violations);
    violations.extend(judge_convergence(history));
    violations.extend(judge_routes(history));
    violations.extend(judge_drains(history));
    violations.extend(judge_stops(history));
    violations.extend(judge_acceptances(history));
    violations.sort_by_key(|violation| violation.at_us);
    violations
}
