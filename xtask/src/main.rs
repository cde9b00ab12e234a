//! Development tasks of the workspace.

mod bench;
mod cargo;
mod chaos;
mod demo;
mod example;
mod lint;
mod metrics;
mod test;

use std::{path::Path, process::ExitCode};

use bpaf::Bpaf;
use snafu::Whatever;

/// Development tasks of the lentilshunt workspace.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options)]
enum Task {
    /// Runs a benchmark
    #[bpaf(command)]
    Bench(#[bpaf(external(bench::benchmark))] bench::Benchmark),
    /// Runs a fleet under faults and checks every invariant
    #[bpaf(command)]
    Chaos(#[bpaf(external(chaos::arguments))] chaos::Arguments),
    /// Starts a fleet, sends calls, changes the configuration and prints a report
    #[bpaf(command)]
    Demo(#[bpaf(external(demo::arguments))] demo::Arguments),
    /// Generates the types of messages and settings
    #[bpaf(command)]
    Generate {
        /// Compares with the committed files only
        check: bool,
    },
    /// Checks formatting, lints and documentation
    #[bpaf(command)]
    Lint,
    /// Runs everything that CI runs
    #[bpaf(command)]
    Test,
}

fn main() -> ExitCode {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"))
        .parent()
        .expect("xtask should be in the workspace");
    let result = match task().run() {
        Task::Bench(benchmark) => bench::run(root, &benchmark),
        Task::Chaos(arguments) => chaos::run(root, &arguments),
        Task::Demo(arguments) => demo::run(root, &arguments),
        Task::Generate { check } => lentilshunt_generate::run(root, check),
        Task::Lint => lint::run(root),
        Task::Test => test::run(root),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{}", format_error(&error));
            ExitCode::FAILURE
        }
    }
}

fn format_error(error: &Whatever) -> String {
    let mut text = error.to_string();
    let mut source = std::error::Error::source(error);
    while let Some(cause) = source {
        text = format!("{text}: {cause}");
        source = cause.source();
    }
    text
}
