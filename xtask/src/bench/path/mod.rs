//! Measures latency, goodput and locality of calls.

mod client;
mod fleet;
mod goodput;
mod latency;
mod report;

use std::{fs, path::Path};

use bpaf::Bpaf;
use lentilshunt_load::testbed::StealTime;
use snafu::{ResultExt, Whatever};

use self::report::Report;
use crate::cargo::cargo;

/// Packages with the programs of the fleet.
const PACKAGES: [&str; 4] = ["-p", "lentilshunt-node", "-p", "lentilshunt-standin"];

/// Arguments of the benchmark.
#[derive(Bpaf, Clone, Debug)]
pub struct Arguments {
    /// Seed of all random choices
    #[bpaf(argument("SEED"), fallback(1), display_fallback)]
    seed: u64,
    /// Second octet of the loopback addresses
    #[bpaf(argument("NETWORK"), fallback(55), display_fallback)]
    network: u8,
    /// Seconds of each step
    #[bpaf(argument("SECONDS"), fallback(4), display_fallback)]
    duration: u64,
    /// Skips the latency measurement
    skip_latency: bool,
    /// Skips the goodput measurement
    skip_goodput: bool,
}

/// Runs the benchmark and writes `target/bench/path.json`.
///
/// # Errors
///
/// Returns an error when a step fails; a missed target is reported but is not an error.
pub fn run(root: &Path, arguments: &Arguments) -> Result<(), Whatever> {
    let build = [&["build", "--release"], &PACKAGES[..]].concat();
    cargo(root, &build, &[])?;
    let runtime = tokio::runtime::Runtime::new().whatever_context("cannot create the runtime")?;
    let report = runtime.block_on(measure(root, arguments))?;
    println!("{report}");
    let folder = root.join("target/bench");
    fs::create_dir_all(&folder).whatever_context("cannot create the report folder")?;
    let json =
        serde_json::to_string_pretty(&report).whatever_context("cannot encode the report")?;
    fs::write(folder.join("path.json"), json).whatever_context("cannot write the report")
}

async fn measure(root: &Path, arguments: &Arguments) -> Result<Report, Whatever> {
    let mut report = Report::new(arguments.seed, arguments.network, arguments.duration);
    let steal = StealTime::start();
    if !arguments.skip_latency {
        report.latency = latency::measure(root, arguments).await?;
    }
    if !arguments.skip_goodput {
        report.goodput = goodput::measure(root, arguments).await?;
    }
    report.steal_percent = steal.percent();
    report.load_after = report::load_averages();
    Ok(report)
}
