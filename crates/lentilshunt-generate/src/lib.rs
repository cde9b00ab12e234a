//! Generates the Rust types of messages and settings from JSON Schema.
//!
//! This crate depends on no other of the workspace, so that it builds while the
//! committed types do not.

mod page;

use std::{
    fs,
    path::{Path, PathBuf},
};

use snafu::{OptionExt, ResultExt, Whatever};
use typify::{TypeSpace, TypeSpaceSettings};

const SCHEMA_FOLDER: &str = "crates/lentilshunt-schema/schema";
const SETTINGS_PAGE: &str = "docs/operate/settings.md";
const OUTPUT_FOLDER: &str = "crates/lentilshunt-schema/src/generated";

/// Writes the generated files, or with `check` only compares them.
///
/// # Errors
///
/// Returns an error when a schema cannot be read or translated, when a file
/// cannot be written, or with `check` when a committed file is out of date.
pub fn run(root: &Path, check: bool) -> Result<(), Whatever> {
    for schema in schemas(root)? {
        let name = schema
            .file_stem()
            .and_then(|stem| stem.to_str())
            .whatever_context("schema file without a name")?
            .to_owned();
        let output = root.join(OUTPUT_FOLDER).join(format!("{name}.rs"));
        put(&output, &translate(&schema)?, check)?;
    }
    let settings = root.join(SCHEMA_FOLDER).join("settings.json");
    put(
        &root.join(SETTINGS_PAGE),
        &page::settings(&settings)?,
        check,
    )
}

/// Writes a file, or with `check` only compares it.
fn put(output: &Path, text: &str, check: bool) -> Result<(), Whatever> {
    if check {
        return compare(output, text);
    }
    fs::write(output, text).with_whatever_context(|_| format!("cannot write {}", output.display()))
}

fn schemas(root: &Path) -> Result<Vec<PathBuf>, Whatever> {
    let folder = root.join(SCHEMA_FOLDER);
    let entries = fs::read_dir(&folder)
        .with_whatever_context(|_| format!("cannot read {}", folder.display()))?;
    let mut files = Vec::new();
    for entry in entries {
        let entry = entry.whatever_context("cannot read a folder entry")?;
        files.push(entry.path());
    }
    files.sort();
    Ok(files)
}

fn translate(schema: &Path) -> Result<String, Whatever> {
    let text = fs::read_to_string(schema)
        .with_whatever_context(|_| format!("cannot read {}", schema.display()))?;
    let root: schemars::schema::RootSchema = serde_json::from_str(&text)
        .with_whatever_context(|_| format!("{} is not a JSON Schema", schema.display()))?;
    let mut settings = TypeSpaceSettings::default();
    settings.with_derive("PartialEq".to_owned());
    let mut space = TypeSpace::new(&settings);
    space
        .add_ref_types(root.definitions)
        .with_whatever_context(|_| format!("cannot translate {}", schema.display()))?;
    let file = syn::parse2::<syn::File>(space.to_stream())
        .with_whatever_context(|_| format!("invalid code for {}", schema.display()))?;
    let name = schema
        .file_name()
        .and_then(|name| name.to_str())
        .whatever_context("schema file without a name")?;
    let header = format!("// Generated from schema/{name} by `cargo xtask generate`.\n\n");
    Ok(header + &prettyplease::unparse(&file))
}

fn compare(output: &Path, code: &str) -> Result<(), Whatever> {
    let committed = fs::read_to_string(output)
        .with_whatever_context(|_| format!("cannot read {}", output.display()))?;
    if committed != code {
        snafu::whatever!(
            "{} is out of date, run `cargo xtask generate`",
            output.display()
        );
    }
    Ok(())
}
