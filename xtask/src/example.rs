//! Compiles an example configuration.

use std::{fs, path::Path};

use lentilshunt_core::config::{Snapshot, Source, compile};
use snafu::{ResultExt, Whatever};

/// Compiles the inventory and rules of an example.
///
/// # Errors
///
/// Returns an error when a file cannot be read or is invalid.
pub fn example(root: &Path, name: &str) -> Result<Snapshot, Whatever> {
    let folder = root.join("examples").join(name);
    let mut sources = Vec::new();
    for file in ["inventory.ini", "rules.ini"] {
        let file = folder.join(file);
        let bytes =
            fs::read(&file).with_whatever_context(|_| format!("cannot read {}", file.display()))?;
        sources.push((file.display().to_string(), bytes));
    }
    let sources: Vec<Source<'_>> = sources
        .iter()
        .map(|(name, bytes)| Source { name, bytes })
        .collect();
    compile(&sources).whatever_context("the example is invalid")
}
