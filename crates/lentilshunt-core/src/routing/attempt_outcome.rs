//! How an attempt ended, as far as the choice of endpoints is concerned.

use crate::verdict::{Reason, Verdict};

/// What the end of an attempt says about its endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptOutcome {
    /// The endpoint works.
    Healthy,
    /// The endpoint works but has no room.
    Full,
    /// The endpoint takes no more work.
    Draining,
    /// The endpoint or the way to it failed.
    Failed,
    /// The node beside the endpoint cannot be reached, or has no upstream.
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
            Reason::QueueFull | Reason::NoRoom => Self::Full,
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
