//! Sends the attempts of a call.

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
    Notice,
    attempt::{Attempt, FIRST_QUESTION},
    meter::Meter,
    now,
};
use crate::context::Context;

/// Tries calls until they have run or may not be tried again.
#[derive(Debug)]
pub struct Dispatcher {
    context: Arc<Context>,
    local: Arc<dyn Executor>,
    remote: Arc<dyn Executor>,
    policy: Arc<dyn Policy>,
    observations: Observations,
    budgets: Budgets,
    suspects: Arc<Suspects>,
    notice: Notice,
    meter: Meter,
}

/// The attempts of one call so far.
#[derive(Debug)]
struct Progress {
    request: Fingerprint,
    tried: Vec<InstanceId>,
    may_have_run: bool,
    last: Reply,
}

impl Dispatcher {
    /// Creates a dispatcher that has observed nothing.
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
            notice: Notice::new(Arc::clone(&context)),
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

    /// Tries a call and returns its reply.
    ///
    /// The verdict of the reply holds for all attempts together. Dropping the
    /// future cancels the attempt in flight.
    pub async fn dispatch(&self, call: Arc<Call>) -> Reply {
        let method = call.method.as_str();
        let request = fingerprint(&call.service, method, &call.path, &call.body);
        let budget = self.budgets.budget(&call.service);
        let mut progress = Progress::new(request);
        budget.deposit();
        loop {
            let endpoint = match self.choose(&call, &progress) {
                Ok(endpoint) => endpoint,
                Err(reason) => return progress.refuse(reason),
            };
            self.attempt(&endpoint, &call, &mut progress).await;
            let now = now();
            let Reply {
                verdict, reason, ..
            } = progress.last;
            let attempts = progress.tried.len();
            match decide(verdict, reason, call.idempotent, attempts, &budget, now) {
                Decision::Retry if now < call.deadline => Meter::retry(reason),
                Decision::Retry | Decision::Stop => return progress.finish(),
                Decision::Exhausted => return progress.refuse(Reason::RetryBudget),
            }
        }
    }

    /// Chooses the endpoint of the next attempt, or tells why there is none.
    fn choose(&self, call: &Call, progress: &Progress) -> Result<Arc<Endpoint>, Reason> {
        let now = now();
        let routes = self.context.routes.load();
        let route = routes.route(&call.service).ok_or(Reason::UnknownService)?;
        match self.suspects.status(progress.request, now) {
            QuarantineStatus::Clear => {}
            QuarantineStatus::Quarantined => return Err(Reason::Quarantined),
            QuarantineStatus::Suspect => {
                let chosen = self
                    .suspects
                    .choose_suspect_endpoint(progress.request, route);
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
            Choice::Endpoint(endpoint) => Ok(endpoint),
            Choice::Full => Err(Reason::NoRoom),
            Choice::NoCandidate => Err(Reason::NoEndpoint),
        }
    }

    async fn attempt(&self, endpoint: &Arc<Endpoint>, call: &Arc<Call>, progress: &mut Progress) {
        progress.tried.push(endpoint.instance.clone());
        let is_remote = endpoint.instance != self.context.place.instance;
        let executor = if is_remote { &self.remote } else { &self.local };
        let attempt = Attempt {
            executor: &**executor,
            endpoint,
            call,
            is_remote,
            is_last: progress.tried.len() >= MAX_ATTEMPTS,
        };
        let begun_at = now();
        let observed = self.observations.begin_attempt(endpoint, begun_at);
        let reply = attempt.run().await;
        let now = now();
        let is_late =
            reply.verdict == Verdict::MayHaveRun && reply.reason == Some(Reason::Deadline);
        if is_late && now < begun_at + FIRST_QUESTION {
            // The caller gave too little time; this says nothing of the endpoint.
            drop(observed);
        } else {
            let outcome = AttemptOutcome::new(reply.verdict, reply.reason);
            observed.end(outcome, reply.room, now);
        }
        let distance = self.context.place.distance(endpoint);
        self.meter.attempt(distance, call, &reply);
        if reply.verdict == Verdict::Ran {
            self.suspects.clear(progress.request, now);
        } else if reply.reason == Some(Reason::UpstreamLost) {
            self.suspect(endpoint, progress.request).await;
        }
        progress.take(reply);
    }

    /// Notes that an upstream was lost while it ran a request, and tells other nodes.
    async fn suspect(&self, endpoint: &Endpoint, request: Fingerprint) {
        let now = now();
        if let Some(suspicion) = self.suspects.record_loss(request, &endpoint.instance, now) {
            metrics::counter!("lentilshunt_suspicions_total").increment(1);
            self.notice.send(&[suspicion]).await;
        }
    }
}

impl Progress {
    fn new(request: Fingerprint) -> Self {
        Self {
            request,
            tried: Vec::with_capacity(MAX_ATTEMPTS),
            may_have_run: false,
            last: Reply::refused(Reason::NoEndpoint),
        }
    }

    fn take(&mut self, reply: Reply) {
        self.may_have_run |= reply.verdict == Verdict::MayHaveRun;
        self.last = reply;
    }

    /// Returns the reply of the last attempt with the verdict of all attempts.
    fn finish(self) -> Reply {
        match (self.last.verdict, self.last.reason) {
            (Verdict::NotRun, Some(reason)) if self.may_have_run => Reply::unknown(reason),
            _ => self.last,
        }
    }

    /// Returns the reply to a call for which there is no further attempt.
    fn refuse(self, reason: Reason) -> Reply {
        let is_about_call = matches!(reason, Reason::Quarantined | Reason::RetryBudget);
        if !self.tried.is_empty() && !is_about_call {
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
