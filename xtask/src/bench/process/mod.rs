//! Measures what control costs each node process, by the size of the fleet.

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
    report::{Report, Size},
    sample::Sample,
};
use crate::cargo::cargo;

/// Example inventory.
const INVENTORY: &str = "andina";
/// Programs that the fleet consists of.
const PACKAGES: [&str; 4] = ["-p", "lentilshunt-node", "-p", "lentilshunt-standin"];
/// Pause between two changes of the configuration.
const CHANGE_INTERVAL: Duration = Duration::from_secs(2);

/// Arguments of the measurement.
#[derive(Bpaf, Clone, Debug)]
pub struct Arguments {
    /// Second part of the loopback addresses
    #[bpaf(argument("NETWORK"), fallback(25), display_fallback)]
    network: u8,
    /// Servers of each of the three services, one size of fleet each
    #[bpaf(
        argument("SERVERS"),
        some("name a size"),
        fallback(vec![6, 12, 24])
    )]
    servers: Vec<usize>,
    /// Seconds at rest, and again under changes
    #[bpaf(argument("SECONDS"), fallback(20), display_fallback)]
    duration: u64,
}

/// Runs the measurement and writes `target/bench/process.json`.
///
/// # Errors
///
/// Returns an error when a fleet cannot be started, changed or stopped.
pub fn run(root: &Path, arguments: &Arguments) -> Result<(), Whatever> {
    let build = [&["build", "--release"], &PACKAGES[..]].concat();
    cargo(root, &build, &[])?;
    let runtime = tokio::runtime::Runtime::new().whatever_context("no runtime")?;
    let mut report = Report::new(arguments.network, arguments.duration);
    for servers in &arguments.servers {
        let size = runtime.block_on(measure(root, arguments, *servers))?;
        println!("{size}");
        report.sizes.push(size);
    }
    let folder = root.join("target/bench");
    fs::create_dir_all(&folder).whatever_context("no folder for the report")?;
    let json = serde_json::to_string_pretty(&report).whatever_context("no report")?;
    fs::write(folder.join("process.json"), json).whatever_context("the report cannot be written")
}

/// Measures one size of fleet, at rest and under changes.
async fn measure(root: &Path, arguments: &Arguments, servers: usize) -> Result<Size, Whatever> {
    let folder = root.join("examples").join(INVENTORY);
    let snapshot = load_snapshot(&folder).whatever_context("the example is invalid")?;
    let layout = Layout::new(&snapshot, servers, arguments.network);
    let history = Writer::open("", "bench", 0).whatever_context("no history")?;
    let programs = root.join("target/release");
    let folder = root.join("target/bench/process");
    let testbed = Testbed::start(layout, &snapshot, &programs, &folder, history)
        .await
        .whatever_context("the fleet does not start")?;
    let period = Duration::from_secs(arguments.duration);

    let begun = Sample::take(&testbed).await?;
    tokio::time::sleep(period).await;
    let rested = Sample::take(&testbed).await?;
    let changes = change(&testbed, &snapshot, Instant::now() + period).await?;
    let ended = Sample::take(&testbed).await?;
    let size = Size::new(&begun, &rested, &ended, changes);
    tokio::task::block_in_place(|| testbed.stop()).whatever_context("the fleet does not stop")?;
    Ok(size)
}

/// Accepts changes of the configuration until an instant and returns their number.
async fn change(testbed: &Testbed, snapshot: &Snapshot, ends_at: Instant) -> Result<u64, Whatever> {
    let mut changes = 0;
    while Instant::now() < ends_at {
        let base = changes + 1;
        testbed
            .operator
            .accept(&changed(snapshot, base), base, format!("change-{base}"))
            .await
            .whatever_context("a change was not accepted")?;
        changes += 1;
        tokio::time::sleep(CHANGE_INTERVAL).await;
    }
    Ok(changes)
}

/// Returns the snapshot with one more rule, another one for each version.
fn changed(snapshot: &Snapshot, version: u64) -> Snapshot {
    let mut changed = snapshot.clone();
    if let Some(service) = changed.services.values_mut().next() {
        service.non_idempotent.push(Pattern {
            method: "PUT".to_owned(),
            path: format!("/change-{version}"),
        });
    }
    changed
}
