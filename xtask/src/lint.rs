//! Checks formatting, lints and documentation.

use std::path::Path;

use snafu::Whatever;

use crate::{cargo::cargo, metrics};

/// Checks the metrics page, formatting, lints and documentation; warnings are errors.
///
/// # Errors
///
/// Returns the error of the first check that fails.
pub fn run(root: &Path) -> Result<(), Whatever> {
    metrics::check(root)?;
    cargo(root, &["fmt", "--all", "--check"], &[])?;
    let clippy = [
        "clippy",
        "--workspace",
        "--all-targets",
        "--",
        "-D",
        "warnings",
    ];
    cargo(root, &clippy, &[])?;
    let doc = [
        "doc",
        "--workspace",
        "--no-deps",
        "--document-private-items",
    ];
    cargo(root, &doc, &[("RUSTDOCFLAGS", "-D warnings")])
}
