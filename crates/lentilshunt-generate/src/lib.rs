//! Generates the Rust types of messages and settings from JSON Schema.
//!
//! This crate depends on no other crate of the workspace, so that it builds even
//! when the committed types do not.

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

/// Writes the generated files, or compares them with the committed ones if `check`.
///
/// # Errors
///
/// Returns an error when a schema cannot be read or translated, when a file
/// cannot be written, or when `check` finds a committed file out of date.
pub fn run(root: &Path, check: bool) -> Result<(), Whatever> {
    for schema in schema_files(root)? {
        let name = schema
            .file_stem()
            .and_then(|stem| stem.to_str())
            .whatever_context("the schema file has no name")?
            .to_owned();
        let output = root.join(OUTPUT_FOLDER).join(format!("{name}.rs"));
        write_or_compare(&output, &translate(&schema)?, check)?;
    }
    let settings = root.join(SCHEMA_FOLDER).join("settings.json");
    write_or_compare(
        &root.join(SETTINGS_PAGE),
        &page::settings_page(&settings)?,
        check,
    )
}

/// Writes a file, or compares it with the committed one if `check`.
fn write_or_compare(output: &Path, text: &str, check: bool) -> Result<(), Whatever> {
    if check {
        return compare(output, text);
    }
    fs::write(output, text).with_whatever_context(|_| format!("cannot write {}", output.display()))
}

/// Returns the schema files, sorted by path.
fn schema_files(root: &Path) -> Result<Vec<PathBuf>, Whatever> {
    let folder = root.join(SCHEMA_FOLDER);
    let entries = fs::read_dir(&folder)
        .with_whatever_context(|_| format!("cannot read {}", folder.display()))?;
    let mut files = Vec::new();
    for entry in entries {
        let entry = entry.whatever_context("cannot read a directory entry")?;
        files.push(entry.path());
    }
    files.sort();
    Ok(files)
}

/// Returns the Rust code for the definitions of a schema.
fn translate(schema: &Path) -> Result<String, Whatever> {
    let text = fs::read_to_string(schema)
        .with_whatever_context(|_| format!("cannot read {}", schema.display()))?;
    let root: schemars::schema::RootSchema = serde_json::from_str(&text)
        .with_whatever_context(|_| format!("{} is not a JSON Schema", schema.display()))?;
    let mut settings = TypeSpaceSettings::default();
    settings.with_derive("PartialEq".to_owned());
    let mut types = TypeSpace::new(&settings);
    types
        .add_ref_types(root.definitions)
        .with_whatever_context(|_| format!("cannot translate {}", schema.display()))?;
    let file = syn::parse2::<syn::File>(types.to_stream())
        .with_whatever_context(|_| format!("invalid code for {}", schema.display()))?;
    let name = schema
        .file_name()
        .and_then(|name| name.to_str())
        .whatever_context("the schema file has no name")?;
    let header = format!("// Generated from schema/{name} by `cargo xtask generate`.\n\n");
    Ok(header + &with_defaults(&prettyplease::unparse(&file)))
}

/// Lets optional fields be absent in encodings without field names as well.
fn with_defaults(code: &str) -> String {
    code.replace(
        "#[serde(skip_serializing_if = \"::std::option::Option::is_none\")]",
        "#[serde(default, skip_serializing_if = \"::std::option::Option::is_none\")]",
    )
}

/// Returns an error when a committed file differs from the generated text.
fn compare(output: &Path, text: &str) -> Result<(), Whatever> {
    let committed = fs::read_to_string(output)
        .with_whatever_context(|_| format!("cannot read {}", output.display()))?;
    if committed != text {
        snafu::whatever!(
            "{} is out of date, run `cargo xtask generate`",
            output.display()
        );
    }
    Ok(())
}
