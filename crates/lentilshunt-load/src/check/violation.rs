//! One broken promise.

use derive_more::Display;

use super::Invariant;

/// One broken promise in a history.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[display("{at_us} {invariant}: {subject}: {detail}")]
pub struct Violation {
    /// Invariant that was broken.
    pub invariant: Invariant,
    /// Instant in microseconds since the Unix epoch.
    pub at_us: u64,
    /// Process, idempotency key or version concerned.
    pub subject: String,
    /// What was seen.
    pub detail: String,
}

impl Violation {
    /// Creates a violation.
    #[must_use]
    pub fn new(invariant: Invariant, at_us: u64, subject: &str, detail: impl Into<String>) -> Self {
        Self {
            invariant,
            at_us,
            subject: subject.to_owned(),
            detail: detail.into(),
        }
    }
}
