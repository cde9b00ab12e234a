//! CPU time that the hypervisor gave to other virtual machines (steal time).

use procfs::{CpuTime, CurrentSI, KernelStats};

const PERCENT: f64 = 100.0;

/// CPU times of the whole machine at the start of a measurement.
#[derive(Clone, Debug)]
pub struct StealTime {
    start: Option<CpuTimes>,
}

#[derive(Clone, Copy, Debug)]
struct CpuTimes {
    busy: u64,
    stolen: u64,
}

impl StealTime {
    /// Starts a measurement with the current CPU times.
    #[must_use]
    pub fn start() -> Self {
        Self { start: read() }
    }

    /// Returns the steal time as a percentage of busy and steal time since the start.
    ///
    /// Returns `None` when the machine does not report steal time or was idle.
    #[must_use]
    pub fn percent(&self) -> Option<f64> {
        let start = self.start?;
        let end = read()?;
        let stolen = to_float(end.stolen.checked_sub(start.stolen)?);
        let busy = to_float(end.busy.checked_sub(start.busy)?);
        let total = stolen + busy;
        (total > 0.0).then(|| stolen / total * PERCENT)
    }
}

fn read() -> Option<CpuTimes> {
    let total: CpuTime = KernelStats::current().ok()?.total;
    Some(CpuTimes {
        busy: total.user + total.nice + total.system,
        stolen: total.steal?,
    })
}

#[allow(clippy::cast_precision_loss, reason = "ticks stay far below 2^52")]
fn to_float(ticks: u64) -> f64 {
    ticks as f64
}
