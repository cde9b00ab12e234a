//! Errors of a testbed.

use std::io;

use lentilshunt_cli::accept;
use snafu::Snafu;

/// Failure to start, measure or stop a fleet.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum Error {
    /// A process cannot be started, or a file cannot be written.
    #[snafu(display("cannot start the fleet"))]
    Start {
        /// Error of the operating system.
        source: io::Error,
    },
    /// The first version was not accepted in time.
    #[snafu(display("the first version was not accepted in time"))]
    NotAccepted {
        /// Error of the last attempt.
        source: accept::Error,
    },
    /// Some nodes did not have routes to every server in time.
    #[snafu(display("nodes not ready in time: {}", nodes.join(", ")))]
    NotReady {
        /// Instances of these nodes.
        nodes: Vec<String>,
    },
    /// A stop signal cannot be sent to a process.
    #[snafu(display("cannot stop the fleet"))]
    Stop {
        /// Error of the operating system.
        source: io::Error,
    },
    /// Some processes did not stop in time.
    #[snafu(display("some processes did not stop in time"))]
    StopTimeout,
    /// The resource usage of a process cannot be read.
    #[snafu(display("cannot read the resource usage of process {id}"))]
    Usage {
        /// Process id.
        id: u32,
        /// Error of the proc file system.
        source: procfs::ProcError,
    },
}
