//! Failures to carry out a run.

use std::io;

use snafu::Snafu;

/// Failure to carry out a run, other than a broken promise.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum Error {
    /// A process or file cannot be handled.
    #[snafu(
        display("a process or file of the fleet cannot be handled"),
        context(false)
    )]
    Io {
        /// Error of the operating system.
        source: io::Error,
    },
    /// A stand-in does not take its settings.
    #[snafu(display("the {name} stand-in does not answer"))]
    StandIn {
        /// Name of the stand-in.
        name: &'static str,
    },
    /// The first version was not accepted.
    #[snafu(display("the first version was not accepted"))]
    NotAccepted,
    /// Nodes do not have the newest version and every route in time.
    #[snafu(display("{when}: not ready: {}", nodes.join(", ")))]
    NotReady {
        /// Part of the run.
        when: &'static str,
        /// Nodes that are not ready.
        nodes: Vec<String>,
    },
    /// A process ended, or did not end, against the plan.
    #[snafu(display("{process} {problem}"))]
    Process {
        /// Process concerned.
        process: String,
        /// What it did.
        problem: &'static str,
    },
}
