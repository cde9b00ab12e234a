//! Selects endpoints for the attempts of a call and retries it.

use std::sync::Arc;

use lentilshunt_core::{
    id::InstanceId,
    membership::Endpoint,
    quarantine::{Fingerprint, QuarantineStatus, Suspects, fingerprint},
    retry::{Budgets, Decision, MAX_ATTEMPTS, decide},
    routing::{AttemptOutcome, Choice, Observations, Policy, SelectionContext},
    verdict::{Reason, Verdict},
};
use lentilshunt_net::call::{Call, Executor, Reply};

use super::{
    Notifier,
    attempt::{Attempt, RESOLVE_DELAY},
    meter::Meter,
    now,
};
use crate::context::Context;

/// Sends each call to endpoints until an attempt has run or no further attempt is allowed.
#[derive(Debug)]
pub struct Dispatcher {
    context: Arc<Context>,
    local: Arc<dyn Executor>,
    remote: Arc<dyn Executor>,
    policy: Arc<dyn Policy>,
    observations: Observations,
    budgets: Budgets,
    suspects: Arc<Suspects>,
    notifier: Notifier,
    meter: Meter,
}

/// The attempts of one call so far.
#[derive(Debug)]
struct Progress {
    fingerprint: Fingerprint,
    tried: Vec<InstanceId>,
    may_have_run: bool,
    last_reply: Reply,
}

impl Dispatcher {
    /// Creates a dispatcher without observations of endpoints.
    #[must_use]
    pub fn new(
        context: Arc<Context>,
        local: Arc<dyn Executor>,
        remote: Arc<dyn Executor>,
        policy: Arc<dyn Policy>,
        suspects: Arc<Suspects>,
    ) -> Self {
        let now = now();
        let budgets = Budgets::new(now, context.settings.calls.retry_percent);
        Self {
            notifier: Notifier::new(Arc::clone(&context)),
            context,
            local,
            remote,
            policy,
            observations: Observations::new(now),
            budgets,
            meter: Meter::new(),
            suspects,
        }
    }

    /// Sends a call and returns its reply.
    ///
    /// The verdict of the reply covers all attempts. Dropping the future cancels
    /// the attempt in flight.
    pub async fn dispatch(&self, call: Arc<Call>) -> Reply {
        let method = call.method.as_str();
        let fingerprint = fingerprint(&call.service, method, &call.path, &call.body);
        let budget = self.budgets.budget(&call.service);
        let mut progress = Progress::new(fingerprint);
        budget.deposit();
        loop {
            let endpoint = match self.choose(&call, &progress) {
                Ok(endpoint) => endpoint,
                Err(reason) => return progress.finish_with(reason),
            };
            self.attempt(&endpoint, &call, &mut progress).await;
            let now = now();
            let Reply {
                verdict, reason, ..
            } = progress.last_reply;
            let attempts = progress.tried.len();
            match decide(verdict, reason, call.idempotent, attempts, &budget, now) {
                Decision::Retry if now < call.deadline => Meter::count_retry(reason),
                Decision::Retry | Decision::Stop => return progress.finish(),
                Decision::BudgetExhausted => return progress.finish_with(Reason::RetryBudget),
            }
        }
    }

    /// Chooses the endpoint of the next attempt, or returns why there is none.
    fn choose(&self, call: &Call, progress: &Progress) -> Result<Arc<Endpoint>, Reason> {
        let now = now();
        let routes = self.context.route_table.load();
        let route = routes.route(&call.service).ok_or(Reason::UnknownService)?;
        match self.suspects.status(progress.fingerprint, now) {
            QuarantineStatus::Clear => {}
            QuarantineStatus::Quarantined => return Err(Reason::Quarantined),
            QuarantineStatus::Suspect => {
                let chosen = self
                    .suspects
                    .choose_suspect_endpoint(progress.fingerprint, route);
                let untried = chosen.filter(|chosen| !progress.tried.contains(&chosen.instance));
                return untried.ok_or(Reason::Quarantined);
            }
        }
        let selection = SelectionContext {
            service: &call.service,
            route,
            tried: &progress.tried,
            observations: &self.observations,
            now,
            random: rand::random(),
        };
        match self.policy.choose(&selection) {
            Choice::Endpoint(endpoint) | Choice::Queue(endpoint) => Ok(endpoint),
            Choice::Full => Err(Reason::NoRoom),
            Choice::NoCandidate => Err(Reason::NoEndpoint),
        }
    }

    async fn attempt(&self, endpoint: &Arc<Endpoint>, call: &Arc<Call>, progress: &mut Progress) {
        progress.tried.push(endpoint.instance.clone());
        let is_remote = endpoint.instance != self.context.locality.instance;
        let executor = if is_remote { &self.remote } else { &self.local };
        let attempt = Attempt {
            executor: &**executor,
            endpoint,
            call,
            is_remote,
            is_last: progress.tried.len() >= MAX_ATTEMPTS,
        };
        let started_at = now();
        let observation = self.observations.begin_attempt(endpoint, started_at);
        let reply = attempt.run().await;
        let now = now();
        let has_timed_out =
            reply.verdict == Verdict::MayHaveRun && reply.reason == Some(Reason::Deadline);
        if has_timed_out && now < started_at + RESOLVE_DELAY {
            // A timeout this short says nothing about the endpoint; dropping the guard records
            // no outcome.
            drop(observation);
        } else {
            let outcome = AttemptOutcome::new(reply.verdict, reply.reason);
            observation.end(outcome, reply.free_slots, now);
        }
        let distance = self.context.locality.distance(endpoint);
        self.meter.count_attempt(distance, call, &reply);
        if reply.verdict == Verdict::Ran {
            self.suspects.clear(progress.fingerprint, now);
        } else if reply.reason == Some(Reason::UpstreamLost) {
            self.report_crash(endpoint, progress.fingerprint).await;
        }
        progress.record(reply);
    }

    /// Records that an upstream was lost while it ran a request, and notifies other nodes.
    async fn report_crash(&self, endpoint: &Endpoint, fingerprint: Fingerprint) {
        let now = now();
        if let Some(suspicion) = self
            .suspects
            .record_loss(fingerprint, &endpoint.instance, now)
        {
            metrics::counter!("lentilshunt_suspicions_total").increment(1);
            self.notifier.notify(&[suspicion]).await;
        }
    }
}

impl Progress {
    fn new(fingerprint: Fingerprint) -> Self {
        Self {
            fingerprint,
            tried: Vec::with_capacity(MAX_ATTEMPTS),
            may_have_run: false,
            last_reply: Reply::refused(Reason::NoEndpoint),
        }
    }

    fn record(&mut self, reply: Reply) {
        self.may_have_run |= reply.verdict == Verdict::MayHaveRun;
        self.last_reply = reply;
    }

    /// Returns the reply of the last attempt with the verdict for all attempts.
    fn finish(self) -> Reply {
        match (self.last_reply.verdict, self.last_reply.reason) {
            (Verdict::NotRun, Some(reason)) if self.may_have_run => Reply::unknown(reason),
            _ => self.last_reply,
        }
    }

    /// Returns the reply to a call that gets no further attempt for a reason.
    fn finish_with(self, reason: Reason) -> Reply {
        let applies_to_whole_call = matches!(reason, Reason::Quarantined | Reason::RetryBudget);
        if !self.tried.is_empty() && !applies_to_whole_call {
            return self.finish();
        }
        let verdict = if self.may_have_run {
            Verdict::MayHaveRun
        } else {
            Verdict::NotRun
        };
        Reply::failed(verdict, reason)
    }
}
