//! What is wrong with a file.

use std::fmt;

use serde::Serialize;

/// Most characters of a value that are shown.
const MAX_VALUE_CHARACTERS: usize = 120;

/// One thing that is wrong with a file.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Problem {
    /// Name of the file.
    pub file: String,
    /// Section, if the problem lies in one.
    pub section: Option<String>,
    /// Key, if the problem lies with one.
    pub key: Option<String>,
    /// Value, if the problem lies with one.
    pub value: Option<String>,
    /// What is wrong and what would be right.
    pub message: String,
}

impl Problem {
    /// Creates a problem of a whole file.
    #[must_use]
    pub fn new(file: &str, message: impl Into<String>) -> Self {
        Self {
            file: file.to_owned(),
            message: message.into(),
            ..Self::default()
        }
    }

    /// Names the section.
    #[must_use]
    pub fn section(mut self, section: &str) -> Self {
        self.section = Some(section.to_owned());
        self
    }

    /// Names the key.
    #[must_use]
    pub fn key(mut self, key: &str) -> Self {
        self.key = Some(key.to_owned());
        self
    }

    /// Names the value, of which a long one is cut.
    #[must_use]
    pub fn value(mut self, value: &str) -> Self {
        let mut shown: String = value.chars().take(MAX_VALUE_CHARACTERS).collect();
        if shown.len() < value.len() {
            shown.push('…');
        }
        self.value = Some(shown);
        self
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.file)?;
        if let Some(section) = &self.section {
            write!(f, ": [{section}]")?;
        }
        if let Some(key) = &self.key {
            write!(f, " {key}")?;
        }
        if let Some(value) = &self.value {
            write!(f, " = {value:?}")?;
        }
        write!(f, ": {}", self.message)
    }
}

/// Everything that is wrong with one or several files.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Problems(pub Vec<Problem>);

impl fmt::Display for Problems {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, problem) in self.0.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            write!(f, "{problem}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Problems {}
