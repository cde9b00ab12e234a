//! Measures latency and goodput of calls.

use std::path::Path;

use bpaf::Bpaf;
use snafu::Whatever;

/// Arguments of the measurement.
#[derive(Bpaf, Clone, Debug)]
pub struct Arguments {
    /// Seed of all random choices
    #[bpaf(argument("SEED"), fallback(1), display_fallback)]
    seed: u64,
}

/// Runs the measurement.
///
/// # Errors
///
/// Returns an error: the measurement is not built yet.
pub fn run(_root: &Path, arguments: &Arguments) -> Result<(), Whatever> {
    snafu::whatever!("not built yet, seed {}", arguments.seed)
}
