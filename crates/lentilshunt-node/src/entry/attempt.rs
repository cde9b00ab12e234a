//! One attempt of a call, and the resolution of its outcome.

use std::{sync::Arc, time::Duration};

use lentilshunt_core::{
    membership::Endpoint,
    verdict::{Reason, Verdict},
};
use lentilshunt_net::call::{Call, Executor, Reply};
use lentilshunt_schema::call::Resolution;
use tokio::time::{sleep_until, timeout_at};

use super::now;

/// Time after which an executing node is asked about a silent attempt.
pub(super) const FIRST_QUESTION: Duration = Duration::from_millis(250);
/// Longest pause between two questions about a silent attempt.
const LONGEST_PAUSE: Duration = Duration::from_secs(2);
/// First pause between two questions about an attempt whose connection is lost.
const FIRST_PAUSE: Duration = Duration::from_millis(5);
/// Questions without an answer after which the executing node counts as gone.
const MAX_UNANSWERED: u32 = 2;
/// Time after the deadline of a call for one last question.
const GRACE: Duration = Duration::from_millis(100);
/// Parts of the remaining time, of which an idempotent attempt gets one.
const PARTS: u32 = 3;

/// One attempt of a call on one endpoint.
#[derive(Debug)]
pub(super) struct Attempt<'a> {
    /// Executes the attempt.
    pub executor: &'a dyn Executor,
    /// Where it is executed.
    pub endpoint: &'a Arc<Endpoint>,
    /// The call.
    pub call: &'a Arc<Call>,
    /// Whether the executor is on another instance, so that connections to it can be silent.
    pub is_remote: bool,
    /// Whether no further attempt can follow.
    pub is_last: bool,
}

/// What the executing node told of an attempt.
enum Settled {
    /// The outcome is known, or known to stay unknown.
    Known(Reply),
    /// The request still runs.
    Running,
    /// The executing node did not answer.
    Unasked,
}

impl Attempt<'_> {
    /// Executes the attempt and resolves its outcome as far as possible.
    ///
    /// A reply of [`Verdict::MayHaveRun`] means that the executing node could
    /// not tell what became of the request.
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

    /// Executes an idempotent attempt, and leaves an executing node that stays silent.
    async fn run_bounded(&self) -> Reply {
        let execution = self.execute();
        tokio::pin!(execution);
        let begun_at = now();
        let question_at = begun_at + FIRST_QUESTION;
        let remaining = self.call.deadline.saturating_duration_since(begun_at);
        let until = if self.is_last {
            self.call.deadline
        } else {
            begun_at + (remaining / PARTS).max(FIRST_QUESTION)
        };
        if let Ok(reply) = timeout_at(question_at.min(until).into(), &mut execution).await {
            return reply;
        }
        tokio::select! {
            biased;
            reply = &mut execution => return reply,
            resolved = self.ask() => {
                if matches!(resolved, Settled::Unasked) && !self.is_last {
                    return Reply::unknown(Reason::Deadline);
                }
            }
        }
        let waited = timeout_at(until.into(), execution).await;
        waited.unwrap_or_else(|_elapsed| Reply::unknown(Reason::Deadline))
    }

    /// Executes an attempt that may run once, and asks what became of it while it is silent.
    async fn run_resolved(&self) -> Reply {
        let execution = self.execute();
        tokio::pin!(execution);
        let mut pause = FIRST_QUESTION;
        loop {
            let question_at = now() + pause;
            let question_at = question_at.min(self.call.deadline);
            let answered = timeout_at(question_at.into(), &mut execution).await;
            if let Ok(reply) = answered {
                return self.settle(reply).await;
            }
            tokio::select! {
                biased;
                reply = &mut execution => return self.settle(reply).await,
                settled = self.ask() => {
                    if let Settled::Known(reply) = settled {
                        return reply;
                    }
                }
            }
            if now() >= self.call.deadline {
                return Reply::unknown(Reason::Deadline);
            }
            pause = (pause * 2).min(LONGEST_PAUSE);
        }
    }

    /// Resolves a reply whose request may have run.
    async fn settle(&self, reply: Reply) -> Reply {
        if reply.verdict != Verdict::MayHaveRun || reply.reason == Some(Reason::UpstreamLost) {
            return reply;
        }
        let until = self.call.deadline.max(now() + GRACE);
        let mut pause = FIRST_PAUSE;
        let mut unanswered = 0;
        loop {
            let asked = timeout_at(until.into(), self.ask()).await;
            match asked.unwrap_or(Settled::Unasked) {
                Settled::Known(settled) => return settled,
                Settled::Running => unanswered = 0,
                Settled::Unasked => unanswered += 1,
            }
            let next_at = now() + pause;
            if unanswered >= MAX_UNANSWERED || next_at >= until {
                return reply;
            }
            sleep_until(next_at.into()).await;
            pause = (pause * 2).min(FIRST_QUESTION);
        }
    }

    /// Asks the executing node over a fresh connection.
    async fn ask(&self) -> Settled {
        let endpoint = Arc::clone(self.endpoint);
        let call = Arc::clone(self.call);
        let resolved = self.executor.resolve(endpoint, call).await;
        let label = match &resolved {
            Some((resolution, _)) => resolution.to_string(),
            None => "unasked".to_owned(),
        };
        metrics::counter!("lentilshunt_resolutions_total", "resolution" => label).increment(1);
        match resolved {
            Some((Resolution::Answered, Some(reply))) => Settled::Known(reply),
            Some((Resolution::Barred, _)) => Settled::Known(Reply::refused(Reason::Barred)),
            Some((Resolution::Running, _)) => Settled::Running,
            Some((Resolution::MayHaveRun | Resolution::Answered, _)) => {
                Settled::Known(Reply::unknown(Reason::ConnectionLost))
            }
            None => Settled::Unasked,
        }
    }
}
