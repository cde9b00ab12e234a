//! Loading of example configurations.

use std::path::Path;

use lentilshunt_core::config::Snapshot;
use lentilshunt_load::fleet;
use snafu::{ResultExt, Whatever};

/// Compiles the inventory and rules of an example.
///
/// # Errors
///
/// Returns an error when a file cannot be read or is invalid.
pub fn load_example(root: &Path, name: &str) -> Result<Snapshot, Whatever> {
    let folder = root.join("examples").join(name);
    fleet::load_snapshot(&folder).with_whatever_context(|_| format!("cannot load example {name}"))
}
