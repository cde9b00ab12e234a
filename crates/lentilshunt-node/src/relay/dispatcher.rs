//! Selects endpoints for the attempts of a call and retries it.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use hyper::{
    Request, StatusCode, Uri,
    header::{EXPECT, HeaderValue},
};
use lentilshunt_core::{
    id::{InstanceId, ServiceId},
    membership::Endpoint,
    overload::{Attempts, Limits, Notices, Outcome, Patience, Step},
    quarantine::{QuarantineStatus, Suspects},
    retry::NodeBudget,
    routing::{AttemptOutcome, Choice, LocalityAware, Observations, Policy, SelectionContext},
    verdict::{Reason, Verdict},
};
use slog::{Level, warn};
use tokio::time::{sleep, timeout_at};

use super::{
    Call, Executor, LogLimiter, Reply, Shared,
    body::{Body, Payload, empty, read_prefix},
    cutoff::Cutoff,
    doubtful::{Attempt, Doubtful},
    header::is_of_another_request,
    inbound::PROBE_PATH,
    lent_body::{Admission, OnContinue, Source},
    node_headers::{read_reply, write_call, write_notice},
    pool::Pool,
};
use crate::executor::lock;

/// Time without a response after which a node is probed.
const PROBE_DELAY: Duration = Duration::from_millis(350);
/// Time limit for the response to a probe.
///
/// A small instance that has used up its share of the processor responds late.
const PROBE_TIMEOUT: Duration = Duration::from_millis(600);
/// Maximum number of nodes whose last response time is kept.
const MAX_TRACKED_NODES: usize = 4096;
/// Maximum size of a response that is buffered before it is passed on, in bytes.
///
/// A response that breaks off within this size can still be replaced by another
/// attempt.
pub(super) const MAX_BUFFERED_RESPONSE_BYTES: usize = 64 * 1024;

/// Statuses that count against the health of an endpoint; a slow upstream returns others.
const UNHEALTHY_STATUSES: [StatusCode; 2] =
    [StatusCode::INTERNAL_SERVER_ERROR, StatusCode::BAD_GATEWAY];

/// Sends each call to endpoints until an attempt succeeds or no further attempt is allowed.
#[derive(Debug)]
pub struct Dispatcher {
    shared: Arc<Shared>,
    executor: Arc<Executor>,
    pool: Arc<Pool>,
    /// Time of the last response of each node.
    last_responses: Mutex<HashMap<SocketAddr, Instant>>,
    notices: Mutex<Notices>,
    policy: Box<dyn Policy>,
    observations: Observations,
    suspects: Arc<Suspects>,
    retry_budgets: Mutex<HashMap<ServiceId, Arc<NodeBudget>>>,
    cutoff: Cutoff,
    log_limiter: LogLimiter,
}

/// Progress of one call.
#[derive(Debug, Default)]
pub struct Progress {
    /// Attempts that have ended.
    pub attempts: Attempts,
    /// Instance of the attempt in flight.
    pub current: Option<InstanceId>,
    /// Timeout of the request (that of the caller, or the default) in milliseconds, for the log.
    pub requested_timeout_ms: u64,
    /// Whether the request may wait past its target latency, for the log.
    pub is_past_target: bool,
}

/// A node that has responded neither to requests nor to a probe.
#[derive(Debug)]
struct Silence {
    /// Start of the attempt.
    since: Instant,
    /// Whether the probe was sent; otherwise the node may only accept no further connection.
    is_proven: bool,
    /// Why the probe failed.
    problem: String,
}

impl Progress {
    /// Returns the reply to a call whose handling ends before its result.
    #[must_use]
    pub fn interrupted(&self) -> Reply {
        if self.current.is_some() || self.attempts.may_have_run {
            Reply::unknown(Reason::Deadline)
        } else {
            Reply::refused(Reason::Draining)
        }
    }
}

impl Dispatcher {
    /// Creates a dispatcher without observations of endpoints.
    #[must_use]
    pub fn new(
        shared: Arc<Shared>,
        executor: Arc<Executor>,
        suspects: Arc<Suspects>,
        pool: Arc<Pool>,
    ) -> Self {
        let cutoff = Cutoff::new(&shared.log);
        Self {
            shared,
            executor,
            pool,
            last_responses: Mutex::default(),
            notices: Mutex::default(),
            policy: Box::new(LocalityAware),
            observations: Observations::new(Instant::now()),
            suspects,
            retry_budgets: Mutex::default(),
            cutoff,
            log_limiter: LogLimiter::new(),
        }
    }

