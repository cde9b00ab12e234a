//! Runs everything that CI runs.

use std::path::Path;

use snafu::Whatever;

use crate::{cargo::cargo, lint};

/// Checks generated code, format, lints and documentation, then runs all tests.
///
/// # Errors
///
/// Returns an error for the first step that fails.
pub fn run(root: &Path) -> Result<(), Whatever> {
    lentilshunt_generate::run(root, true)?;
    lint::run(root)?;
    cargo(root, &["build", "--workspace"], &[])?;
    cargo(root, &["test", "--workspace", "--no-fail-fast"], &[])
}
