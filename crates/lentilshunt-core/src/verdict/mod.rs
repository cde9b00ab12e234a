//! Whether a request may have run, and why a call failed, was refused or retried.

mod reason;

pub use reason::Reason;

use derive_more::Display;

/// Whether a request may have run on an upstream.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Verdict {
    /// The request has not run and can no longer run.
    #[display("not-run")]
    NotRun,
    /// It is unknown whether the request has run, is running or will run.
    #[display("may-have-run")]
    MayHaveRun,
    /// The request has run and its complete response is known.
    #[display("ran")]
    Ran,
}

impl Verdict {
    /// Parses the verdict from its header value.
    #[must_use]
    pub fn from_header(value: &str) -> Option<Self> {
        match value {
            "not-run" => Some(Self::NotRun),
            "may-have-run" => Some(Self::MayHaveRun),
            "ran" => Some(Self::Ran),
            _ => None,
        }
    }

    /// Returns whether the request may be sent again after an attempt with this verdict.
    ///
    /// A request that has not run may always be sent again, and one that may have
    /// run only if it is idempotent.
    #[must_use]
    pub fn permits_retry(self, idempotent: bool) -> bool {
        match self {
            Self::NotRun => true,
            Self::MayHaveRun => idempotent,
            Self::Ran => false,
        }
    }
}
