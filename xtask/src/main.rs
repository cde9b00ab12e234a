//! Chores of the workspace.

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

/// Chores of the lentilshunt workspace.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options)]
enum Chore {
    /// Measures ways to do one thing side by side
    #[bpaf(command)]
    Bench(#[bpaf(external(bench::matter))] bench::Matter),
    /// Runs a fleet under faults and checks every promise
    #[bpaf(command)]
    Chaos(#[bpaf(external(chaos::arguments))] chaos::Arguments),
    /// Starts a fleet, calls it, changes its configuration and reports
    #[bpaf(command)]
    Demo(#[bpaf(external(demo::arguments))] demo::Arguments),
    /// Generates the types of messages and settings
    #[bpaf(command)]
    Generate {
        /// Only compares with the committed files
        check: bool,
    },
    /// Checks format, lints and documentation
    #[bpaf(command)]
    Lint,
    /// Runs everything that CI runs
    #[bpaf(command)]
    Test,
}

fn main() -> ExitCode {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"))
        .parent()
        .expect("xtask lies in the workspace");
    let result = match chore().run() {
        Chore::Bench(matter) => bench::run(root, &matter),
        Chore::Chaos(arguments) => chaos::run(root, &arguments),
        Chore::Demo(arguments) => demo::run(root, &arguments),
        Chore::Generate { check } => lentilshunt_generate::run(root, check),
        Chore::Lint => lint::run(root),
        Chore::Test => test::run(root),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{}", report(&error));
            ExitCode::FAILURE
        }
    }
}

fn report(error: &Whatever) -> String {
    let mut text = error.to_string();
    let mut source = std::error::Error::source(error);
    while let Some(cause) = source {
        text = format!("{text}: {cause}");
        source = cause.source();
    }
    text
}
