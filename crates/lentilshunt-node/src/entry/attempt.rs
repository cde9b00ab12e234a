//! One attempt of a call and the resolution of its outcome.

use std::{sync::Arc, time::Duration};

use lentilshunt_core::{
    membership::Endpoint,
    verdict::{Reason, Verdict},
};
use lentilshunt_net::call::{Call, Executor, Reply};
use lentilshunt_schema::call::Resolution;
use tokio::time::{sleep_until, timeout_at};

use super::now;

/// Time without a reply after which the outcome of an attempt is resolved.
pub(super) const RESOLVE_DELAY: Duration = Duration::from_millis(250);
/// Maximum delay between two resolution requests for an attempt without a reply.
const MAX_RESOLVE_DELAY: Duration = Duration::from_secs(2);
/// Initial delay between two resolution requests for an attempt whose connection is lost.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(5);
/// Number of consecutive failed resolution requests after which the executing node counts as gone.
const MAX_FAILED_REQUESTS: u32 = 2;
/// Time after the deadline of a call in which its outcome can still be resolved.
const GRACE_PERIOD: Duration = Duration::from_millis(100);
/// Divisor of the remaining time that yields the time for an idempotent attempt.
const REMAINING_TIME_DIVISOR: u32 = 3;

/// An attempt of a call on one endpoint.
#[derive(Debug)]
pub(super) struct Attempt<'a> {
    /// Executes the attempt.
    pub executor: &'a dyn Executor,
    /// Endpoint of the attempt.
    pub endpoint: &'a Arc<Endpoint>,
    /// The call.
    pub call: &'a Arc<Call>,
    /// Whether the endpoint is on another instance, so that its connection can go silent.
    pub is_remote: bool,
    /// Whether no further attempt is allowed.
    pub is_last: bool,
}

/// Result of a resolution request.
enum Resolved {
    /// The outcome is final; it may be final that the outcome is unknown.
    Final(Reply),
    /// The request is still running.
    Running,
    /// The executing node did not respond.
    NoResponse,
}

impl Attempt<'_> {
    /// Executes the attempt and resolves its outcome as far as possible.
    ///
    /// A reply with [`Verdict::MayHaveRun`] means that the executing node could
    /// not determine the outcome of the request.
    pub(super) async fn run(&self) -> Reply {
        if self.call.idempotent {
            self.run_bounded().await
        } else if self.is_remote {
            self.run_resolved().await
        } else {
            self.execute().await
        }
    }

    async fn execute(&self) -> Reply {
        let endpoint = Arc::clone(self.endpoint);
        self.executor.execute(endpoint, Arc::clone(self.call)).await
    }

    /// Executes an idempotent attempt and gives up on an unresponsive node early.
    ///
    /// Unless it is the last one, the attempt gets a part of the remaining time.
    async fn run_bounded(&self) -> Reply {
        let execution = self.execute();
        tokio::pin!(execution);
        let started_at = now();
        let resolve_at = started_at + RESOLVE_DELAY;
        let remaining = self.call.deadline.saturating_duration_since(started_at);
        let deadline = if self.is_last {
            self.call.deadline
        } else {
            started_at + (remaining / REMAINING_TIME_DIVISOR).max(RESOLVE_DELAY)
        };
        if let Ok(reply) = timeout_at(resolve_at.min(deadline).into(), &mut execution).await {
            return reply;
        }
        tokio::select! {
            biased;
            reply = &mut execution => return reply,
            resolved = self.resolve() => {
                if matches!(resolved, Resolved::NoResponse) && !self.is_last {
                    return Reply::unknown(Reason::Deadline);
                }
            }
        }
        let result = timeout_at(deadline.into(), execution).await;
        result.unwrap_or_else(|_elapsed| Reply::unknown(Reason::Deadline))
    }

    /// Executes an attempt that may run only once, and resolves its outcome meanwhile.
    async fn run_resolved(&self) -> Reply {
        let execution = self.execute();
        tokio::pin!(execution);
        let mut delay = RESOLVE_DELAY;
        loop {
            let resolve_at = now() + delay;
            let resolve_at = resolve_at.min(self.call.deadline);
            let result = timeout_at(resolve_at.into(), &mut execution).await;
            if let Ok(reply) = result {
                return self.resolve_reply(reply).await;
            }
            tokio::select! {
                biased;
                reply = &mut execution => return self.resolve_reply(reply).await,
                resolved = self.resolve() => {
                    if let Resolved::Final(reply) = resolved {
                        return reply;
                    }
                }
            }
            if now() >= self.call.deadline {
                return Reply::unknown(Reason::Deadline);
            }
            delay = (delay * 2).min(MAX_RESOLVE_DELAY);
        }
    }

    /// Resolves the outcome of a request that may have run according to its reply.
    async fn resolve_reply(&self, reply: Reply) -> Reply {
        if reply.verdict != Verdict::MayHaveRun || reply.reason == Some(Reason::UpstreamLost) {
            return reply;
        }
        let deadline = self.call.deadline.max(now() + GRACE_PERIOD);
        let mut delay = MIN_RETRY_DELAY;
        let mut failed_requests = 0;
        loop {
            let resolved = timeout_at(deadline.into(), self.resolve()).await;
            match resolved.unwrap_or(Resolved::NoResponse) {
                Resolved::Final(reply) => return reply,
                Resolved::Running => failed_requests = 0,
                Resolved::NoResponse => failed_requests += 1,
            }
            let next_at = now() + delay;
            if failed_requests >= MAX_FAILED_REQUESTS || next_at >= deadline {
                return reply;
            }
            sleep_until(next_at.into()).await;
            delay = (delay * 2).min(RESOLVE_DELAY);
        }
    }

    /// Requests the outcome from the executing node over a new connection.
    async fn resolve(&self) -> Resolved {
        let endpoint = Arc::clone(self.endpoint);
        let call = Arc::clone(self.call);
        let resolved = self.executor.resolve(endpoint, call).await;
        let label = match &resolved {
            Some((resolution, _)) => resolution.to_string(),
            None => "unasked".to_owned(),
        };
        metrics::counter!("lentilshunt_resolutions_total", "resolution" => label).increment(1);
        match resolved {
            Some((Resolution::Answered, Some(reply))) => Resolved::Final(reply),
            Some((Resolution::Barred, _)) => Resolved::Final(Reply::refused(Reason::Barred)),
            Some((Resolution::Running, _)) => Resolved::Running,
            Some((Resolution::MayHaveRun | Resolution::Answered, _)) => {
                Resolved::Final(Reply::unknown(Reason::ConnectionLost))
            }
            None => Resolved::NoResponse,
        }
    }
}
