//! Report of the benchmark.

use std::fmt;

use lentilshunt_load::report::ControlBytes;
use serde::Serialize;

use super::sample::Sample;

/// Factor from a ratio to percent.
const PERCENT: f64 = 100.0;
/// Bytes in a mebibyte.
const BYTES_PER_MEBIBYTE: f64 = 1024.0 * 1024.0;

/// Results for several fleet sizes.
#[derive(Debug, Serialize)]
pub(super) struct Report {
    /// Command that repeats this measurement.
    command: String,
    /// Result for each fleet size.
    pub(super) sizes: Vec<FleetUsage>,
}

/// Result for one fleet size.
#[derive(Debug, Serialize)]
pub(super) struct FleetUsage {
    /// Number of nodes.
    nodes: usize,
    /// Resource use at rest.
    at_rest: NodeUsage,
    /// Resource use under configuration changes.
    under_changes: NodeUsage,
    /// Number of configuration changes accepted during the measurement.
    changes: u64,
}

/// Resource use per node.
#[derive(Debug, Serialize)]
struct NodeUsage {
    /// Percent of one core of the median node.
    processor_median: f64,
    /// Percent of one core of the node with the highest use.
    processor_max: f64,
    /// Resident memory of the node with the highest use, in mebibytes.
    memory_max: f64,
    /// Control bytes sent and received per second by link class, averaged over the nodes.
    bytes_per_second: LinkRates,
}

/// Bytes per second by link class; null when not counted.
#[derive(Debug, Serialize)]
struct LinkRates {
    same_domain: Option<f64>,
    other_domain: Option<f64>,
    other_region: Option<f64>,
    platform: Option<f64>,
}

impl Report {
    /// Creates an empty report.
    pub(super) fn new(network: u8, duration: u64) -> Self {
        Self {
            command: format!("cargo xtask bench process --network {network} --duration {duration}"),
            sizes: Vec::new(),
        }
    }
}

impl FleetUsage {
    /// Computes the usage from samples before and after each of the two periods.
    pub(super) fn new(
        start: &Sample,
        after_rest: &Sample,
        after_changes: &Sample,
        changes: u64,
    ) -> Self {
        Self {
            nodes: start.node_count(),
            at_rest: NodeUsage::between(start, after_rest),
            under_changes: NodeUsage::between(after_rest, after_changes),
            changes,
        }
    }
}

impl NodeUsage {
    fn between(before: &Sample, after: &Sample) -> Self {
        let seconds = (after.read_at - before.read_at).as_secs_f64();
        let mut core_percents: Vec<f64> = before
            .cpu_times
            .iter()
            .zip(&after.cpu_times)
            .map(|(before, after)| after.saturating_sub(*before).as_secs_f64() / seconds * PERCENT)
            .collect();
        core_percents.sort_by(f64::total_cmp);
        let max_resident_bytes = after
            .resident_bytes
            .iter()
            .copied()
            .max()
            .unwrap_or_default();
        let before_bytes = &before.control_bytes;
        let after_bytes = &after.control_bytes;
        let node_seconds = seconds * to_float(before.node_count() as u64);
        let rate = |field: fn(&ControlBytes) -> Option<u64>| {
            let start = field(before_bytes).unwrap_or_default();
            field(after_bytes).map(|bytes| to_float(bytes - start) / node_seconds)
        };
        Self {
            processor_median: core_percents
                .get(core_percents.len() / 2)
                .copied()
                .unwrap_or_default(),
            processor_max: core_percents.last().copied().unwrap_or_default(),
            memory_max: to_float(max_resident_bytes) / BYTES_PER_MEBIBYTE,
            bytes_per_second: LinkRates {
                same_domain: rate(|bytes| bytes.same_domain),
                other_domain: rate(|bytes| bytes.other_domain),
                other_region: rate(|bytes| bytes.other_region),
                platform: rate(|bytes| bytes.platform),
            },
        }
    }
}

impl fmt::Display for FleetUsage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{} nodes", self.nodes)?;
        writeln!(f, "  at rest               {}", self.at_rest)?;
        write!(
            f,
            "  under {:>3} changes     {}",
            self.changes, self.under_changes
        )
    }
}

impl fmt::Display for NodeUsage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let links = &self.bytes_per_second;
        write!(
            f,
            "core {:.2}% median, {:.2}% max; memory {:.1} MiB max; \
             bytes/s a node: same domain {}, other domain {}, other region {}, platform {}",
            self.processor_median,
            self.processor_max,
            self.memory_max,
            optional(links.same_domain),
            optional(links.other_domain),
            optional(links.other_region),
            optional(links.platform),
        )
    }
}

fn optional(value: Option<f64>) -> String {
    value.map_or_else(|| "-".to_owned(), |value| format!("{value:.0}"))
}

#[allow(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
fn to_float(value: u64) -> f64 {
    value as f64
}
