//! Failures to start or stop a fleet.

use std::io;

use lentilshunt_cli::accept;
use snafu::Snafu;

/// Failure to start, watch or stop a fleet.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum Error {
    /// A process cannot be started, or a file cannot be written.
    #[snafu(display("the fleet cannot be started"))]
    Start {
        /// Error of the operating system.
        source: io::Error,
    },
    /// The first version was not accepted in time.
    #[snafu(display("the first version was not accepted in time"))]
    NotAccepted {
        /// Last failure.
        source: accept::Error,
    },
    /// Some nodes did not route to every server in time.
    #[snafu(display("not ready in time: {}", nodes.join(", ")))]
    NotReady {
        /// Instances of these nodes.
        nodes: Vec<String>,
    },
    /// A process cannot be told to stop.
    #[snafu(display("the fleet cannot be stopped"))]
    Stop {
        /// Error of the operating system.
        source: io::Error,
    },
    /// Some processes did not stop in time.
    #[snafu(display("not every process stopped in time"))]
    StopTimeout,
    /// The use of a process cannot be read.
    #[snafu(display("the use of process {id} cannot be read"))]
    Usage {
        /// Id of the process.
        id: u32,
        /// Error of the process file system.
        source: procfs::ProcError,
    },
}
