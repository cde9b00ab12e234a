//! Executes attempts on the local upstream.

use std::{sync::Arc, time::Instant};

use lentilshunt_core::{
    execution::Resolution, id::Incarnation, membership::Endpoint, verdict::Reason,
};
use lentilshunt_net::{
    BoxFuture,
    call::{Call, Executor, Reply},
};
use lentilshunt_schema::{call, peer::Announcement};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use super::{Claimant, HttpTransport, Runner, Transport};
use crate::context::Context;

/// Implementation of [`Executor`] for the local upstream.
///
/// A request that is not idempotent continues when its caller has gone, and its
/// response is kept for later resolution requests.
#[derive(Debug)]
pub struct LocalExecutor {
    context: Arc<Context>,
    runner: Arc<Runner>,
    tasks: TaskTracker,
}

impl LocalExecutor {
    /// Creates an executor that has no announcement of its upstream yet.
    ///
    /// Without a claimant, requests with an idempotency key are refused.
    #[must_use]
    pub fn new(context: Arc<Context>, claimant: Option<Claimant>) -> Self {
        let limit = usize::try_from(context.settings.calls.body_bytes).unwrap_or(usize::MAX);
        let transport = HttpTransport::new(Arc::clone(&context.pool), limit);
        Self::with_transport(context, claimant, Arc::new(transport))
    }

    /// Creates an executor that sends to its upstream through `transport`.
    #[must_use]
    pub fn with_transport(
        context: Arc<Context>,
        claimant: Option<Claimant>,
        transport: Arc<dyn Transport>,
    ) -> Self {
        let runner = Arc::new(Runner::new(Arc::clone(&context), transport, claimant));
        Self {
            context,
            runner,
            tasks: TaskTracker::new(),
        }
    }

    /// Applies an announcement of the upstream.
    pub fn apply_announcement(&self, announcement: &Announcement) {
        self.runner.apply_announcement(announcement);
    }

    /// Returns the outcome of a request, and bars it if this node has not seen it.
    #[must_use]
    pub fn resolve(
        &self,
        request_id: &str,
        incarnation: Incarnation,
        deadline: Instant,
    ) -> Resolution<Reply> {
        let resolution = if incarnation == self.context.incarnation {
            self.runner.resolve(request_id, deadline)
        } else {
            Resolution::MayHaveRun
        };
        count_resolution(&resolution);
        resolution
    }

    /// Returns the outcome of a request that this node accepted earlier.
    #[must_use]
    pub fn look_up(&self, request_id: &str, incarnation: Incarnation) -> Resolution<Reply> {
        let resolution = if incarnation == self.context.incarnation {
            self.runner.look_up(request_id)
        } else {
            Resolution::MayHaveRun
        };
        count_resolution(&resolution);
        resolution
    }

    /// Waits until all requests that are not idempotent have ended.
    pub async fn wait_until_drained(&self) {
        self.tasks.close();
        self.tasks.wait().await;
        self.tasks.reopen();
    }

    async fn run(&self, endpoint: &Endpoint, call: Arc<Call>) -> Reply {
        if endpoint.incarnation != self.context.incarnation {
            return Reply::refused(Reason::NotReady);
        }
        if call.idempotent {
            return self.runner.run(call).await;
        }
        let caller_gone = CancellationToken::new();
        let _cancel_guard = caller_gone.clone().drop_guard();
        let runner = Arc::clone(&self.runner);
        let run = async move { runner.run_once(call, caller_gone).await };
        match self.tasks.spawn(run).await {
            Ok(reply) => reply,
            Err(_panicked) => Reply::unknown(Reason::BadAnswer),
        }
    }
}

impl Executor for LocalExecutor {
    fn execute(&self, endpoint: Arc<Endpoint>, call: Arc<Call>) -> BoxFuture<'_, Reply> {
        Box::pin(async move {
            let reply = self.run(&endpoint, call).await;
            count_refusal(&reply);
            Reply {
                free_slots: Some(self.runner.free_slots()),
                ..reply
            }
        })
    }

    fn resolve(
        &self,
        endpoint: Arc<Endpoint>,
        call: Arc<Call>,
    ) -> BoxFuture<'_, Option<(call::Resolution, Option<Reply>)>> {
        Box::pin(async move {
            if call.idempotent {
                return Some((call::Resolution::MayHaveRun, None));
            }
            let resolution = self.resolve(&call.request, endpoint.incarnation, call.deadline);
            Some(into_schema(resolution))
        })
    }
}

/// Converts a resolution to its encoded form and the reply that it contains.
pub(crate) fn into_schema(resolution: Resolution<Reply>) -> (call::Resolution, Option<Reply>) {
    match resolution {
        Resolution::Barred => (call::Resolution::Barred, None),
        Resolution::Running => (call::Resolution::Running, None),
        Resolution::Answered(reply) => (call::Resolution::Answered, Some(reply)),
        Resolution::MayHaveRun => (call::Resolution::MayHaveRun, None),
    }
}

/// Counts an attempt that did not run here, or whose outcome is unknown.
fn count_refusal(reply: &Reply) {
    if let Some(reason) = reply.reason {
        let verdict = reply.verdict.to_string();
        let labels = [("reason", reason.to_string()), ("verdict", verdict)];
        metrics::counter!("lentilshunt_executor_refusals_total", &labels).increment(1);
    }
}

fn count_resolution(resolution: &Resolution<Reply>) {
    let resolution = match resolution {
        Resolution::Barred => "barred",
        Resolution::Running => "running",
        Resolution::Answered(_) => "answered",
        Resolution::MayHaveRun => "may_have_run",
    };
    metrics::counter!("lentilshunt_questions_total", "resolution" => resolution).increment(1);
}
