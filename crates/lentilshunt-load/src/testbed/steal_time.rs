//! Processor time that the host of a virtual machine gave to others.

use procfs::{CpuTime, CurrentSI, KernelStats};

/// Percent in a whole.
const PERCENT: f64 = 100.0;

/// Processor times of the whole machine at the beginning of a measurement.
#[derive(Clone, Debug)]
pub struct StealTime {
    begun: Option<CpuTimes>,
}

#[derive(Clone, Copy, Debug)]
struct CpuTimes {
    busy: u64,
    stolen: u64,
}

impl StealTime {
    /// Reads the processor times of now.
    #[must_use]
    pub fn start() -> Self {
        Self { begun: read() }
    }

    /// Returns the stolen part of the time that was wanted since, in percent.
    ///
    /// None is returned where the machine does not tell, or wanted no time.
    #[must_use]
    pub fn percent(&self) -> Option<f64> {
        let begun = self.begun?;
        let ended = read()?;
        let stolen = to_float(ended.stolen.checked_sub(begun.stolen)?);
        let busy = to_float(ended.busy.checked_sub(begun.busy)?);
        let wanted = stolen + busy;
        (wanted > 0.0).then(|| stolen / wanted * PERCENT)
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
