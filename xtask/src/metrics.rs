//! Checks that every metric stands on its page.

use std::{collections::BTreeSet, fs, path::Path};

use snafu::{ResultExt, Whatever, ensure_whatever};

/// Page that lists the metrics.
const PAGE: &str = "docs/operate/metrics.md";
/// Start of the names of metrics, as string literals in the code.
const PREFIX: &str = "\"lentilshunt_";

/// Compares the metrics in the code with those on the page.
///
/// # Errors
///
/// Returns an error when a file cannot be read, or when a metric is missing
/// from the page.
pub fn check(root: &Path) -> Result<(), Whatever> {
    let page = read(&root.join(PAGE))?;
    let mut names = BTreeSet::new();
    collect(&root.join("crates/lentilshunt-node/src"), &mut names)?;
    let missing: Vec<String> = names
        .into_iter()
        .filter(|name| !page.contains(&format!("`{name}`")))
        .collect();
    ensure_whatever!(
        missing.is_empty(),
        "{PAGE} does not describe {}",
        missing.join(", ")
    );
    Ok(())
}

/// Collects the names of metrics in the files of a folder.
fn collect(folder: &Path, names: &mut BTreeSet<String>) -> Result<(), Whatever> {
    let entries = fs::read_dir(folder)
        .with_whatever_context(|_| format!("cannot read {}", folder.display()))?;
    for entry in entries {
        let path = entry.whatever_context("cannot read a folder entry")?.path();
        if path.is_dir() {
            collect(&path, names)?;
        } else {
            names.extend(literals(&read(&path)?));
        }
    }
    Ok(())
}

/// Returns the names of metrics in a file.
fn literals(code: &str) -> BTreeSet<String> {
    code.split(PREFIX)
        .skip(1)
        .filter_map(|rest| rest.split_once('"'))
        .map(|(name, _)| format!("lentilshunt_{name}"))
        .collect()
}

fn read(path: &Path) -> Result<String, Whatever> {
    fs::read_to_string(path).with_whatever_context(|_| format!("cannot read {}", path.display()))
}
