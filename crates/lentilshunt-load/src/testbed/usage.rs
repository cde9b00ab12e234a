//! CPU time and memory of a process.

use std::time::Duration;

use procfs::process::Process;
use snafu::ResultExt;

use super::{Error, error::UsageSnafu};

const MILLIS_PER_SECOND: u64 = 1000;

/// CPU time since its start and resident memory of a process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Usage {
    /// CPU time in user and system mode.
    pub cpu_time: Duration,
    /// Resident memory, in bytes.
    pub resident_bytes: u64,
}

impl Usage {
    /// Reads the resource usage of a process.
    ///
    /// # Errors
    ///
    /// Returns an error when the process has ended or cannot be read.
    pub fn of_process(id: u32) -> Result<Self, Error> {
        read(id).context(UsageSnafu { id })
    }
}

fn read(id: u32) -> Result<Usage, procfs::ProcError> {
    let id = i32::try_from(id).map_err(|_too_large| procfs::ProcError::NotFound(None))?;
    let stat = Process::new(id)?.stat()?;
    let ticks = stat.utime + stat.stime;
    let ticks_per_second = procfs::ticks_per_second();
    Ok(Usage {
        cpu_time: Duration::from_millis(ticks * MILLIS_PER_SECOND / ticks_per_second),
        resident_bytes: stat.rss * procfs::page_size(),
    })
}
