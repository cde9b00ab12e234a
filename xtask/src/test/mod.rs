//! Runs everything that CI runs.

mod known;

use std::{
    fs,
    path::Path,
    process::{Command, Stdio},
};

use snafu::{ResultExt, Whatever, ensure_whatever};

use self::known::Known;
use crate::{cargo::cargo, lint};

/// Checks generated code, format, lints and documentation, then runs all tests.
///
/// The tests that `KNOWN-RED.txt` names are printed and passed over.
///
/// # Errors
///
/// Returns an error for the first step that fails, or when `KNOWN-RED.txt`
/// names something else than one test.
pub fn run(root: &Path) -> Result<(), Whatever> {
    lentilshunt_generate::run(root, true)?;
    lint::run(root)?;
    cargo(root, &["build", "--workspace"], &[])?;
    let known = known_failures(root)?;
    let mut arguments = vec!["test", "--workspace", "--no-fail-fast", "--", "--exact"];
    for entry in &known {
        arguments.extend(["--skip", &entry.test]);
    }
    cargo(root, &arguments, &[])?;
    for entry in &known {
        println!("known to fail, not run: {entry}");
    }
    Ok(())
}

/// Reads the tests that are known to fail, each of which must be one test.
fn known_failures(root: &Path) -> Result<Vec<Known>, Whatever> {
    let file = root.join("KNOWN-RED.txt");
    let text = fs::read_to_string(&file)
        .with_whatever_context(|_| format!("cannot read {}", file.display()))?;
    let known = known::read(&text).map_err(known::whatever)?;
    if known.is_empty() {
        return Ok(known);
    }
    let list = list(root)?;
    known::check(&known, &known::tests(&list)).map_err(known::whatever)?;
    Ok(known)
}

/// Returns what the test runners list.
fn list(root: &Path) -> Result<String, Whatever> {
    let arguments = ["test", "--workspace", "--", "--list", "--format", "terse"];
    let output = Command::new(env!("CARGO"))
        .args(arguments)
        .current_dir(root)
        .stderr(Stdio::inherit())
        .output()
        .whatever_context("cargo cannot be started")?;
    ensure_whatever!(output.status.success(), "the tests cannot be listed");
    String::from_utf8(output.stdout).whatever_context("the list of tests is not text")
}
