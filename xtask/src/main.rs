//! Chores of the workspace.

mod cargo;
mod demo;
mod generate;
mod lint;
mod test;

use std::{path::Path, process::ExitCode};

use bpaf::Bpaf;
use snafu::Whatever;

/// Chores of the lentilshunt workspace.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options)]
enum Chore {
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
        Chore::Demo(arguments) => demo::run(root, &arguments),
        Chore::Generate { check } => generate::run(root, check),
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
