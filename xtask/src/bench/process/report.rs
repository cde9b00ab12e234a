//! What was measured.

use std::fmt;

use lentilshunt_load::report::ControlBytes;
use serde::Serialize;

use super::sample::Sample;

/// Percent in a whole.
const PERCENT: f64 = 100.0;
/// Bytes in a mebibyte.
const MEBIBYTE: f64 = 1024.0 * 1024.0;

/// The measurement of several sizes of fleet.
#[derive(Debug, Serialize)]
pub(super) struct Report {
    /// Command that gives this measurement.
    command: String,
    /// Sizes that were measured.
    pub(super) sizes: Vec<Size>,
}

/// The measurement of one size of fleet.
#[derive(Debug, Serialize)]
pub(super) struct Size {
    /// Nodes of the fleet.
    nodes: usize,
    /// Use at rest.
    at_rest: Cost,
    /// Use under changes of the configuration.
    under_changes: Cost,
    /// Changes that were accepted meanwhile.
    changes: u64,
}

/// Use of a node.
#[derive(Debug, Serialize)]
struct Cost {
    /// Percent of one core of the median node.
    processor_median: f64,
    /// Percent of one core of the node that used most.
    processor_max: f64,
    /// Resident memory of the node that used most, in mebibytes.
    memory_max: f64,
    /// Control bytes a second of the mean node, sent and received, by class of link.
    bytes_per_second: Links,
}

/// Bytes a second by class of link; null when not counted.
#[derive(Debug, Serialize)]
struct Links {
    same_domain: Option<f64>,
    other_domain: Option<f64>,
    other_region: Option<f64>,
    platform: Option<f64>,
}

impl Report {
    /// Creates a report without sizes.
    pub(super) fn new(network: u8, duration: u64) -> Self {
        Self {
            command: format!("cargo xtask bench process --network {network} --duration {duration}"),
            sizes: Vec::new(),
        }
    }
}

impl Size {
    /// Compares samples from before and after each of two periods.
    pub(super) fn new(begun: &Sample, rested: &Sample, ended: &Sample, changes: u64) -> Self {
        Self {
            nodes: begun.nodes(),
            at_rest: Cost::between(begun, rested),
            under_changes: Cost::between(rested, ended),
            changes,
        }
    }
}

impl Cost {
    fn between(before: &Sample, after: &Sample) -> Self {
        let seconds = (after.taken_at - before.taken_at).as_secs_f64();
        let mut shares: Vec<f64> = before
            .processor
            .iter()
            .zip(&after.processor)
            .map(|(before, after)| after.saturating_sub(*before).as_secs_f64() / seconds * PERCENT)
            .collect();
        shares.sort_by(f64::total_cmp);
        let memory = after.memory.iter().copied().max().unwrap_or_default();
        let before_bytes = &before.control_bytes;
        let after_bytes = &after.control_bytes;
        let per_node = seconds * to_float(before.nodes() as u64);
        let rate = |field: fn(&ControlBytes) -> Option<u64>| {
            let begun = field(before_bytes).unwrap_or_default();
            field(after_bytes).map(|bytes| to_float(bytes - begun) / per_node)
        };
        Self {
            processor_median: shares.get(shares.len() / 2).copied().unwrap_or_default(),
            processor_max: shares.last().copied().unwrap_or_default(),
            memory_max: to_float(memory) / MEBIBYTE,
            bytes_per_second: Links {
                same_domain: rate(|bytes| bytes.same_domain),
                other_domain: rate(|bytes| bytes.other_domain),
                other_region: rate(|bytes| bytes.other_region),
                platform: rate(|bytes| bytes.platform),
            },
        }
    }
}

impl fmt::Display for Size {
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

impl fmt::Display for Cost {
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
