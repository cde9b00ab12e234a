//! Failures of commands and their exit codes.

use std::{io, process::ExitCode};

use lentilshunt_schema::ini::Problems;
use serde_json::{Value, json};
use snafu::Snafu;

use super::output::print;
use crate::{accept, fleet, version};

/// Exit code when the result cannot be printed, or the command line is invalid.
pub const FAILED: u8 = 1;
/// Exit code when files or settings are invalid.
pub const INVALID: u8 = 2;
/// Exit code when the platform or a node is not available; nothing was accepted.
pub const UNAVAILABLE: u8 = 3;
/// Exit code when another version was accepted after the base.
pub const CONFLICT: u8 = 4;
/// Exit code when it is unknown whether a version was accepted.
pub const UNSETTLED: u8 = 5;
/// Exit code when a node lags behind or is unreachable.
pub const LAGGING: u8 = 6;
/// Exit code when a version does not exist, or its content is missing or invalid.
pub const UNREADABLE: u8 = 7;

/// Failure of a command.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)), context(suffix(false)))]
pub enum Failure {
    /// Files or settings are invalid.
    #[snafu(transparent)]
    Invalid {
        /// Validation problems.
        source: Problems,
    },
    /// A version cannot be read.
    #[snafu(transparent)]
    Version {
        /// Error of the reader.
        source: version::Error,
    },
    /// A version was not accepted.
    #[snafu(transparent)]
    Accept {
        /// Error of the acceptance.
        source: accept::Error,
    },
    /// The result cannot be printed.
    #[snafu(transparent)]
    Output {
        /// Error of the output stream.
        source: io::Error,
    },
    /// A node cannot be queried.
    #[snafu(transparent)]
    Node {
        /// Error of the query.
        source: fleet::Error,
    },
}

impl Failure {
    /// Returns the exit code.
    #[must_use]
    pub fn code(&self) -> u8 {
        match self {
            Self::Invalid { .. } => INVALID,
            Self::Version { source } => match source {
                version::Error::Unavailable { .. } => UNAVAILABLE,
                _ => UNREADABLE,
            },
            Self::Accept { source } => match source {
                accept::Error::Invalid { .. } => INVALID,
                accept::Error::Unavailable { .. } => UNAVAILABLE,
                accept::Error::Conflict { .. } => CONFLICT,
                accept::Error::Unsettled { .. } => UNSETTLED,
                accept::Error::Head { .. } => UNREADABLE,
            },
            Self::Output { .. } => FAILED,
            Self::Node { .. } => UNAVAILABLE,
        }
    }

    /// Prints the failure and returns its exit code.
    pub(super) fn report(&self, json: bool) -> ExitCode {
        if json {
            // The exit code reports the failure even if the text cannot be printed.
            drop(print(&self.json()));
        } else {
            eprintln!("{}", self.text());
        }
        ExitCode::from(self.code())
    }

    fn text(&self) -> String {
        let mut text = self.to_string();
        let mut source = std::error::Error::source(self);
        while let Some(cause) = source {
            text = format!("{text}: {cause}");
            source = cause.source();
        }
        text
    }

    fn json(&self) -> Value {
        let mut json = json!({ "exit_code": self.code(), "error": self.text() });
        match self {
            Self::Invalid { source } => json["problems"] = json!(source),
            Self::Accept {
                source: accept::Error::Conflict { conflict },
            } => json["conflict"] = json!(conflict),
            Self::Accept {
                source: accept::Error::Unsettled { operation, .. },
            } => json["operation"] = json!(operation),
            _ => {}
        }
        json
    }
}
