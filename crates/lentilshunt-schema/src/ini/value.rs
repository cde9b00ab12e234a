//! Parses the value of one key by its schema.

use std::net::SocketAddr;

use serde_json::Value;

use super::check::strings;

/// Maximum length of a name.
const MAX_NAME_BYTES: usize = 63;
/// Maximum length of a value.
const MAX_VALUE_BYTES: usize = 64 * 1024;

/// Parses and validates the text of a value.
///
/// # Errors
///
/// Returns a message that describes the allowed values.
pub(super) fn parse_value(schema: &Value, text: &str) -> Result<Value, String> {
    if let Some(choices) = schema.get("enum") {
        let allowed: Vec<&str> = strings(choices).collect();
        if allowed.contains(&text) {
            return Ok(Value::from(text));
        }
        return Err(format!("must be one of {}", allowed.join(", ")));
    }
    match schema["type"].as_str() {
        Some("integer") => parse_integer(schema, text),
        Some("boolean") => match text {
            "true" => Ok(Value::from(true)),
            "false" => Ok(Value::from(false)),
            _ => Err("must be true or false".to_owned()),
        },
        _ => parse_text(schema, text),
    }
}

fn parse_integer(schema: &Value, text: &str) -> Result<Value, String> {
    let minimum = schema["minimum"].as_u64().unwrap_or(0);
    let format_maximum = match schema["format"].as_str() {
        Some("uint32") => u64::from(u32::MAX),
        _ => u64::MAX,
    };
    let maximum = schema["maximum"].as_u64().unwrap_or(format_maximum);
    match text.parse::<u64>() {
        Ok(number) if (minimum..=maximum).contains(&number) => Ok(Value::from(number)),
        _ => Err(format!("must be an integer from {minimum} to {maximum}")),
    }
}

fn parse_text(schema: &Value, text: &str) -> Result<Value, String> {
    if text.len() > MAX_VALUE_BYTES {
        return Err(format!("must be at most {MAX_VALUE_BYTES} bytes"));
    }
    match schema["format"].as_str() {
        Some("ip-port-optional" | "ip-port-list") if text.is_empty() => {}
        Some("ip-port" | "ip-port-optional") => check_address(text)?,
        Some("ip-port-list") => text.split(',').map(str::trim).try_for_each(check_address)?,
        Some("name") => check_name(text)?,
        _ if text.is_empty() && schema.get("default").is_none() => {
            return Err("must not be empty".to_owned());
        }
        _ => {}
    }
    Ok(Value::from(text))
}

fn check_address(text: &str) -> Result<(), String> {
    match text.parse::<SocketAddr>() {
        Ok(_) => Ok(()),
        Err(_malformed) => Err(format!(
            "{text:?} must be an IP address and port, such as 127.0.0.1:7000"
        )),
    }
}

fn check_name(text: &str) -> Result<(), String> {
    let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    if text.is_empty() || text.len() > MAX_NAME_BYTES || !text.chars().all(allowed) {
        return Err(format!(
            "must be at most {MAX_NAME_BYTES} lowercase letters, digits and hyphens"
        ));
    }
    Ok(())
}
