//! Fleet that a benchmark runs on.

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
/// Number of servers of each service.
const SERVERS_PER_SERVICE: usize = 6;

/// Running fleet with its configuration.
#[derive(Debug)]
pub struct MeasuredFleet {
    testbed: testbed::Testbed,
    snapshot: Snapshot,
}

impl MeasuredFleet {
    /// Starts a fleet and waits until every node routes to every server.
    pub async fn start(
        root: &Path,
        arguments: &Arguments,
        run_us: u64,
        calls_section: &str,
    ) -> Result<Self, Whatever> {
        let folder = root.join("examples").join(INVENTORY);
        let snapshot = load_snapshot(&folder).whatever_context("the example is invalid")?;
        let mut layout = Layout::new(&snapshot, SERVERS_PER_SERVICE, arguments.network);
        layout.run_us = run_us;
        layout.calls_section = calls_section.to_owned();
        let programs = root.join("target/release");
        let folder = root.join("target/bench/path");
        let history = Writer::open("", "bench", 0).whatever_context("cannot open the history")?;
        let testbed = testbed::Testbed::start(layout, &snapshot, &programs, &folder, history)
            .await
            .whatever_context("the fleet failed to start")?;
        Ok(Self { testbed, snapshot })
    }

    /// Stops the fleet.
    pub fn stop(self) -> Result<(), Whatever> {
        tokio::task::block_in_place(|| self.testbed.stop())
            .whatever_context("the fleet failed to stop")
    }

    /// Returns the CPU time of all nodes since their start.
    pub fn cpu_time(&self) -> Result<Duration, Whatever> {
        let mut sum = Duration::ZERO;
        for node in self.testbed.fleet.nodes.values() {
            let usage = testbed::Usage::of_process(node.id())
                .whatever_context("a node process has ended")?;
            sum += usage.cpu_time;
        }
        Ok(sum)
    }

    /// Returns the servers.
    pub fn servers(&self) -> &[Server] {
        &self.testbed.fleet.layout.servers
    }

    /// Returns the first service and one of its callers.
    pub fn first_service(&self) -> Result<(String, String), Whatever> {
        let first = self.snapshot.services.iter().next();
        let (name, service) = first.whatever_context("the example has no service")?;
        let caller = service.callers.iter().next();
        let caller = caller.whatever_context("the service has no caller")?;
        Ok((name.clone(), caller.clone()))
    }

    /// Returns the sum of a counter over all nodes, by one of its labels.
    pub async fn sum_counter(&self, name: &str, label: &str) -> BTreeMap<String, u64> {
        let mut sums = BTreeMap::new();
        for server in self.servers() {
            let text = self
                .testbed
                .admin_client
                .metrics(server)
                .await
                .unwrap_or_default();
            for (value, count) in text
                .lines()
                .filter_map(|line| parse_counter(line, name, label))
            {
                *sums.entry(value).or_default() += count;
            }
        }
        sums
    }
}

/// Returns the value of a label and the count in a line of a counter.
fn parse_counter(line: &str, name: &str, label: &str) -> Option<(String, u64)> {
    let labels = line.strip_prefix(name)?.strip_prefix('{')?;
    let (labels, count) = labels.split_once("} ")?;
    let start = format!("{label}=\"");
    let value = labels
        .split(',')
        .find_map(|pair| pair.strip_prefix(start.as_str()))?;
    Some((value.trim_end_matches('"').to_owned(), count.parse().ok()?))
}
