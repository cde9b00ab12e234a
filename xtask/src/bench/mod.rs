//! Benchmarks.

mod dissemination;
mod overload;
mod path;
mod process;

use std::path::Path;

use bpaf::Bpaf;
use snafu::Whatever;

/// Benchmark.
#[derive(Bpaf, Clone, Debug)]
pub enum Benchmark {
    /// Measures how versions and records are distributed to every node
    #[bpaf(command)]
    Dissemination(#[bpaf(external(dissemination::arguments))] dissemination::Arguments),
    /// Compares decisions under load with baselines, in a simulation
    #[bpaf(command)]
    Overload(#[bpaf(external(overload::arguments))] overload::Arguments),
    /// Measures latency and goodput of calls
    #[bpaf(command)]
    Path(#[bpaf(external(path::arguments))] path::Arguments),
    /// Measures the resource use of control traffic in each node process
    #[bpaf(command)]
    Process(#[bpaf(external(process::arguments))] process::Arguments),
}

/// Runs a benchmark.
///
/// # Errors
///
/// Returns an error when the benchmark fails.
pub fn run(root: &Path, benchmark: &Benchmark) -> Result<(), Whatever> {
    match benchmark {
        Benchmark::Dissemination(arguments) => dissemination::run(root, arguments),
        Benchmark::Overload(arguments) => overload::run(root, arguments),
        Benchmark::Path(arguments) => path::run(root, arguments),
        Benchmark::Process(arguments) => process::run(root, arguments),
    }
}
