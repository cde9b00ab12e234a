//! Runs cargo.

use std::{path::Path, process::Command};

use snafu::{ResultExt, Whatever, ensure_whatever};

/// Runs cargo with arguments and extra environment variables.
///
/// # Errors
///
/// Returns an error when cannot start cargo or does not succeed.
pub fn cargo(root: &Path, arguments: &[&str], variables: &[(&str, &str)]) -> Result<(), Whatever> {
    let status = Command::new(env!("CARGO"))
        .args(arguments)
        .envs(variables.iter().copied())
        .current_dir(root)
        .status()
        .whatever_context("cannot start cargo")?;
    ensure_whatever!(status.success(), "cargo {} failed", arguments.join(" "));
    Ok(())
}
