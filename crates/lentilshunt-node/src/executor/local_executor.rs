//! The executor of the own node.

use std::{sync::Arc, time::Instant};

use lentilshunt_core::{
    execution::Resolution, id::Incarnation, membership::Endpoint, verdict::Reason,
};
use lentilshunt_net::{
    Pending,
    call::{Call, Executor, Reply},
};
use lentilshunt_schema::{call, peer::Announcement};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use super::{Claimant, HttpTransport, Runner, Transport};
use crate::context::Context;

/// Executes attempts on the upstream of this instance.
///
/// A request that is not idempotent goes on when its caller has gone, and its
/// answer is kept for those who ask what became of it.
#[derive(Debug)]
pub struct LocalExecutor {
    context: Arc<Context>,
    runner: Arc<Runner>,
    running: TaskTracker,
}

impl LocalExecutor {
    /// Creates an executor that has not heard of its upstream.
    ///
    /// Without a claimant, requests with an idempotency key are refused.
    #[must_use]
    pub fn new(context: Arc<Context>, claimant: Option<Claimant>) -> Self {
        let limit = usize::try_from(context.settings.calls.body_bytes).unwrap_or(usize::MAX);
        let http_transport = HttpTransport::new(Arc::clone(&context.pool), limit);
        Self::with_transport(context, claimant, Arc::new(http_transport))
    }

    /// Creates an executor that reaches its upstream through `transport`.
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
            running: TaskTracker::new(),
        }
    }

    /// Takes an announcement of the upstream.
    pub fn announce(&self, announcement: &Announcement) {
        self.runner.announce(announcement);
    }

    /// Tells what became of a request, and bars it if it has not been seen.
    #[must_use]
    pub fn resolve(
        &self,
        request: &str,
        incarnation: Incarnation,
        deadline: Instant,
    ) -> Resolution<Reply> {
        let resolution = if incarnation == self.context.incarnation {
            self.runner.resolve(request, deadline)
        } else {
            Resolution::MayHaveRun
        };
        count_question(&resolution);
        resolution
    }

    /// Tells what became of a request that was accepted here before.
    #[must_use]
    pub fn look_up(&self, request: &str, incarnation: Incarnation) -> Resolution<Reply> {
        let resolution = if incarnation == self.context.incarnation {
            self.runner.look_up(request)
        } else {
            Resolution::MayHaveRun
        };
        count_question(&resolution);
        resolution
    }

    /// Waits until no accepted request is left.
    pub async fn drained(&self) {
        self.running.close();
        self.running.wait().await;
        self.running.reopen();
    }

    async fn run(&self, endpoint: &Endpoint, call: Arc<Call>) -> Reply {
        if endpoint.incarnation != self.context.incarnation {
            return Reply::refused(Reason::NotReady);
        }
        if call.idempotent {
            return self.runner.run(call).await;
        }
        let gone = CancellationToken::new();
        let _cancels = gone.clone().drop_guard();
        let runner = Arc::clone(&self.runner);
        let run = async move { runner.run_once(call, gone).await };
        match self.running.spawn(run).await {
            Ok(reply) => reply,
            Err(_panicked) => Reply::unknown(Reason::BadAnswer),
        }
    }
}

impl Executor for LocalExecutor {
    fn execute(&self, endpoint: Arc<Endpoint>, call: Arc<Call>) -> Pending<'_, Reply> {
        Box::pin(async move {
            let reply = self.run(&endpoint, call).await;
            count(&reply);
            Reply {
                room: Some(self.runner.free_slots()),
                ..reply
            }
        })
    }

    fn resolve(
        &self,
        endpoint: Arc<Endpoint>,
        call: Arc<Call>,
    ) -> Pending<'_, Option<(call::Resolution, Option<Reply>)>> {
        Box::pin(async move {
            if call.idempotent {
                return Some((call::Resolution::MayHaveRun, None));
            }
            let resolution = self.resolve(&call.request, endpoint.incarnation, call.deadline);
            Some(into_schema(resolution))
        })
    }
}

/// Returns a resolution as it travels, with the answer beside it.
pub(crate) fn into_schema(resolution: Resolution<Reply>) -> (call::Resolution, Option<Reply>) {
    match resolution {
        Resolution::Barred => (call::Resolution::Barred, None),
        Resolution::Running => (call::Resolution::Running, None),
        Resolution::Answered(reply) => (call::Resolution::Answered, Some(reply)),
        Resolution::MayHaveRun => (call::Resolution::MayHaveRun, None),
    }
}

/// Counts an attempt that did not run here, or whose outcome is not known.
fn count(reply: &Reply) {
    if let Some(reason) = reply.reason {
        let verdict = reply.verdict.to_string();
        let labels = [("reason", reason.to_string()), ("verdict", verdict)];
        metrics::counter!("lentilshunt_executor_refusals_total", &labels).increment(1);
    }
}

fn count_question(resolution: &Resolution<Reply>) {
    let resolution = match resolution {
        Resolution::Barred => "barred",
        Resolution::Running => "running",
        Resolution::Answered(_) => "answered",
        Resolution::MayHaveRun => "may_have_run",
    };
    metrics::counter!("lentilshunt_questions_total", "resolution" => resolution).increment(1);
}
