//! Decides whether a call is retried after an attempt.

use std::time::Instant;

use super::Budget;
use crate::verdict::{Reason, Verdict};

/// Maximum number of attempts of one call.
pub const MAX_ATTEMPTS: usize = 3;

/// Next step after an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// The call is retried on another endpoint.
    Retry,
    /// The outcome of the attempt is the outcome of the call.
    Stop,
    /// The call may be retried, but the budget is exhausted.
    BudgetExhausted,
}

/// Decides the next step after the attempt number `attempts` of a call.
///
/// A request is retried only if it has not run or may run more than once, only if
/// another endpoint may succeed, and only if fewer than [`MAX_ATTEMPTS`] attempts were
/// made. A retry withdraws from `budget`.
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
        Decision::BudgetExhausted
    }
}

/// Returns whether a request that failed for a reason may succeed on another endpoint.
fn may_succeed_elsewhere(reason: Reason) -> bool {
    match reason {
        Reason::NoRoom
        | Reason::QueueFull
        | Reason::RateLimited
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
        | Reason::RouteOmitted
        | Reason::CallerNotAllowed
        | Reason::Unauthenticated
        | Reason::OrganisationOmitted
        | Reason::OverQuota
        | Reason::NoEndpoint
        | Reason::Duplicate
        | Reason::Quarantined
        | Reason::RetryBudget
        | Reason::TooLarge => false,
    }
}
