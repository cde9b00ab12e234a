//! Section of a file, with validated access to its keys.

use std::collections::BTreeMap;

use ini::Properties;
use lentilshunt_schema::ini::Problem;

/// A section with its file, its kind and its name, as in `[service boletas]`.
#[derive(Clone, Debug)]
pub(super) struct IniSection {
    file: String,
    section: String,
    keys: BTreeMap<String, String>,
}

impl IniSection {
    /// Reads the keys of a section, and reports keys that are unknown or duplicate.
    pub(super) fn read(
        file: &str,
        section: &str,
        properties: &Properties,
        known: &[&str],
        problems: &mut Vec<Problem>,
    ) -> Self {
        let mut item = Self {
            file: file.to_owned(),
            section: section.to_owned(),
            keys: BTreeMap::new(),
        };
        for (key, value) in properties {
            if !known.contains(&key) {
                let message = if known.is_empty() {
                    "unknown key; this section has no keys".to_owned()
                } else {
                    format!("unknown key; expected one of {}", known.join(", "))
                };
                problems.push(item.problem(message).key(key).value(value));
            } else if item.keys.contains_key(key) {
                let message = "duplicate key; remove one";
                problems.push(item.problem(message).key(key).value(value));
            } else {
                item.keys.insert(key.to_owned(), value.trim().to_owned());
            }
        }
        item
    }

    /// Returns the name of the file that contains the section.
    pub(super) fn file(&self) -> &str {
        &self.file
    }

    /// Creates a problem in this section.
    pub(super) fn problem(&self, message: impl Into<String>) -> Problem {
        Problem::new(&self.file, message).section(&self.section)
    }

    /// Returns the value of a key, or reports that the key is required.
    pub(super) fn text(&self, key: &str, problems: &mut Vec<Problem>) -> Option<&str> {
        match self.keys.get(key).map(String::as_str) {
            Some("") | None => {
                problems.push(self.problem("this key is required").key(key));
                None
            }
            Some(value) => Some(value),
        }
    }

    /// Returns the value of a key as an integer in a range, or reports the expected form.
    pub(super) fn number(
        &self,
        key: &str,
        range: std::ops::RangeInclusive<u32>,
        problems: &mut Vec<Problem>,
    ) -> Option<u32> {
        let text = self.text(key, problems)?;
        match text.parse::<u32>() {
            Ok(number) if range.contains(&number) => Some(number),
            _ => {
                let message = format!(
                    "must be an integer from {} to {}",
                    range.start(),
                    range.end()
                );
                problems.push(self.problem(message).key(key).value(text));
                None
            }
        }
    }

    /// Returns whether the value of a key is `yes`, or reports the expected form.
    pub(super) fn yes_or_no(&self, key: &str, problems: &mut Vec<Problem>) -> Option<bool> {
        match self.text(key, problems)? {
            "yes" => Some(true),
            "no" => Some(false),
            other => {
                let problem = self.problem("must be yes or no");
                problems.push(problem.key(key).value(other));
                None
            }
        }
    }

    /// Returns the value of a key as a comma-separated list of names.
    ///
    /// The list is empty if the key is missing.
    pub(super) fn list(&self, key: &str, problems: &mut Vec<Problem>) -> Vec<&str> {
        let text = self.keys.get(key).map_or("", String::as_str);
        if text.is_empty() {
            return Vec::new();
        }
        let names: Vec<&str> = text.split(',').map(str::trim).collect();
        if names.contains(&"") {
            let problem = self.problem("must be names separated by single commas");
            problems.push(problem.key(key).value(text));
        }
        names.into_iter().filter(|name| !name.is_empty()).collect()
    }
}