    /// Returns the latest deadline of the requests that run on the local upstream.
    #[must_use]
    pub fn latest_local_deadline(&self) -> Option<Instant> {
        self.executor.latest_deadline()
    }

    /// Sends a call until `max_upstream_attempts` attempts may have reached an upstream, and
    /// returns its reply.
    ///
    /// The verdict of the reply covers all attempts. Dropping the future cancels
    /// the attempt in flight.
    pub async fn dispatch(
        &self,
        call: Arc<Call>,
        payload: Payload,
        max_upstream_attempts: usize,
        progress: &mut Progress,
    ) -> Reply {
        let mut doubtful = Doubtful::default();
        let reply = self
            .dispatch_attempts(
                call,
                payload,
                max_upstream_attempts,
                progress,
                &mut doubtful,
            )
            .await;
        let is_worth_waiting = self.shared.stop.is_cancelled() || doubtful.has_unproven();
        if reply.verdict == Verdict::Ran || !is_worth_waiting {
            return reply;
        }
        // Nothing else is left to try.
        doubtful.response().await.unwrap_or(reply)
    }

    /// Makes attempts one after the other; those whose node does not respond go to `doubtful`.
    async fn dispatch_attempts<'a>(
        &'a self,
        mut call: Arc<Call>,
        payload: Payload,
        max_upstream_attempts: usize,
        progress: &mut Progress,
        doubtful: &mut Doubtful<'a>,
    ) -> Reply {
        let source = Source::from(payload);
        let retry_budget = self.retry_budget(&call.service);
        let node_count = self.shared.directory.load().node_count();
        retry_budget.deposit(**self.shared.retry_allowance.load(), node_count);
        let mut last: Option<Reply> = None;
        loop {
            let deadline = self.shared.lifetime.limit(call.deadline);
            if deadline < call.deadline {
                Arc::make_mut(&mut call).deadline = deadline;
            }
            if call.remaining().is_zero() {
                let reply = last.unwrap_or_else(|| Reply::refused(Reason::Deadline));
                return finish(reply, progress);
            }
            let limits = Limits {
                upstream_attempts: max_upstream_attempts,
                idempotent: call.idempotent,
                is_past_target: call.is_past_target(),
                has_unread_body: call.has_unread_body,
            };
            let endpoint = match self.choose(&call, &progress.attempts) {
                Ok((endpoint, patience)) => {
                    if call.patience != patience {
                        Arc::make_mut(&mut call).patience = patience;
                    }
                    endpoint
                }
                Err(reason) => {
                    let reply = last.take().unwrap_or_else(|| Reply::refused(reason));
                    let step = progress.attempts.after_last(&limits, reply.reason);
                    if step != Step::WaitPastTarget {
                        return finish(reply, progress);
                    }
                    call = Arc::new(wait_past_target(&call, progress));
                    last = Some(reply);
                    continue;
                }
            };
            let Some((body, admission)) = source.lend() else {
                let reply = last.unwrap_or_else(|| Reply::refused(Reason::NoEndpoint));
                return finish(reply, progress);
            };
            progress.current = Some(endpoint.instance.clone());
            let attempt = self.attempt(Arc::clone(&endpoint), Arc::clone(&call), body, admission);
            let mut attempt: Attempt<'a> = Box::pin(attempt);
            // Only idempotent calls can be sent again.
            let may_be_doubtful =
                call.idempotent && endpoint.instance != self.shared.locality.instance;
            let silence = tokio::select! {
                biased;
                reply = &mut attempt => Ok(reply),
                Some(reply) = doubtful.response(), if !doubtful.is_empty() => return reply,
                silence = self.wait_until_unresponsive(endpoint.address), if may_be_doubtful => {
                    Err(silence)
                }
            };
            progress.current = None;
            let reply = silence.unwrap_or_else(|silence| {
                self.record_silence(&endpoint, &call, &silence);
                doubtful.push(attempt, silence.is_proven);
                Reply::unknown(Reason::ConnectionLost)
            });
            let outcome = Outcome {
                verdict: reply.verdict,
                reason: reply.reason,
                may_have_reached_upstream: reply.may_have_reached_upstream,
                has_retryable_status: reply.has_retryable_status(),
            };
            let attempts = &mut progress.attempts;
            attempts.record(endpoint.instance.clone(), &outcome);
            if call.remaining().is_zero() || !source.is_available() {
                return finish(reply, progress);
            }
            match attempts.next(&limits, &outcome) {
                Step::Finish => return finish(reply, progress),
                Step::RetryPaid if !retry_budget.withdraw() => return finish(reply, progress),
                Step::RetryFree | Step::RetryPaid => {}
                Step::WaitPastTarget => call = Arc::new(wait_past_target(&call, progress)),
            }
            if let Some(reason) = reply.reason {
                let reason = reason.to_string();
                metrics::counter!("lentilshunt_retries_total", "reason" => reason).increment(1);
            }
            last = Some(reply);
        }
    }

    /// Chooses the endpoint of the next attempt, or returns why there is none.
    ///
    /// Also returns how long the attempt waits there.
    fn choose(
        &self,
        call: &Call,
        attempts: &Attempts,
    ) -> Result<(Arc<Endpoint>, Patience), Reason> {
        let now = Instant::now();
        if self.suspects.status(call.fingerprint, now) == QuarantineStatus::Quarantined {
            self.executor.extend_quarantine(call);
            return Err(Reason::Quarantined);
        }
        let directory = self.shared.directory.load();
        let route = if call.is_past_target() {
            // Traffic between regions costs more than a late response is worth.
            directory.local_region_route(&call.service)
        } else {
            directory.route(&call.service)
        };
        let route = route.ok_or(Reason::NoEndpoint)?;
        let plan = self.shared.rollouts.plan(&call.service, now);
        let is_first = attempts.tried.is_empty() && attempts.tried_before.is_empty();
        let planned = plan.map(|plan| plan.select(route, is_first, rand::random()));
        let route = planned.as_ref().unwrap_or(route);
        let selection = SelectionContext {
            service: &call.service,
            route,
            tried: &attempts.tried,
            observations: &self.observations,
            now,
            random: rand::random(),
        };
        match self.policy.choose(&selection) {
            Choice::Endpoint(endpoint) | Choice::Queue(endpoint) if call.is_past_target() => {
                Ok((endpoint, Patience::UntilDeadline))
            }
            Choice::Endpoint(endpoint) => Ok((endpoint, Patience::Brief)),
            Choice::Queue(endpoint) => Ok((endpoint, Patience::UntilTarget)),
            Choice::Full => Err(Reason::NoRoom),
            Choice::NoCandidate => Err(Reason::NoEndpoint),
        }
    }

    /// Makes one attempt; `admission` lets it send a long body.
    async fn attempt(
        &self,
        endpoint: Arc<Endpoint>,
        call: Arc<Call>,
        body: Body,
        admission: Option<Arc<Admission>>,
    ) -> Reply {
        let (endpoint, call, admission) = (&endpoint, &*call, admission.as_ref());
        let observation = self.observations.begin_attempt(endpoint, Instant::now());
        let execution = async {
            let reply = if endpoint.instance == self.shared.locality.instance {
                // The executor reads the body only after it has admitted the call.
                if let Some(admission) = admission {
                    admission.grant();
                }
                let reply = self.executor.execute(call, body).await;
                let free_slots = Some(self.executor.free_slots());
                Reply {
                    free_slots,
                    ..reply
                }
            } else {
                self.send(endpoint, call, body, admission).await
            };
            buffer_response(reply, call, &self.cutoff).await
        };
        let deadline = Instant::now() + call.remaining();
        let reply = timeout_at(deadline.into(), execution).await;
        let reply = reply.unwrap_or_else(|_elapsed| Reply::unknown(Reason::Deadline));
        let outcome = outcome(&reply);
        self.log_lost_endpoint(endpoint, call, &reply, outcome);
        observation.end(outcome, reply.free_slots, Instant::now());
        if let Some(version) = reply.version {
            self.shared.observe_version(version, Some(endpoint.address));
        }
        reply
    }

    /// Logs an attempt whose node is unreachable or has no ready upstream, with the age of the
    /// node's last response.
    fn log_lost_endpoint(
        &self,
        endpoint: &Endpoint,
        call: &Call,
        reply: &Reply,
        outcome: AttemptOutcome,
    ) {
        let now = Instant::now();
        if outcome != AttemptOutcome::Lost
            || !self
                .log_limiter
                .allows(Level::Warning, now, &self.shared.log)
        {
            return;
        }
        let responded_at = self.last_response(endpoint.address);
        let age = responded_at.map(|responded_at| (now - responded_at).as_millis());
        warn!(self.shared.log, "attempt failed, endpoint ejected";
            "request" => &call.request_id,
            "node" => &endpoint.instance,
            "service" => &endpoint.service,
            "reason" => reply.reason.map(|reason| reason.to_string()),
            "sent" => reply.may_have_reached_upstream,
            "heard_ms_ago" => age.map(|age| u64::try_from(age).unwrap_or(u64::MAX)),
        );
    }

    /// Sends an attempt to another node.
    async fn send(
        &self,
        endpoint: &Endpoint,
        call: &Call,
        body: Body,
        admission: Option<&Arc<Admission>>,
    ) -> Reply {
        let Some(mut request) = self.request(endpoint, call, body) else {
            return Reply::refused(Reason::BadRequest);
        };
        if let Some(admission) = admission {
            // The other node asks to continue when it reads the body.
            let expectation = HeaderValue::from_static("100-continue");
            request.headers_mut().insert(EXPECT, expectation);
            let on_continue = OnContinue(Arc::downgrade(admission));
            request.extensions_mut().insert(on_continue);
        }
        let address = endpoint.address;
        match self.pool.send(address, request).await {
            Ok(response) => {
                self.record_response(address);
                let reply = read_reply(response);
                if let Some(reply) = &reply
                    && (reply.verdict == Verdict::Ran || reply.notice.is_some())
                {
                    lock(&self.notices).record(&endpoint.instance, reply.notice);
                }
                reply
                    .filter(|reply| !self.is_of_another_request(reply, call))
                    .unwrap_or_else(|| Reply::unknown(Reason::BadAnswer))
            }
            Err(failure) if failure.verdict() == Verdict::NotRun => {
                Reply::refused(Reason::Unreachable)
            }
            Err(_lost) => Reply::unknown(Reason::ConnectionLost),
        }
    }

    /// Returns whether a reply contains the response to another request.
    fn is_of_another_request(&self, reply: &Reply, call: &Call) -> bool {
        let echo = &self.shared.header_names.request_id;
        let response = reply.response.as_ref();
        response.is_some_and(|response| {
            is_of_another_request(response.headers(), echo, call.request_id.as_bytes())
        })
    }

    /// Completes once a node has responded neither to requests nor to a probe.
    ///
    /// Does not complete once this node is told to stop: it does not abandon a response that may
    /// still arrive.
    async fn wait_until_unresponsive(&self, address: SocketAddr) -> Silence {
        tokio::select! {
            biased;
            () = self.shared.stop.cancelled() => std::future::pending().await,
            silence = self.probe_until_unresponsive(address) => silence,
        }
    }

    async fn probe_until_unresponsive(&self, address: SocketAddr) -> Silence {
        let since = Instant::now();
        sleep(PROBE_DELAY).await;
        loop {
            if self
                .last_response(address)
                .is_none_or(|responded_at| responded_at < since)
            {
                let mut request = Request::new(empty());
                *request.uri_mut() = Uri::from_static(PROBE_PATH);
                let deadline = Instant::now() + PROBE_TIMEOUT;
                let probe = timeout_at(deadline.into(), self.pool.send(address, request)).await;
                let (is_proven, problem) = match probe {
                    Ok(Ok(_response)) => {
                        self.record_response(address);
                        sleep(PROBE_DELAY * 2).await;
                        continue;
                    }
                    Ok(Err(failure)) => (failure.verdict() != Verdict::NotRun, failure.to_string()),
                    Err(elapsed) => (true, elapsed.to_string()),
                };
                return Silence {
                    since,
                    is_proven,
                    problem,
                };
            }
            sleep(PROBE_DELAY * 2).await;
        }
    }

    /// Counts and logs an attempt whose node does not respond.
    ///
    /// No other attempts go to the endpoint for a while.
    fn record_silence(&self, endpoint: &Arc<Endpoint>, call: &Call, silence: &Silence) {
        metrics::counter!("lentilshunt_attempts_in_doubt_total").increment(1);
        let now = Instant::now();
        let observation = self.observations.begin_attempt(endpoint, now);
        observation.end(AttemptOutcome::Lost, None, now);
        if !self
            .log_limiter
            .allows(Level::Warning, now, &self.shared.log)
        {
            return;
        }
        let waited = now.saturating_duration_since(silence.since);
        warn!(self.shared.log, "node does not respond, another one is tried";
            "request" => &call.request_id,
            "node" => &endpoint.instance,
            "waited_ms" => u64::try_from(waited.as_millis()).unwrap_or(u64::MAX),
            "probe" => &silence.problem,
        );
    }

    fn last_response(&self, address: SocketAddr) -> Option<Instant> {
        let last_responses = lock(&self.last_responses);
        last_responses.get(&address).copied()
    }

    fn record_response(&self, address: SocketAddr) {
        let mut last_responses = lock(&self.last_responses);
        if last_responses.len() < MAX_TRACKED_NODES || last_responses.contains_key(&address) {
            last_responses.insert(address, Instant::now());
        }
    }

    fn request(&self, endpoint: &Endpoint, call: &Call, body: Body) -> Option<Request<Body>> {
        let mut request = call.to_request(body)?;
        let (name, value) = write_call(call, self.shared.version())?;
        request.headers_mut().insert(name, value);
        let notice = lock(&self.notices).get(&endpoint.instance);
        if let Some((name, value)) = notice.as_ref().and_then(write_notice) {
            request.headers_mut().insert(name, value);
        }
        Some(request)
    }

    fn retry_budget(&self, service: &str) -> Arc<NodeBudget> {
        let mut retry_budgets = lock(&self.retry_budgets);
        if let Some(retry_budget) = retry_budgets.get(service) {
            return Arc::clone(retry_budget);
        }
        Arc::clone(retry_budgets.entry(service.to_owned()).or_default())
    }
}

