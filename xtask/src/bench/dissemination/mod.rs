//! Measures how versions and records are distributed to every node.
//!
//! Each strategy runs with the same fleet, seed, changes and churn, in virtual time.

mod measure;
mod plot;
mod strategy_kind;
mod table;

use std::{fs, path::Path};

use bpaf::Bpaf;
use snafu::{ResultExt, Whatever};

use self::{measure::measure, strategy_kind::StrategyKind};
use crate::cargo::cargo;

/// Arguments of the benchmark.
#[derive(Bpaf, Clone, Debug)]
pub struct Arguments {
    /// Seed of all random choices
    #[bpaf(argument("SEED"), fallback(1), display_fallback)]
    seed: u64,
    /// Fleet sizes in nodes, separated by commas
    #[bpaf(argument("NODES"), fallback("18,36,72,144,510".to_owned()), display_fallback)]
    nodes: String,
    /// Strategies to measure, separated by commas
    #[bpaf(argument("WAYS"), fallback("poll,tree,epidemic,hybrid".to_owned()), display_fallback)]
    ways: String,
}

/// Runs the benchmark and writes `target/bench/dissemination.json`, `.md` and `.svg`.
///
/// # Errors
///
/// Returns an error when the arguments are invalid or a file cannot be written.
pub fn run(root: &Path, arguments: &Arguments) -> Result<(), Whatever> {
    if cfg!(debug_assertions) {
        return run_release_build(root, arguments);
    }
    let mut results = Vec::new();
    for nodes in arguments.nodes.split(',') {
        let nodes = nodes
            .trim()
            .parse()
            .whatever_context("invalid number of nodes")?;
        let names = arguments.ways.split(',');
        let is_selected =
            |strategy: &StrategyKind| names.clone().any(|name| name.trim() == strategy.name());
        for strategy in StrategyKind::ALL.into_iter().filter(is_selected) {
            let result = measure(strategy, nodes, arguments.seed);
            println!("{}", table::summary_line(&result));
            results.push(result);
        }
        write_results(root, &results)?;
    }
    Ok(())
}

fn write_results(root: &Path, results: &[measure::Measurement]) -> Result<(), Whatever> {
    let folder = root.join("target/bench");
    fs::create_dir_all(&folder).whatever_context("cannot create the report folder")?;
    let json =
        serde_json::to_string_pretty(results).whatever_context("cannot encode the report")?;
    fs::write(folder.join("dissemination.json"), json)
        .whatever_context("cannot write the report")?;
    fs::write(folder.join("dissemination.md"), table::markdown(results))
        .whatever_context("cannot write the table")?;
    plot::draw(&folder.join("dissemination.svg"), results)
}

/// Runs the benchmark in a release build, because it measures CPU time.
fn run_release_build(root: &Path, arguments: &Arguments) -> Result<(), Whatever> {
    let seed = arguments.seed.to_string();
    let cargo_arguments = [
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
    cargo(root, &cargo_arguments, &[])
}
