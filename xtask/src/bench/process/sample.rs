//! Cumulative resource use of the nodes of a fleet.

use std::time::{Duration, Instant};

use lentilshunt_load::{
    report::ControlBytes,
    testbed::{Testbed, Usage},
};
use snafu::{ResultExt, Whatever};

/// Resource use of every node at one instant.
#[derive(Clone, Debug)]
pub(super) struct Sample {
    /// Instant of the sample.
    pub(super) read_at: Instant,
    /// CPU time since the start of each node.
    pub(super) cpu_times: Vec<Duration>,
    /// Resident memory of each node, in bytes.
    pub(super) resident_bytes: Vec<u64>,
    /// Control bytes of all nodes by link class.
    pub(super) control_bytes: ControlBytes,
}

impl Sample {
    /// Reads every node of a fleet.
    pub(super) async fn read(testbed: &Testbed) -> Result<Self, Whatever> {
        let mut cpu_times = Vec::new();
        let mut resident_bytes = Vec::new();
        let read_at = Instant::now();
        for process in testbed.fleet.nodes.values() {
            let usage =
                Usage::of_process(process.id()).whatever_context("a node process has ended")?;
            cpu_times.push(usage.cpu_time);
            resident_bytes.push(usage.resident_bytes);
        }
        let mut metrics = Vec::new();
        for server in &testbed.fleet.layout.servers {
            metrics.extend(testbed.admin_client.metrics(server).await);
        }
        Ok(Self {
            read_at,
            cpu_times,
            resident_bytes,
            control_bytes: ControlBytes::from_metrics(metrics.iter().map(String::as_str)),
        })
    }

    /// Returns the number of nodes.
    pub(super) fn node_count(&self) -> usize {
        self.cpu_times.len()
    }
}
