//! Whether a call is tried again after an attempt.

use std::time::Instant;

use super::Budget;
use crate::verdict::{Reason, Verdict};

/// Most attempts of one call.
pub const MAX_ATTEMPTS: usize = 3;

/// What follows an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// The call is tried on another endpoint.
    Retry,
    /// The outcome of the attempt is the outcome of the call.
    Stop,
    /// The call could be tried again, but the budget is used up.
    Exhausted,
}

/// Decides what follows the `attempts`-th attempt of a call.
///
/// Only a request that has not run, or that may run more than once, is tried
/// again, and only when another endpoint may answer otherwise.
#[must_use]
pub fn decide(
    verdict: Verdict,
    reason: Option<Reason>,
    idempotent: bool,
    attempts: usize,
    budget: &Budget,
    now: Instant,
) -> Decision {
    let may_succeed = reason.is_some_and(may_succeed_elsewhere);
    if attempts >= MAX_ATTEMPTS || !may_succeed || !verdict.permits_retry(idempotent) {
        Decision::Stop
    } else if budget.withdraw(now) {
        Decision::Retry
    } else {
        Decision::Exhausted
    }
}

/// Returns whether another endpoint may answer otherwise.
fn may_succeed_elsewhere(reason: Reason) -> bool {
    match reason {
        Reason::NoRoom
        | Reason::QueueFull
        | Reason::Deadline
        | Reason::Draining
        | Reason::NotReady
        | Reason::Unreachable
        | Reason::ConnectionLost
        | Reason::UpstreamLost
        | Reason::Barred
        | Reason::ClaimUnavailable
        | Reason::BadAnswer => true,
        Reason::NoConfiguration
        | Reason::BadRequest
        | Reason::UnknownService
        | Reason::CallerNotAllowed
        | Reason::NoEndpoint
        | Reason::Duplicate
        | Reason::Quarantined
        | Reason::RetryBudget
        | Reason::TooLarge => false,
    }
}
