//! Report of the benchmark.

use std::{fmt, fs};

use lentilshunt_load::report::Percentiles;
use serde::Serialize;

/// Target for the 99th percentile of the latency that a hop adds, in milliseconds.
const ADDED_P99_TARGET_MS: f64 = 0.4;
/// Target for goodput under overload, as a ratio of its peak.
const GOODPUT_TARGET_RATIO: f64 = 0.9;

/// Latency of one kind of call at one rate.
#[derive(Clone, Debug, Serialize)]
pub struct Latency {
    /// Calls per second, over all kinds of call.
    pub rate: f64,
    /// Path of the calls: `direct`, `one-hop` or `two-hops`.
    pub way: &'static str,
    /// Number of successful calls.
    pub answered: usize,
    /// Number of failed calls.
    pub failed: usize,
    /// Latency from sending to the complete response.
    pub time_ms: Percentiles,
    /// CPU time of the nodes per call and node passed, in microseconds, over all paths at
    /// this rate.
    pub processor_us: u64,
    /// Difference of the median to that of `direct`.
    pub added_p50_ms: Option<f64>,
    /// Difference of the 99th percentile to that of `direct`.
    pub added_p99_ms: Option<f64>,
}

/// Goodput of one variant at one offered load.
#[derive(Clone, Debug, Serialize)]
pub struct Goodput {
    /// Policy and retry budget of the nodes.
    pub way: &'static str,
    /// Whether callers retry failed calls.
    pub caller_retries: bool,
    /// Offered load as a multiple of the capacity.
    pub offered: f64,
    /// First attempts of callers per second.
    pub calls_per_second: f64,
    /// Calls per second that succeed in time.
    pub answered_per_second: f64,
    /// Attempts of nodes per call.
    pub attempts_per_call: f64,
    /// Payload bytes between regions per call.
    pub region_bytes_per_call: f64,
    /// Latency of the calls that succeeded in time.
    pub time_ms: Percentiles,
}

/// Results of the benchmark.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Command that repeats this measurement.
    pub command: String,
    /// Load averages of the machine before the measurement.
    pub load_before: String,
    /// Load averages of the machine after it.
    pub load_after: String,
    /// CPU time that the host gave to other machines during the measurement, in percent.
    pub steal_percent: Option<f64>,
    /// Latency by rate and path.
    pub latency: Vec<Latency>,
    /// Goodput by variant and offered load.
    pub goodput: Vec<Goodput>,
}

impl Report {
    /// Creates an empty report.
    pub fn new(seed: u64, network: u8, duration: u64) -> Self {
        Self {
            command: format!(
                "cargo xtask bench path --seed {seed} --network {network} --duration {duration}"
            ),
            load_before: load_averages(),
            load_after: String::new(),
            steal_percent: None,
            latency: Vec::new(),
            goodput: Vec::new(),
        }
    }

    /// Returns the highest goodput of the variant of a measurement.
    fn peak(&self, measured: &Goodput) -> f64 {
        let same_variant = self.goodput.iter().filter(|other| {
            other.way == measured.way && other.caller_retries == measured.caller_retries
        });
        same_variant
            .map(|other| other.answered_per_second)
            .fold(0.0, f64::max)
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}", self.command)?;
        writeln!(f, "load {} / {}", self.load_before, self.load_after)?;
        if let Some(steal) = self.steal_percent {
            writeln!(f, "the host took {steal:.0}% of the processor time")?;
        }
        for row in &self.latency {
            let verdict = row.added_p99_ms.map_or("", |added| {
                if added <= ADDED_P99_TARGET_MS {
                    "met"
                } else {
                    "missed"
                }
            });
            writeln!(
                f,
                "{:>6}/s {:<9} p50 {:>7.3} p99 {:>7.3} added {:>6.3} {:>6.3} ms {verdict} \
                 ({} failed, {} us of processor a passage)",
                row.rate,
                row.way,
                row.time_ms.p50.unwrap_or_default(),
                row.time_ms.p99.unwrap_or_default(),
                row.added_p50_ms.unwrap_or_default(),
                row.added_p99_ms.unwrap_or_default(),
                row.failed,
                row.processor_us,
            )?;
        }
        for row in &self.goodput {
            let ratio = row.answered_per_second / self.peak(row).max(1.0);
            let verdict = if row.offered < 2.0 {
                ""
            } else if ratio >= GOODPUT_TARGET_RATIO {
                "met"
            } else {
                "missed"
            };
            writeln!(
                f,
                "{:<22} retries {:<5} {:>3}x {:>6.0}/s goodput {:>6.0}/s {:>4.0}% of peak {verdict:<6} \
                 {:.2} attempts, {:.0} bytes abroad, p99 {:.1} ms",
                row.way,
                row.caller_retries,
                row.offered,
                row.calls_per_second,
                row.answered_per_second,
                ratio * 100.0,
                row.attempts_per_call,
                row.region_bytes_per_call,
                row.time_ms.p99.unwrap_or_default(),
            )?;
        }
        Ok(())
    }
}

/// Returns the load averages of the machine.
pub fn load_averages() -> String {
    let text = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split(' ').take(3).collect::<Vec<_>>().join(" ")
}
