//! What the nodes of a fleet have used so far.

use std::time::{Duration, Instant};

use lentilshunt_load::{
    report::ControlBytes,
    testbed::{Testbed, Usage},
};
use snafu::{ResultExt, Whatever};

/// Use of every node at one instant.
#[derive(Clone, Debug)]
pub(super) struct Sample {
    /// Instant of the sample.
    pub(super) taken_at: Instant,
    /// Processor time since the start of each node.
    pub(super) processor: Vec<Duration>,
    /// Resident memory of each node, in bytes.
    pub(super) memory: Vec<u64>,
    /// Control bytes of all nodes by class of link.
    pub(super) control_bytes: ControlBytes,
}

impl Sample {
    /// Reads every node of a fleet.
    pub(super) async fn take(testbed: &Testbed) -> Result<Self, Whatever> {
        let mut processor = Vec::new();
        let mut memory = Vec::new();
        let taken_at = Instant::now();
        for process in testbed.fleet.nodes.values() {
            let usage = Usage::of_process(process.id()).whatever_context("a node has ended")?;
            processor.push(usage.cpu_time);
            memory.push(usage.resident_bytes);
        }
        let mut metrics = Vec::new();
        for server in &testbed.fleet.layout.servers {
            metrics.extend(testbed.admin_client.metrics(server).await);
        }
        Ok(Self {
            taken_at,
            processor,
            memory,
            control_bytes: ControlBytes::from_metrics(metrics.iter().map(String::as_str)),
        })
    }

    /// Returns the number of nodes.
    pub(super) fn nodes(&self) -> usize {
        self.processor.len()
    }
}
