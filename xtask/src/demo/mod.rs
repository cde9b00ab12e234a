//! Starts a fleet, sends calls, changes the configuration and prints a report.

mod fleet;

use std::{fs, path::Path};

use bpaf::Bpaf;
use lentilshunt_load::report::Report;
use snafu::{ResultExt, Whatever, ensure_whatever};

use self::fleet::DemoFleet;
use crate::{cargo::cargo, example::load_example};

/// Arguments of the demo.
#[derive(Bpaf, Clone, Debug)]
pub struct Arguments {
    /// Example inventory
    #[bpaf(argument("NAME"), fallback("andina".to_owned()), display_fallback)]
    inventory: String,
    /// Seed of all random choices
    #[bpaf(argument("SEED"), fallback(1), display_fallback)]
    seed: u64,
    /// Duration of the load in seconds
    #[bpaf(argument("SECONDS"), fallback(20), display_fallback)]
    duration: u64,
    /// Calls per second
    #[bpaf(argument("RATE"), fallback(400.0), display_fallback)]
    rate: f64,
    /// Second octet of the loopback addresses
    #[bpaf(argument("NETWORK"), fallback(20), display_fallback)]
    network: u8,
    /// Builds and runs programs in release mode
    release: bool,
}

/// Runs the demo and writes `target/demo/report.json`.
///
/// # Errors
///
/// Returns an error when a step fails or an invariant is violated.
pub fn run(root: &Path, arguments: &Arguments) -> Result<(), Whatever> {
    let mut build = vec!["build", "--workspace"];
    if arguments.release {
        build.push("--release");
    }
    cargo(root, &build, &[])?;
    let snapshot = load_example(root, &arguments.inventory)?;
    let runtime = tokio::runtime::Runtime::new().whatever_context("cannot create the runtime")?;
    let report = runtime.block_on(run_steps(root, arguments, snapshot))?;
    println!("\n{report}");
    let json =
        serde_json::to_string_pretty(&report).whatever_context("cannot encode the report")?;
    let file = root.join("target/demo/report.json");
    fs::write(&file, json).whatever_context("cannot write the report")?;
    println!("written to {}", file.display());
    ensure_whatever!(!report.has_violation(), "an invariant is violated");
    Ok(())
}

async fn run_steps(
    root: &Path,
    arguments: &Arguments,
    snapshot: lentilshunt_core::config::Snapshot,
) -> Result<Report, Whatever> {
    let mut fleet = DemoFleet::start(root, arguments, snapshot)?;
    fleet.accept_initial_version().await?;
    fleet.wait_ready("the start").await?;
    let load = fleet.start_load();
    fleet.change_under_load().await?;
    fleet.restart_under_load().await?;
    let latency = load.finish().await?;
    fleet.finish(latency).await
}
