//! Reads and compiles the files on the command line.

use std::{
    fs::File,
    io::{self, Read},
    path::{Path, PathBuf},
};

use lentilshunt_core::config::{Compiled, Source, compile_with_warnings};
use lentilshunt_schema::ini::{Problem, Problems};

/// Maximum number of bytes that are read of a file; longer files are refused.
const MAX_READ_BYTES: u64 = 16 * 1024 * 1024;

/// Compiles inventory and rules files.
pub(super) fn compile_files(files: &[PathBuf]) -> Result<Compiled, Problems> {
    let mut contents = Vec::new();
    let mut problems = Vec::new();
    for file in files {
        let name = file.display().to_string();
        match read(file) {
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
    compile_with_warnings(&sources)
}

fn read(file: &Path) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    let mut reader = File::open(file)?.take(MAX_READ_BYTES);
    reader.read_to_end(&mut bytes)?;
    Ok(bytes)
}

/// Prints warnings to the standard error stream.
pub(super) fn print_warnings(warnings: &Problems) {
    for warning in &warnings.0 {
        eprintln!("warning: {warning}");
    }
}
