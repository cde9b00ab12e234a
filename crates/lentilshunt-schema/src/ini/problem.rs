//! Validation errors of files.

use std::fmt;

use serde::Serialize;

/// Maximum length of a value in a message, in characters.
const MAX_VALUE_CHARACTERS: usize = 120;

/// One validation error of a file.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Problem {
    /// Name of the file.
    pub file: String,
    /// Section that contains the problem, if any.
    pub section: Option<String>,
    /// Key that has the problem, if any.
    pub key: Option<String>,
    /// Value that is invalid, if any; long values are truncated.
    pub value: Option<String>,
    /// Description of the problem and of what is allowed.
    pub message: String,
}

impl Problem {
    /// Creates a problem that concerns a file as a whole.
    #[must_use]
    pub fn new(file: &str, message: impl Into<String>) -> Self {
        Self {
            file: file.to_owned(),
            message: message.into(),
            ..Self::default()
        }
    }

    /// Sets the section.
    #[must_use]
    pub fn section(mut self, section: &str) -> Self {
        self.section = Some(section.to_owned());
        self
    }

    /// Sets the key.
    #[must_use]
    pub fn key(mut self, key: &str) -> Self {
        self.key = Some(key.to_owned());
        self
    }

    /// Sets the value, truncated if it is long.
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

/// All validation errors of one or several files.
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
