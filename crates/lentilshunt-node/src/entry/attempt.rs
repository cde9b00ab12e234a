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

/// Time without a reply after which the executing node is queried.
///
/// It is also the shortest time given to an idempotent attempt and the longest delay between
/// resolution requests after a lost connection.
pub(super) const RESOLVE_DELAY: Duration = Duration::from_millis(250);
/// Maximum delay between two resolution requests for an attempt without a reply.
const MAX_PENDING_RESOLVE_DELAY: Duration = Duration::from_secs(2);
/// Initial delay between two resolution requests for an attempt whose connection is lost.
const MIN_LOST_RESOLVE_DELAY: Duration = Duration::from_millis(5);
/// Number of consecutive failed resolution requests after which no further one is sent.
const MAX_FAILED_RESOLVES: u32 = 2;
/// Minimum time for resolving the outcome after a reply, even past the deadline of the call.
const MIN_RESOLVE_TIME: Duration = Duration::from_millis(100);
/// An idempotent attempt that is not the last gets the remaining time divided by this.
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
enum ResolveResult {
    /// No further resolution request is needed, even if the outcome remains unknown.
    Final(Reply),
    /// The request is still running.
    Running,
    /// The executing node did not respond.
    NoResponse,
}

impl Attempt<'_> {
    /// Executes the attempt and resolves its outcome as far as possible.
    ///
    /// A reply with [`Verdict::MayHaveRun`] means that the outcome of the request could
    /// not be determined.
    pub(super) async fn run(&self) -> Reply {
        if self.call.idempotent {
            self.run_idempotent().await
        } else if self.is_remote {
            self.run_non_idempotent_remote().await
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
    async fn run_idempotent(&self) -> Reply {
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
                if matches!(resolved, ResolveResult::NoResponse) && !self.is_last {
                    return Reply::unknown(Reason::Deadline);
                }
            }
        }
        let result = timeout_at(deadline.into(), execution).await;
        result.unwrap_or_else(|_elapsed| Reply::unknown(Reason::Deadline))
    }

    /// Executes an attempt that may run only once, and resolves its outcome meanwhile.
    async fn run_non_idempotent_remote(&self) -> Reply {
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
                    if let ResolveResult::Final(reply) = resolved {
                        return reply;
                    }
                }
            }
            if now() >= self.call.deadline {
                return Reply::unknown(Reason::Deadline);
            }
            delay = (delay * 2).min(MAX_PENDING_RESOLVE_DELAY);
        }
    }

    /// Resolves the outcome of a request that may have run according to its reply.
    async fn resolve_reply(&self, reply: Reply) -> Reply {
        // An executing node that reports `UpstreamLost` knows no more, so a resolution request
        // adds nothing.
        if reply.verdict != Verdict::MayHaveRun || reply.reason == Some(Reason::UpstreamLost) {
            return reply;
        }
        let deadline = self.call.deadline.max(now() + MIN_RESOLVE_TIME);
        let mut delay = MIN_LOST_RESOLVE_DELAY;
        let mut failed_resolves = 0;
        loop {
            let resolved = timeout_at(deadline.into(), self.resolve()).await;
            match resolved.unwrap_or(ResolveResult::NoResponse) {
                ResolveResult::Final(reply) => return reply,
                ResolveResult::Running => failed_resolves = 0,
                ResolveResult::NoResponse => failed_resolves += 1,
            }
            let next_at = now() + delay;
            if failed_resolves >= MAX_FAILED_RESOLVES || next_at >= deadline {
                return reply;
            }
            sleep_until(next_at.into()).await;
            delay = (delay * 2).min(RESOLVE_DELAY);
        }
    }

    /// Requests the outcome from the executing node over a new connection.
    async fn resolve(&self) -> ResolveResult {
        let endpoint = Arc::clone(self.endpoint);
        let call = Arc::clone(self.call);
        let resolved = self.executor.resolve(endpoint, call).await;
        let label = match &resolved {
            Some((resolution, _)) => resolution.to_string(),
            None => "unasked".to_owned(),
        };
        metrics::counter!("lentilshunt_resolutions_total", "resolution" => label).increment(1);
        match resolved {
            Some((Resolution::Answered, Some(reply))) => ResolveResult::Final(reply),
            Some((Resolution::Barred, _)) => ResolveResult::Final(Reply::refused(Reason::Barred)),
            Some((Resolution::Running, _)) => ResolveResult::Running,
            Some((Resolution::MayHaveRun | Resolution::Answered, _)) => {
                ResolveResult::Final(Reply::unknown(Reason::ConnectionLost))
            }
            None => ResolveResult::NoResponse,
        }
    }
}
