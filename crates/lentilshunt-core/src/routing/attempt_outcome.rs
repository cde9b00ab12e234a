//! Outcome of an attempt as far as routing is concerned.

use crate::verdict::{Reason, Verdict};

/// Effect of the result of an attempt on the state of its endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptOutcome {
    /// The result does not indicate a fault of the endpoint.
    Healthy,
    /// The endpoint is healthy but has no free slot.
    Full,
    /// The endpoint accepts no new requests.
    Draining,
    /// The endpoint or the connection to it failed.
    Failed,
    /// The node of the endpoint is unreachable or has no upstream.
    ///
    /// The endpoint is ejected at once. [`Self::new`] returns [`Self::Failed`] instead; only
    /// the relay reports this outcome.
    Lost,
}

impl AttemptOutcome {
    /// Returns the outcome of an attempt with a verdict and a reason.
    #[must_use]
    pub fn new(verdict: Verdict, reason: Option<Reason>) -> Self {
        let Some(reason) = reason.filter(|_| verdict != Verdict::Ran) else {
            return Self::Healthy;
        };
        match reason {
            Reason::QueueFull | Reason::NoRoom | Reason::RateLimited => Self::Full,
            Reason::Deadline if verdict == Verdict::NotRun => Self::Full,
            Reason::Draining => Self::Draining,
            Reason::Unreachable
            | Reason::ConnectionLost
            | Reason::UpstreamLost
            | Reason::Deadline
            | Reason::NotReady
            | Reason::Barred
            | Reason::BadAnswer => Self::Failed,
            _ => Self::Healthy,
        }
    }
}
