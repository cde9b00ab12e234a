//! Writes the page of all settings.

use std::{fmt::Write, fs, path::Path};

use serde_json::Value;
use snafu::{OptionExt, ResultExt, Whatever};

/// Programs with settings: the name of the program and of its type.
const PROGRAMS: [(&str, &str); 4] = [
    ("lentilshunt-node", "Node"),
    ("lentilshunt", "Operator"),
    ("lentilshunt-platform", "PlatformStandIn"),
    ("lentilshunt-upstream", "UpstreamStandIn"),
];

const INTRODUCTION: &str = "# Settings

Each program reads one INI file. A node and the stand-ins take it as their only
argument, `lentilshunt` takes it by `--settings` or from the environment
variable `LENTILSHUNT_SETTINGS`. `--check-settings` of a node or stand-in checks
the file and ends with exit code 0, or prints every problem and ends with 2.

A section or key that is not listed here is refused, as is one that stands
twice. Two listeners of a program must not share an address, a node must not be
among its own seeds, and an address that other nodes are told must be one that
they can reach.

This page is written by `cargo xtask generate`.
";

/// Returns the page for the schema of the settings.
///
/// # Errors
///
/// Returns an error when the schema cannot be read or lacks a type.
pub(crate) fn settings(schema: &Path) -> Result<String, Whatever> {
    let text = fs::read_to_string(schema)
        .with_whatever_context(|_| format!("cannot read {}", schema.display()))?;
    let schema: Value = serde_json::from_str(&text).whatever_context("the schema is not JSON")?;
    let definitions = &schema["definitions"];
    let mut page = INTRODUCTION.to_owned();
    for (program, name) in PROGRAMS {
        let sections = definitions[name]["properties"].as_object();
        let sections = sections.with_whatever_context(|| format!("no type {name}"))?;
        writeln!(page, "\n## {program}").whatever_context("a text takes text")?;
        for (section, reference) in sections {
            let path = reference["$ref"].as_str().unwrap_or_default();
            let definition = &definitions[path.rsplit('/').next().unwrap_or_default()];
            page += &table(section, definition);
        }
    }
    Ok(page)
}

fn table(section: &str, definition: &Value) -> String {
    let properties = definition["properties"].as_object().into_iter().flatten();
    let rows: Vec<String> = properties
        .map(|(key, schema)| row(definition, key, schema))
        .collect();
    let rows = rows.join("\n");
    format!(
        "\n### `[{section}]`\n\n| key | value | default | meaning |\n|---|---|---|---|\n{rows}\n"
    )
}

fn row(definition: &Value, key: &str, schema: &Value) -> String {
    let required = definition["required"].as_array();
    let is_required = required.is_some_and(|keys| keys.contains(&Value::from(key)));
    let default = match &schema["default"] {
        _ if is_required => "required".to_owned(),
        Value::String(text) if text.is_empty() => "empty".to_owned(),
        Value::String(text) => format!("`{text}`"),
        other => format!("`{other}`"),
    };
    let meaning = schema["description"].as_str().unwrap_or_default();
    format!("| `{key}` | {} | {default} | {meaning} |", form(schema))
}

/// Returns which values a key may have.
fn form(schema: &Value) -> String {
    if let Some(choices) = schema["enum"].as_array() {
        let choices = choices.iter().filter_map(Value::as_str);
        let choices: Vec<String> = choices.map(|choice| format!("`{choice}`")).collect();
        return choices.join(", ");
    }
    match (schema["type"].as_str(), schema["format"].as_str()) {
        (Some("integer"), _) => {
            let minimum = &schema["minimum"];
            match &schema["maximum"] {
                Value::Null => format!("whole number from {minimum}"),
                maximum => format!("whole number from {minimum} to {maximum}"),
            }
        }
        (Some("boolean"), _) => "`true` or `false`".to_owned(),
        (_, Some("ip-port")) => "IP address and port".to_owned(),
        (_, Some("ip-port-optional")) => "IP address and port, or empty".to_owned(),
        (_, Some("ip-port-list")) => {
            "IP addresses and ports separated by commas, or empty".to_owned()
        }
        (_, Some("name")) => "lower-case letters, digits and hyphens".to_owned(),
        _ => "text".to_owned(),
    }
}
