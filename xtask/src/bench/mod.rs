//! Measures ways to do one thing side by side.

mod dissemination;
mod path;
mod process;

use std::path::Path;

use bpaf::Bpaf;
use snafu::Whatever;

/// What is measured.
#[derive(Bpaf, Clone, Debug)]
pub enum Matter {
    /// Measures how versions and records reach every node
    #[bpaf(command)]
    Dissemination(#[bpaf(external(dissemination::arguments))] dissemination::Arguments),
    /// Measures latency and goodput of calls
    #[bpaf(command)]
    Path(#[bpaf(external(path::arguments))] path::Arguments),
    /// Measures what control costs each node process
    #[bpaf(command)]
    Process(#[bpaf(external(process::arguments))] process::Arguments),
}

/// Runs a measurement.
///
/// # Errors
///
/// Returns an error when the measurement cannot be made.
pub fn run(root: &Path, matter: &Matter) -> Result<(), Whatever> {
    match matter {
        Matter::Dissemination(arguments) => dissemination::run(root, arguments),
        Matter::Path(arguments) => path::run(root, arguments),
        Matter::Process(arguments) => process::run(root, arguments),
    }
}
