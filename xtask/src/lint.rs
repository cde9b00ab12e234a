//! Checks format, lints and documentation.

use std::path::Path;

use snafu::Whatever;

use crate::{cargo::cargo, metrics};

/// Checks the page of metrics, the format, the lints and the documentation, all strictly.
///
/// # Errors
///
/// Returns an error for the first check that fails.
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
