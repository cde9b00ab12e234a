//! Compiles the configuration that a fleet starts with.

use std::{fs, io, path::Path};

use lentilshunt_core::config::{Snapshot, Source, compile};

/// Files that make up a configuration.
const FILES: [&str; 2] = ["inventory.ini", "rules.ini"];

/// Compiles the inventory and the rules of a folder.
///
/// # Errors
///
/// Returns an error when a file cannot be read or is invalid.
pub fn load_snapshot(folder: &Path) -> io::Result<Snapshot> {
    let mut sources = Vec::new();
    for file in FILES {
        let file = folder.join(file);
        sources.push((file.display().to_string(), fs::read(&file)?));
    }
    let sources: Vec<Source<'_>> = sources
        .iter()
        .map(|(name, bytes)| Source { name, bytes })
        .collect();
    compile(&sources).map_err(|problems| io::Error::other(problems.to_string()))
}
