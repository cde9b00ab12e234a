//! Commands that accept a version.

use std::{
    io,
    path::PathBuf,
    time::{Duration, Instant},
};

use lentilshunt_core::{
    config::{Head, acceptance::Proposal},
    id::{OperationId, VersionId},
};
use lentilshunt_schema::settings;
use serde_json::json;

use super::{Access, Failure, access::client, files, output::print};
use crate::{accept, version::Reader};

/// Accepts files as the version after `base`.
pub(super) async fn accept(
    access: &Access,
    json: bool,
    base: VersionId,
    operation: Option<OperationId>,
    files: &[PathBuf],
) -> Result<(), Failure> {
    let settings = access.settings()?;
    let compiled = files::compile_files(files)?;
    if !json {
        files::print_warnings(&compiled.warnings);
    }
    let client = client(&settings);
    let operation = operation.unwrap_or_else(|| new_operation_id(&settings));
    let head = accept::accept_until(
        &client,
        &client,
        &compiled.snapshot,
        base,
        operation,
        expires_at(&settings),
    )
    .await?;
    print_accepted(json, &head)?;
    Ok(())
}

/// Accepts the content of an older version as the version after `base`.
pub(super) async fn rollback(
    access: &Access,
    json: bool,
    base: VersionId,
    operation: Option<OperationId>,
    version: VersionId,
) -> Result<(), Failure> {
    let settings = access.settings()?;
    let client = client(&settings);
    let reader = Reader::new(&client, &client);
    let old = reader.version(version).await?;
    // The content must still exist and be valid.
    reader.snapshot(&old).await?;
    let proposal = Proposal {
        operation: operation.unwrap_or_else(|| new_operation_id(&settings)),
        base,
        digest: old.digest,
    };
    let expires_at = expires_at(&settings);
    let head = accept::propose(&client, &client, proposal, Vec::new(), expires_at).await?;
    print_accepted(json, &head)?;
    Ok(())
}

fn new_operation_id(settings: &settings::Operator) -> OperationId {
    let operator = &settings.acceptance.operator;
    format!("{operator}/{:032x}", rand::random::<u128>())
}

fn expires_at(settings: &settings::Operator) -> Instant {
    Instant::now() + Duration::from_millis(settings.acceptance.timeout_ms)
}

fn print_accepted(json: bool, head: &Head) -> io::Result<()> {
    if json {
        return print(&json!({ "accepted": head }));
    }
    print(&format!(
        "accepted version {} {}",
        head.version, head.digest
    ))
}
