//! One broken promise.

use derive_more::Display;

use super::Promise;

/// One broken promise in a history.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[display("{at_us} {promise}: {subject}: {detail}")]
pub struct Violation {
    /// Promise that was broken.
    pub promise: Promise,
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
    pub fn new(promise: Promise, at_us: u64, subject: &str, detail: impl Into<String>) -> Self {
        Self {
            promise,
            at_us,
            subject: subject.to_owned(),
            detail: detail.into(),
        }
    }
}
