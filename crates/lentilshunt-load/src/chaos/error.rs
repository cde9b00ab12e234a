//! Errors of a run.

use std::io;

use snafu::Snafu;

/// Failure to complete a run; a violated invariant is not an error.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum Error {
    /// A process cannot be controlled or a file cannot be accessed.
    #[snafu(
        display("cannot control a process or access a file of the fleet"),
        context(false)
    )]
    Io {
        /// Error of the operating system.
        source: io::Error,
    },
    /// A stand-in does not accept a request in time.
    #[snafu(display("the {name} stand-in does not respond"))]
    StandIn {
        /// Name of the stand-in.
        name: &'static str,
    },
    /// A version was not accepted in time.
    #[snafu(display("a version was not accepted in time"))]
    NotAccepted,
    /// Some nodes have no version in force or lack routes after the timeout.
    #[snafu(display("nodes not ready {when}: {}", nodes.join(", ")))]
    NotReady {
        /// Stage of the run.
        when: &'static str,
        /// Instances of these nodes.
        nodes: Vec<String>,
    },
    /// A process exited unexpectedly, or did not stop in time.
    #[snafu(display("{process} {problem}"))]
    Process {
        /// Name of the process.
        process: String,
        /// What the process did or failed to do.
        problem: &'static str,
    },
}
