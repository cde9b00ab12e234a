//! How an acceptance ended.

use crate::config::{Error, Head};

/// What became of an acceptance.
#[derive(Debug)]
pub enum AcceptanceOutcome {
    /// The version was accepted; newer ones may have followed.
    Accepted(Head),
    /// Another version stands after the base; nothing was or will be accepted.
    Conflict {
        /// Version in force.
        newest: Head,
    },
    /// The platform did not answer in time; nothing was or will be accepted.
    Unavailable,
    /// The platform did not tell in time whether the version was accepted.
    Unsettled,
    /// A row of the platform cannot be read; nothing was or will be accepted.
    Unreadable(Error),
}
