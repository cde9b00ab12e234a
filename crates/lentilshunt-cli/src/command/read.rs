//! Commands that only read files or versions.

use std::path::PathBuf;

use lentilshunt_core::{
    config::{Difference, Head, IniText},
    id::VersionId,
};
use serde_json::json;

use super::{Access, Failure, access::client, files, output::print};
use crate::version::{self, Reader};

/// Checks files.
pub(super) fn check(json: bool, files: &[PathBuf]) -> Result<(), Failure> {
    let compiled = files::compile_files(files)?;
    let snapshot = &compiled.snapshot;
    let digest = snapshot.manifest().digest();
    if json {
        let services = snapshot.services.len();
        let domains = snapshot.topology.domains.len();
        let warnings = &compiled.warnings;
        let report = json!({
            "digest": digest,
            "domains": domains,
            "services": services,
            "warnings": warnings,
        });
        print(&report)?;
    } else {
        files::print_warnings(&compiled.warnings);
        print(&format!("valid {digest}"))?;
    }
    Ok(())
}

/// Shows the difference between two versions, or between a version and files.
pub(super) async fn diff(
    access: &Access,
    json: bool,
    from: Option<VersionId>,
    to: Option<VersionId>,
    files: &[PathBuf],
) -> Result<(), Failure> {
    let client = client(&access.settings()?);
    let reader = Reader::new(&client, &client);
    let old = read_head(reader, from).await?;
    let old_snapshot = reader.snapshot(&old).await?;
    let (new_version, new_snapshot) = if to.is_none() && !files.is_empty() {
        let compiled = files::compile_files(files)?;
        files::print_warnings(&compiled.warnings);
        (None, compiled.snapshot)
    } else {
        let new = read_head(reader, to).await?;
        (Some(new.version), reader.snapshot(&new).await?)
    };
    let difference = Difference::between(&old_snapshot, &new_snapshot);
    if json {
        let sections = &difference.sections;
        let report = json!({ "from": old.version, "to": new_version, "sections": sections });
        print(&report)?;
    } else if difference.is_empty() {
        print(&format!("no difference from version {}", old.version))?;
    } else {
        print(&difference)?;
    }
    Ok(())
}

/// Lists the accepted versions.
pub(super) async fn history(access: &Access, json: bool) -> Result<(), Failure> {
    let client = client(&access.settings()?);
    let heads = Reader::new(&client, &client).history().await?;
    if json {
        print(&json!(heads))?;
        return Ok(());
    }
    let lines = heads
        .iter()
        .map(|head| format!("{} {} {}", head.version, head.digest, head.operation));
    print(&lines.collect::<Vec<_>>().join("\n"))?;
    Ok(())
}

/// Prints a version as an inventory with rules.
pub(super) async fn show(
    access: &Access,
    json: bool,
    version: Option<VersionId>,
) -> Result<(), Failure> {
    let client = client(&access.settings()?);
    let reader = Reader::new(&client, &client);
    let head = read_head(reader, version).await?;
    let snapshot = reader.snapshot(&head).await?;
    if json {
        let topology = &snapshot.topology;
        let services = &snapshot.services;
        let report = json!({ "head": head, "topology": topology, "services": services });
        print(&report)?;
    } else {
        let text = IniText::new(&snapshot);
        print(&format!(
            "; version {} {}\n{text}",
            head.version, head.digest
        ))?;
    }
    Ok(())
}

/// Reads the head of a version, or the newest head without one.
async fn read_head(reader: Reader<'_>, version: Option<VersionId>) -> Result<Head, version::Error> {
    match version {
        None => reader.head().await,
        Some(0) => Ok(Head::default()),
        Some(version) => reader.version(version).await,
    }
}
