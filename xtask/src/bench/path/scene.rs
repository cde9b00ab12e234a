//! A fleet under measurement.

use std::{
    collections::BTreeMap,
    path::Path,
    time::{Duration, Instant},
};

use lentilshunt_core::config::Snapshot;
use lentilshunt_load::{
    fleet::{Fleet, Layout, Remote, Server, example},
    operator::Operator,
};
use lentilshunt_net::history::Writer;
use snafu::{OptionExt, ResultExt, Whatever, ensure_whatever};

use super::Arguments;

/// Example inventory.
const INVENTORY: &str = "andina";
/// Servers of each service.
const SERVERS: usize = 6;
/// Longest wait until all nodes are ready.
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// Pause between two attempts to accept the version.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Longest wait for a graceful stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(20);

/// A running fleet with its configuration.
#[derive(Debug)]
pub struct Scene {
    fleet: Fleet,
    snapshot: Snapshot,
    remote: Remote,
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
        let snapshot = example(&folder).whatever_context("the example is invalid")?;
        let mut layout = Layout::new(&snapshot, SERVERS, arguments.network);
        layout.run_us = run_us;
        layout.calls = calls.to_owned();
        let folder = root.join("target/bench/path");
        let fleet = Fleet::start(layout, &root.join("target/release"), &folder)
            .whatever_context("the fleet cannot be started")?;
        let history = Writer::open("", "bench", 0).whatever_context("no history")?;
        let operator = Operator::new(fleet.layout.platform(), history);
        let deadline = Instant::now() + START_TIMEOUT;
        while operator
            .accept(&snapshot, 0, "bench".to_owned())
            .await
            .is_err()
        {
            ensure_whatever!(Instant::now() < deadline, "the platform does not start");
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        let remote = Remote::default();
        let waiting = remote.wait_ready(&fleet.layout, 1, deadline).await;
        ensure_whatever!(waiting.is_empty(), "not ready in time: {waiting:?}");
        Ok(Self {
            fleet,
            snapshot,
            remote,
        })
    }

    /// Stops the fleet.
    pub fn stop(mut self) -> Result<(), Whatever> {
        let deadline = Instant::now() + STOP_TIMEOUT;
        let stopped = tokio::task::block_in_place(|| self.fleet.stop(deadline))
            .whatever_context("the fleet cannot be stopped")?;
        ensure_whatever!(stopped, "not every process stopped in time");
        Ok(())
    }

    /// Returns the servers.
    pub fn servers(&self) -> &[Server] {
        &self.fleet.layout.servers
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
            let text = self.remote.metrics(server).await.unwrap_or_default();
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
