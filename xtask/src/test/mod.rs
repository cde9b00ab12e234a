//! Runs everything that CI runs.

mod known_failure;

use std::{
    fs,
    path::Path,
    process::{Command, Stdio},
};

use snafu::{ResultExt, Whatever, ensure_whatever};

use self::known_failure::KnownFailure;
use crate::{cargo::cargo, lint};

/// Checks generated code, formatting, lints and documentation, then runs all tests.
///
/// Tests listed in `KNOWN-RED.txt` are skipped and printed.
///
/// # Errors
///
/// Returns the error of the first step that fails, or an error when an entry of
/// `KNOWN-RED.txt` does not match exactly one test.
pub fn run(root: &Path) -> Result<(), Whatever> {
    lentilshunt_generate::run(root, true)?;
    lint::run(root)?;
    cargo(root, &["build", "--workspace"], &[])?;
    let known = read_known_failures(root)?;
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

/// Reads the tests that are known to fail and checks that each exists once.
fn read_known_failures(root: &Path) -> Result<Vec<KnownFailure>, Whatever> {
    let file = root.join("KNOWN-RED.txt");
    let text = fs::read_to_string(&file)
        .with_whatever_context(|_| format!("cannot read {}", file.display()))?;
    let known = known_failure::parse(&text).map_err(known_failure::into_error)?;
    if known.is_empty() {
        return Ok(known);
    }
    let list = list_tests(root)?;
    known_failure::check_entries(&known, &known_failure::test_names(&list))
        .map_err(known_failure::into_error)?;
    Ok(known)
}

/// Returns the terse lists of all test runners.
fn list_tests(root: &Path) -> Result<String, Whatever> {
    let arguments = ["test", "--workspace", "--", "--list", "--format", "terse"];
    let output = Command::new(env!("CARGO"))
        .args(arguments)
        .current_dir(root)
        .stderr(Stdio::inherit())
        .output()
        .whatever_context("cannot start cargo")?;
    ensure_whatever!(output.status.success(), "cannot list the tests");
    String::from_utf8(output.stdout).whatever_context("the list of tests is not UTF-8")
}
