//! Outcome of an acceptance.

use crate::config::{Error, Head};

/// Final outcome of an acceptance.
#[derive(Debug)]
pub enum AcceptanceOutcome {
    /// The version was accepted; newer versions may have followed.
    Accepted(Head),
    /// The head is a different version than the base; nothing was or will be accepted.
    Conflict {
        /// Version in force.
        newest: Head,
    },
    /// The platform did not respond in time; nothing was or will be accepted.
    Unavailable,
    /// It could not be determined in time whether the version was accepted.
    Unsettled,
    /// A row of the platform cannot be decoded; nothing was or will be accepted.
    Unreadable(Error),
}