/// Returns the outcome that a reply indicates for its endpoint.
///
/// An upstream never receives more calls than it has slots, so one that refuses
/// a call or responds with a failure status is unhealthy.
fn outcome(reply: &Reply) -> AttemptOutcome {
    if reply.notice.is_some_and(|notice| notice.is_leaving) {
        return AttemptOutcome::Draining;
    }
    let has_refused = reply.verdict == Verdict::NotRun && reply.may_have_reached_upstream;
    let response = reply.response.as_ref();
    let has_failed =
        response.is_some_and(|response| UNHEALTHY_STATUSES.contains(&response.status()));
    if has_refused || has_failed {
        return AttemptOutcome::Failed;
    }
    match reply.reason {
        Some(Reason::Unreachable | Reason::NotReady) => AttemptOutcome::Lost,
        // With a number of free slots, the executing node has responded and only the response
        // of its upstream was lost, which may still handle the next call. Without it, the
        // executing node itself did not respond.
        Some(Reason::ConnectionLost) if reply.free_slots.is_none() => AttemptOutcome::Lost,
        reason => AttemptOutcome::new(reply.verdict, reason),
    }
}

/// Buffers a short response, so that one that breaks off is not passed on.
///
/// A longer one is broken off if it is not complete by the deadline of its call.
async fn buffer_response(mut reply: Reply, call: &Call, cutoff: &Cutoff) -> Reply {
    let Some(response) = reply.response.take() else {
        return reply;
    };
    let (parts, body) = response.into_parts();
    match read_prefix(body, MAX_BUFFERED_RESPONSE_BYTES).await {
        Ok(payload) => {
            let payload = match payload {
                Payload::Streamed(prefix, rest) => {
                    Payload::Streamed(prefix, cutoff.apply(rest, call))
                }
                buffered @ Payload::Buffered(_) => buffered,
            };
            let response = hyper::Response::from_parts(parts, payload.into_body());
            reply.response = Some(response);
            reply
        }
        Err(_broken) => Reply {
            free_slots: reply.free_slots,
            version: reply.version,
            ..Reply::unknown(Reason::BadAnswer)
        },
    }
}

/// Returns the call as one that may wait past its target latency, and records that.
fn wait_past_target(call: &Call, progress: &mut Progress) -> Call {
    progress.is_past_target = true;
    progress.attempts.wait_past_target();
    metrics::counter!("lentilshunt_waits_past_target_total").increment(1);
    call.past_target()
}

/// Returns the reply of the last attempt with the verdict for all attempts.
fn finish(reply: Reply, progress: &Progress) -> Reply {
    if reply.verdict == Verdict::NotRun && progress.attempts.may_have_run {
        return Reply {
            verdict: Verdict::MayHaveRun,
            ..reply
        };
    }
    reply
}
