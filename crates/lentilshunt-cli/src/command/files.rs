//! Reads the files that a command names.

use std::{fs, path::PathBuf};

use lentilshunt_core::config::{Snapshot, Source, compile};
use lentilshunt_schema::ini::{Problem, Problems};

/// Compiles the files of an inventory and its rules.
pub(super) fn compile_files(files: &[PathBuf]) -> Result<Snapshot, Problems> {
    let mut contents = Vec::new();
    let mut problems = Vec::new();
    for file in files {
        let name = file.display().to_string();
        match fs::read(file) {
            Ok(bytes) => contents.push((name, bytes)),
            Err(error) => {
                let message = format!("the file cannot be read: {error}");
                problems.push(Problem::new(&name, message));
            }
        }
    }
    if !problems.is_empty() {
        return Err(Problems(problems));
    }
    let sources: Vec<Source<'_>> = contents
        .iter()
        .map(|(name, bytes)| Source { name, bytes })
        .collect();
    compile(&sources)
}
