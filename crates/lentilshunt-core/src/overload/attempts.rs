//! The attempts of one call, and whether another one is made.

use crate::{
    id::InstanceId,
    verdict::{Reason, Verdict},
};

/// Maximum number of nodes that one call is sent to, including nodes that refuse it.
const MAX_TRIED_NODES: usize = 5;

/// What the result of an attempt means for the call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Outcome {
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Why the attempt failed; `None` if the upstream has responded.
    pub reason: Option<Reason>,
    /// Whether the request may have reached an upstream, which may have refused it.
    pub may_have_reached_upstream: bool,
    /// Whether the upstream has responded with a status that another upstream may avoid.
    pub has_retryable_status: bool,
}

/// Next step of a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// The result of the attempt is the result of the call.
    Finish,
    /// Another endpoint is tried; the retry budget does not pay for it, as no upstream was reached.
    RetryFree,
    /// Another endpoint is tried if the retry budget pays for it.
    RetryPaid,
    /// The request waits at an endpoint until its deadline, behind all requests whose response is
    /// still expected within their target latency.
    WaitPastTarget,
}

/// The attempts of one call so far.
#[derive(Clone, Debug, Default)]
pub struct Attempts {
    /// Instances that the call was sent to since it may wait as long as it now does.
    pub tried: Vec<InstanceId>,
    /// Instances that the call was sent to before it was allowed to wait past its target latency.
    pub tried_before: Vec<InstanceId>,
    /// Attempts that may have reached an upstream.
    pub upstream_attempts: usize,
    /// Whether an earlier attempt may have run.
    pub may_have_run: bool,
}

/// What limits the attempts of a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Maximum number of attempts that may reach an upstream.
    pub upstream_attempts: usize,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Whether the request already waits past its target latency.
    pub is_past_target: bool,
    /// Whether the request has a body that is not read completely.
    pub has_unread_body: bool,
}

impl Attempts {
    /// Records the result of an attempt on an instance.
    pub fn record(&mut self, instance: InstanceId, result: &Outcome) {
        self.tried.push(instance);
        self.upstream_attempts += usize::from(result.may_have_reached_upstream);
        self.may_have_run |= result.verdict != Verdict::NotRun;
    }

    /// Returns the next step after an attempt with the given result.
    #[must_use]
    pub fn next(&self, limits: &Limits, result: &Outcome) -> Step {
        let may_retry = result.verdict.permits_retry(limits.idempotent)
            || (limits.idempotent && result.has_retryable_status);
        if !may_retry || self.upstream_attempts >= limits.upstream_attempts {
            return Step::Finish;
        }
        if self.tried.len() >= MAX_TRIED_NODES {
            return self.after_last(limits, result.reason);
        }
        if self.upstream_attempts > 0 {
            Step::RetryPaid
        } else {
            Step::RetryFree
        }
    }

    /// Returns the next step when no endpoint is left to try, for the given reason.
    ///
    /// Instead of being refused, a request that no upstream has room for in time waits for a slot
    /// that no other request can use in time: callers repeat a request once or twice only. A
    /// request with an unread body does not, because a node notices only when it has read the body
    /// that the caller has left.
    #[must_use]
    pub fn after_last(&self, limits: &Limits, reason: Option<Reason>) -> Step {
        let lacks_room = matches!(
            reason,
            Some(Reason::NoRoom | Reason::QueueFull | Reason::Deadline | Reason::RateLimited)
        );
        let may_wait =
            !limits.is_past_target && !limits.has_unread_body && self.upstream_attempts == 0;
        if lacks_room && may_wait {
            Step::WaitPastTarget
        } else {
            Step::Finish
        }
    }

    /// Returns all instances that the call was sent to, in their order.
    #[must_use]
    pub fn all_tried(&self) -> Vec<InstanceId> {
        [self.tried_before.as_slice(), self.tried.as_slice()].concat()
    }

    /// Records that the request now waits past its target latency, so that instances that have
    /// refused it may be tried again.
    pub fn wait_past_target(&mut self) {
        self.tried_before.append(&mut self.tried);
    }
}
