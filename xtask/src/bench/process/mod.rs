//! Measures the resource use of control traffic in each node process, by fleet size.

mod report;
mod sample;

use std::{
    fs,
    path::Path,
    time::{Duration, Instant},
};

use bpaf::Bpaf;
use lentilshunt_core::config::{Pattern, Snapshot};
use lentilshunt_load::{
    fleet::{Layout, load_snapshot},
    testbed::Testbed,
};
use lentilshunt_net::history::Writer;
use snafu::{ResultExt, Whatever};

use self::{
    report::{FleetUsage, Report},
    sample::Sample,
};
use crate::cargo::cargo;

/// Example inventory.
const INVENTORY: &str = "andina";
/// Packages with the programs of the fleet.
const PACKAGES: [&str; 4] = ["-p", "lentilshunt-node", "-p", "lentilshunt-standin"];
/// Pause between configuration changes.
const CHANGE_INTERVAL: Duration = Duration::from_secs(2);

/// Arguments of the benchmark.
#[derive(Bpaf, Clone, Debug)]
pub struct Arguments {
    /// Second octet of the loopback addresses
    #[bpaf(argument("NETWORK"), fallback(25), display_fallback)]
    network: u8,
    /// Number of servers of each of the three services; one fleet size for each value
    #[bpaf(
        argument("SERVERS"),
        some("specify at least one number of servers"),
        fallback(vec![6, 12, 24])
    )]
    servers: Vec<usize>,
    /// Seconds to measure at rest, and again under changes
    #[bpaf(argument("SECONDS"), fallback(20), display_fallback)]
    duration: u64,
}

/// Runs the benchmark and writes `target/bench/process.json`.
///
/// # Errors
///
/// Returns an error when a fleet cannot be started, changed or stopped.
pub fn run(root: &Path, arguments: &Arguments) -> Result<(), Whatever> {
    let build = [&["build", "--release"], &PACKAGES[..]].concat();
    cargo(root, &build, &[])?;
    let runtime = tokio::runtime::Runtime::new().whatever_context("cannot create the runtime")?;
    let mut report = Report::new(arguments.network, arguments.duration);
    for servers in &arguments.servers {
        let usage = runtime.block_on(measure(root, arguments, *servers))?;
        println!("{usage}");
        report.sizes.push(usage);
    }
    let folder = root.join("target/bench");
    fs::create_dir_all(&folder).whatever_context("cannot create the report folder")?;
    let json =
        serde_json::to_string_pretty(&report).whatever_context("cannot encode the report")?;
    fs::write(folder.join("process.json"), json).whatever_context("cannot write the report")
}

/// Measures one fleet size, at rest and under changes.
async fn measure(
    root: &Path,
    arguments: &Arguments,
    servers: usize,
) -> Result<FleetUsage, Whatever> {
    let folder = root.join("examples").join(INVENTORY);
    let snapshot = load_snapshot(&folder).whatever_context("the example is invalid")?;
    let layout = Layout::new(&snapshot, servers, arguments.network);
    let history = Writer::open("", "bench", 0).whatever_context("cannot open the history")?;
    let programs = root.join("target/release");
    let folder = root.join("target/bench/process");
    let testbed = Testbed::start(layout, &snapshot, &programs, &folder, history)
        .await
        .whatever_context("the fleet failed to start")?;
    let period = Duration::from_secs(arguments.duration);

    let start = Sample::read(&testbed).await?;
    tokio::time::sleep(period).await;
    let after_rest = Sample::read(&testbed).await?;
    let changes = accept_changes(&testbed, &snapshot, Instant::now() + period).await?;
    let after_changes = Sample::read(&testbed).await?;
    let usage = FleetUsage::new(&start, &after_rest, &after_changes, changes);
    tokio::task::block_in_place(|| testbed.stop()).whatever_context("the fleet failed to stop")?;
    Ok(usage)
}

/// Accepts configuration changes until `ends_at` and returns their number.
async fn accept_changes(
    testbed: &Testbed,
    snapshot: &Snapshot,
    ends_at: Instant,
) -> Result<u64, Whatever> {
    let mut changes = 0;
    while Instant::now() < ends_at {
        let base = changes + 1;
        testbed
            .operator
            .accept(
                &with_additional_rule(snapshot, base),
                base,
                format!("change-{base}"),
            )
            .await
            .whatever_context("cannot accept a change")?;
        changes += 1;
        tokio::time::sleep(CHANGE_INTERVAL).await;
    }
    Ok(changes)
}

/// Returns the snapshot with an additional rule that differs for each version.
fn with_additional_rule(snapshot: &Snapshot, version: u64) -> Snapshot {
    let mut changed = snapshot.clone();
    if let Some(service) = changed.services.values_mut().next() {
        service.non_idempotent.push(Pattern {
            method: "PUT".to_owned(),
            path: format!("/change-{version}"),
        });
    }
    changed
}
