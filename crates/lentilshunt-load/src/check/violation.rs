//! Violation of an invariant.

use derive_more::Display;

use super::Invariant;

/// Violation of an invariant in a history.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[display("{at_us} {invariant}: {subject}: {detail}")]
pub struct Violation {
    /// Invariant that was violated.
    pub invariant: Invariant,
    /// Instant in microseconds since the Unix epoch.
    pub at_us: u64,
    /// Process, idempotency key or operation that violates the invariant.
    pub subject: String,
    /// Observation that contradicts the invariant.
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
