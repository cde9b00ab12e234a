//! A fleet under measurement.

use std::{collections::BTreeMap, path::Path, time::Duration};

use lentilshunt_core::config::Snapshot;
use lentilshunt_load::{
    fleet::{Layout, Server, load_snapshot},
    testbed,
};
use lentilshunt_net::history::Writer;
use snafu::{OptionExt, ResultExt, Whatever};

use super::Arguments;

/// Example inventory.
const INVENTORY: &str = "andina";
/// Servers of each service.
const SERVERS: usize = 6;

/// A running fleet with its configuration.
#[derive(Debug)]
pub struct Scene {
    running: testbed::Testbed,
    snapshot: Snapshot,
}

impl Scene {
    /// Starts a fleet and waits until every node routes to every server.
    pub async fn start(
        root: &Path,
        arguments: &Arguments,
        run_us: u64,
        calls: &str,
    ) -> Result<Self, Whatever> {
        let folder = root.join("examples").join(INVENTORY);
        let snapshot = load_snapshot(&folder).whatever_context("the example is invalid")?;
        let mut layout = Layout::new(&snapshot, SERVERS, arguments.network);
        layout.run_us = run_us;
        layout.calls_section = calls.to_owned();
        let programs = root.join("target/release");
        let folder = root.join("target/bench/path");
        let history = Writer::open("", "bench", 0).whatever_context("no history")?;
        let running = testbed::Testbed::start(layout, &snapshot, &programs, &folder, history)
            .await
            .whatever_context("the fleet does not start")?;
        Ok(Self { running, snapshot })
    }

    /// Stops the fleet.
    pub fn stop(self) -> Result<(), Whatever> {
        tokio::task::block_in_place(|| self.running.stop())
            .whatever_context("the fleet does not stop")
    }

    /// Returns the processor time of all nodes since their start.
    pub fn processor(&self) -> Result<Duration, Whatever> {
        let mut sum = Duration::ZERO;
        for node in self.running.fleet.nodes.values() {
            let usage =
                testbed::Usage::of_process(node.id()).whatever_context("a node has ended")?;
            sum += usage.cpu_time;
        }
        Ok(sum)
    }

    /// Returns the servers.
    pub fn servers(&self) -> &[Server] {
        &self.running.fleet.layout.servers
    }

    /// Returns the first service and one of its callers.
    pub fn service(&self) -> Result<(String, String), Whatever> {
        let first = self.snapshot.services.iter().next();
        let (name, service) = first.whatever_context("no service")?;
        let caller = service.callers.iter().next();
        let caller = caller.whatever_context("no caller")?;
        Ok((name.clone(), caller.clone()))
    }

    /// Returns the sum of a counter over all nodes, by one of its labels.
    pub async fn counter(&self, name: &str, label: &str) -> BTreeMap<String, u64> {
        let mut sums = BTreeMap::new();
        for server in self.servers() {
            let text = self
                .running
                .admin_client
                .metrics(server)
                .await
                .unwrap_or_default();
            for (value, count) in text.lines().filter_map(|line| parse(line, name, label)) {
                *sums.entry(value).or_default() += count;
            }
        }
        sums
    }
}

/// Returns the value of a label and the count in a line of a counter.
fn parse(line: &str, name: &str, label: &str) -> Option<(String, u64)> {
    let labels = line.strip_prefix(name)?.strip_prefix('{')?;
    let (labels, count) = labels.split_once("} ")?;
    let start = format!("{label}=\"");
    let value = labels
        .split(',')
        .find_map(|pair| pair.strip_prefix(start.as_str()))?;
    Some((value.trim_end_matches('"').to_owned(), count.parse().ok()?))
}
