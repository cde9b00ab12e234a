//! Checks that every metric is documented.

use std::{collections::BTreeSet, fs, path::Path};

use snafu::{ResultExt, Whatever, ensure_whatever};

/// Page that documents the metrics.
const METRICS_PAGE: &str = "docs/operate/metrics.md";
/// Start of a string literal with the name of a metric.
const METRIC_LITERAL_PREFIX: &str = "\"lentilshunt_";

/// Checks that the metrics page contains every metric in the code.
///
/// # Errors
///
/// Returns an error when a file cannot be read, or when a metric is missing
/// from the page.
pub fn check(root: &Path) -> Result<(), Whatever> {
    let page = read(&root.join(METRICS_PAGE))?;
    let mut names = BTreeSet::new();
    collect_names(&root.join("crates/lentilshunt-node/src"), &mut names)?;
    let missing: Vec<String> = names
        .into_iter()
        .filter(|name| !page.contains(&format!("`{name}`")))
        .collect();
    ensure_whatever!(
        missing.is_empty(),
        "{METRICS_PAGE} does not describe {}",
        missing.join(", ")
    );
    Ok(())
}

/// Collects the names of metrics in the files of a folder and its subfolders.
fn collect_names(folder: &Path, names: &mut BTreeSet<String>) -> Result<(), Whatever> {
    let entries = fs::read_dir(folder)
        .with_whatever_context(|_| format!("cannot read {}", folder.display()))?;
    for entry in entries {
        let path = entry
            .whatever_context("cannot read a directory entry")?
            .path();
        if path.is_dir() {
            collect_names(&path, names)?;
        } else {
            names.extend(metric_names(&read(&path)?));
        }
    }
    Ok(())
}

/// Returns the names of metrics in a file.
fn metric_names(code: &str) -> BTreeSet<String> {
    code.split(METRIC_LITERAL_PREFIX)
        .skip(1)
        .filter_map(|rest| rest.split_once('"'))
        .map(|(name, _)| format!("lentilshunt_{name}"))
        .collect()
}

fn read(path: &Path) -> Result<String, Whatever> {
    fs::read_to_string(path).with_whatever_context(|_| format!("cannot read {}", path.display()))
}
