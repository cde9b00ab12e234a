//! Measures how versions and records reach every node.
//!
//! Each way runs over the same fleet, seed, changes and churn, in virtual time.

mod measure;
mod plot;
mod table;
mod way;

use std::{fs, path::Path};

use bpaf::Bpaf;
use snafu::{ResultExt, Whatever};

use self::{measure::measure, way::Way};
use crate::cargo::cargo;

/// Arguments of the measurement.
#[derive(Bpaf, Clone, Debug)]
pub struct Arguments {
    /// Seed of all random choices
    #[bpaf(argument("SEED"), fallback(1), display_fallback)]
    seed: u64,
    /// Numbers of nodes, separated by commas
    #[bpaf(argument("NODES"), fallback("18,36,72,144,510".to_owned()), display_fallback)]
    nodes: String,
    /// Ways to measure, separated by commas
    #[bpaf(argument("WAYS"), fallback("poll,tree,epidemic,hybrid".to_owned()), display_fallback)]
    ways: String,
}

/// Runs the measurement and writes `target/bench/dissemination.json` and `.svg`.
///
/// # Errors
///
/// Returns an error when the arguments are invalid or a file cannot be written.
pub fn run(root: &Path, arguments: &Arguments) -> Result<(), Whatever> {
    if cfg!(debug_assertions) {
        return run_optimised(root, arguments);
    }
    let mut results = Vec::new();
    for nodes in arguments.nodes.split(',') {
        let nodes = nodes
            .trim()
            .parse()
            .whatever_context("invalid number of nodes")?;
        let ways = arguments.ways.split(',');
        let chosen = |way: &Way| ways.clone().any(|name| name.trim() == way.name());
        for way in Way::ALL.into_iter().filter(chosen) {
            let result = measure(way, nodes, arguments.seed);
            println!("{}", table::line(&result));
            results.push(result);
        }
        store(root, &results)?;
    }
    Ok(())
}

fn store(root: &Path, results: &[measure::Result]) -> Result<(), Whatever> {
    let folder = root.join("target/bench");
    fs::create_dir_all(&folder).whatever_context("the folder cannot be created")?;
    let json = serde_json::to_string_pretty(results).whatever_context("no report")?;
    fs::write(folder.join("dissemination.json"), json)
        .whatever_context("the report cannot be written")?;
    fs::write(folder.join("dissemination.md"), table::markdown(results))
        .whatever_context("the table cannot be written")?;
    plot::draw(&folder.join("dissemination.svg"), results)
}

/// Runs the measurement in an optimised build, as processor time is part of it.
fn run_optimised(root: &Path, arguments: &Arguments) -> Result<(), Whatever> {
    let seed = arguments.seed.to_string();
    let words = [
        "run",
        "--quiet",
        "--release",
        "--package",
        "xtask",
        "--",
        "bench",
        "dissemination",
        "--seed",
        &seed,
        "--nodes",
        &arguments.nodes,
        "--ways",
        &arguments.ways,
    ];
    cargo(root, &words, &[])
}
