//! Starts a fleet, calls it, changes its configuration and reports.

mod scene;

use std::{fs, path::Path};

use bpaf::Bpaf;
use lentilshunt_load::report::Report;
use snafu::{ResultExt, Whatever, ensure_whatever};

use self::scene::Scene;
use crate::{cargo::cargo, example::example};

/// Arguments of the demo.
#[derive(Bpaf, Clone, Debug)]
pub struct Arguments {
    /// Example inventory
    #[bpaf(argument("NAME"), fallback("andina".to_owned()), display_fallback)]
    inventory: String,
    /// Seed of all random choices
    #[bpaf(argument("SEED"), fallback(1), display_fallback)]
    seed: u64,
    /// Seconds under load
    #[bpaf(argument("SECONDS"), fallback(20), display_fallback)]
    duration: u64,
    /// Calls each second
    #[bpaf(argument("RATE"), fallback(400.0), display_fallback)]
    rate: f64,
    /// Second part of the loopback addresses
    #[bpaf(argument("NETWORK"), fallback(20), display_fallback)]
    network: u8,
    /// Builds and runs optimised programs
    release: bool,
}

/// Runs the demo and writes `target/demo/report.json`.
///
/// # Errors
///
/// Returns an error when a step fails or a promise was broken.
pub fn run(root: &Path, arguments: &Arguments) -> Result<(), Whatever> {
    let mut build = vec!["build", "--workspace"];
    if arguments.release {
        build.push("--release");
    }
    cargo(root, &build, &[])?;
    let snapshot = example(root, &arguments.inventory)?;
    let runtime = tokio::runtime::Runtime::new().whatever_context("no runtime")?;
    let report = runtime.block_on(play(root, arguments, snapshot))?;
    println!("\n{report}");
    let json = serde_json::to_string_pretty(&report).whatever_context("no report")?;
    let file = root.join("target/demo/report.json");
    fs::write(&file, json).whatever_context("the report cannot be written")?;
    println!("written to {}", file.display());
    ensure_whatever!(!report.has_violation(), "a promise was broken");
    Ok(())
}

async fn play(
    root: &Path,
    arguments: &Arguments,
    snapshot: lentilshunt_core::config::Snapshot,
) -> Result<Report, Whatever> {
    let mut scene = Scene::start(root, arguments, snapshot)?;
    scene.accept_first().await?;
    scene.wait_ready("the start").await?;
    let load = scene.call();
    scene.change_under_load().await?;
    scene.restart_under_load().await?;
    let latency = load.end().await?;
    scene.report(latency).await
}
