//! Whether a request may have run, and why a call was refused or tried again.

mod reason;

pub use reason::Reason;

use derive_more::Display;

/// Whether a request may have run on an upstream.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Verdict {
    /// The request has not run and can no longer run.
    #[display("not-run")]
    NotRun,
    /// Whether the request has run, runs or will run is not known.
    #[display("may-have-run")]
    MayHaveRun,
    /// The request has run and its whole answer is known.
    #[display("ran")]
    Ran,
}

impl Verdict {
    /// Reads the verdict from its header value.
    #[must_use]
    pub fn from_header(value: &str) -> Option<Self> {
        match value {
            "not-run" => Some(Self::NotRun),
            "may-have-run" => Some(Self::MayHaveRun),
            "ran" => Some(Self::Ran),
            _ => None,
        }
    }

    /// Returns whether another attempt keeps the request from running twice.
    ///
    /// An idempotent request may always be tried again; any other only when it
    /// has not run.
    #[must_use]
    pub fn permits_retry(self, idempotent: bool) -> bool {
        match self {
            Self::NotRun => true,
            Self::MayHaveRun => idempotent,
            Self::Ran => false,
        }
    }
}
