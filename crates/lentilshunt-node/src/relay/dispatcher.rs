//! Sends the attempts of a call.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use hyper::{Request, StatusCode, Uri};
use lentilshunt_core::{
    id::{InstanceId, ServiceId},
    membership::Endpoint,
    quarantine::{QuarantineStatus, Suspects},
    retry::NodeBudget,
    routing::{AttemptOutcome, Choice, LocalityAware, Observations, Policy, SelectionContext},
    verdict::{Reason, Verdict},
};
use slog::{Level, warn};
use tokio::time::{sleep, timeout_at};

use super::{
    Call, Executor, Journal, Reply, Shared,
    body::{Body, Payload, empty, read},
    head::{read_reply, write_call},
    inbound::PRESENCE,
    pool::Pool,
};
use crate::executor::locked;

/// Time after which a node that answers nothing is asked whether it answers at all.
const SILENCE: Duration = Duration::from_millis(350);
/// Longest wait for the answer whether a node answers at all.
///
/// A small machine whose share of the processor is used up answers late.
const PRESENCE_TIMEOUT: Duration = Duration::from_millis(600);
/// Nodes whose last answer is remembered.
const MAX_HEARD: usize = 4096;
/// Largest answer that is held whole before its head is passed on, in bytes.
///
/// A broken answer of up to this size can still be replaced by another attempt.
const HELD_BYTES: usize = 64 * 1024;
/// Nodes that one call is sent to, counting those that refuse it.
const MAX_HOPS: usize = 5;

/// Statuses of an upstream that is not well; a late one answers otherwise.
const FAILURES: [StatusCode; 2] = [StatusCode::INTERNAL_SERVER_ERROR, StatusCode::BAD_GATEWAY];

/// Tries calls until they have run or may not be tried again.
#[derive(Debug)]
pub struct Dispatcher {
    shared: Arc<Shared>,
    executor: Arc<Executor>,
    pool: Arc<Pool>,
    heard: Mutex<HashMap<SocketAddr, Instant>>,
    policy: Box<dyn Policy>,
    observations: Observations,
    suspects: Arc<Suspects>,
    shares: Mutex<HashMap<ServiceId, Arc<NodeBudget>>>,
    journal: Journal,
}

/// The attempts of one call so far.
#[derive(Debug, Default)]
pub struct Progress {
    /// Instances that the call was sent to.
    pub tried: Vec<InstanceId>,
    /// Attempts that reached an upstream.
    pub sent: usize,
    /// Whether an earlier attempt may have run.
    pub may_have_run: bool,
    /// Milliseconds that the caller gave the request.
    pub given_ms: u64,
    /// Whether the caller had sent the request before, and its target had passed.
    pub late: bool,
}

impl Dispatcher {
    /// Creates a dispatcher that has observed nothing.
    #[must_use]
    pub fn new(
        shared: Arc<Shared>,
        executor: Arc<Executor>,
        suspects: Arc<Suspects>,
        pool: Arc<Pool>,
    ) -> Self {
        Self {
            shared,
            executor,
            pool,
            heard: Mutex::default(),
            policy: Box::new(LocalityAware),
            observations: Observations::new(Instant::now()),
            suspects,
            shares: Mutex::default(),
            journal: Journal::new(),
        }
    }

    /// Tries a call on at most `max_attempts` upstreams and returns its reply.
    ///
    /// The verdict of the reply holds for all attempts together. Dropping the
    /// future cancels the attempt in flight.
    pub async fn dispatch(
        &self,
        call: &Call,
        payload: Payload,
        max_attempts: usize,
        progress: &mut Progress,
    ) -> Reply {
        let mut payload = Some(payload);
        let share = self.share(&call.service);
        let nodes = self.shared.directory.load().nodes();
        share.deposit(**self.shared.allowance.load(), nodes);
        let mut last = None;
        loop {
            let endpoint = match self.choose(call, progress) {
                Ok(endpoint) => endpoint,
                Err(reason) => {
                    return finish(last.unwrap_or_else(|| Reply::refused(reason)), progress);
                }
            };
            let Some(body) = Payload::take(&mut payload) else {
                let reply = last.unwrap_or_else(|| Reply::refused(Reason::NoEndpoint));
                return finish(reply, progress);
            };
            let reply = self.attempt(&endpoint, call, body).await;
            progress.tried.push(endpoint.instance.clone());
            progress.sent += usize::from(reply.reached);
            progress.may_have_run |= reply.verdict != Verdict::NotRun;
            let may_retry = reply.verdict.permits_retry(call.idempotent)
                || (call.idempotent && reply.is_upstream_failure());
            let is_over = !may_retry
                || call.remaining().is_zero()
                || progress.sent >= max_attempts
                || progress.tried.len() >= MAX_HOPS
                || payload.is_none();
            // Only what reached an upstream counts as a retry there.
            if is_over || (progress.sent > 0 && !share.withdraw()) {
                return finish(reply, progress);
            }
            if let Some(reason) = reply.reason {
                let reason = reason.to_string();
                metrics::counter!("lentilshunt_retries_total", "reason" => reason).increment(1);
            }
            last = Some(reply);
        }
    }

    /// Chooses the endpoint of the next attempt, or tells why there is none.
    fn choose(&self, call: &Call, progress: &Progress) -> Result<Arc<Endpoint>, Reason> {
        let now = Instant::now();
        if self.suspects.status(call.fingerprint, now) == QuarantineStatus::Quarantined {
            return Err(Reason::Quarantined);
        }
        let directory = self.shared.directory.load();
        let route = if call.late {
            // The bytes between regions cost more than a late answer is worth.
            directory.home(&call.service)
        } else {
            directory.route(&call.service)
        };
        let route = route.ok_or(Reason::NoEndpoint)?;
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

    async fn attempt(&self, endpoint: &Arc<Endpoint>, call: &Call, body: Body) -> Reply {
        let observed = self.observations.begin_attempt(endpoint, Instant::now());
        let execution = async {
            let reply = if endpoint.instance == self.shared.place.instance {
                let reply = self.executor.execute(call, body).await;
                let room = Some(self.executor.room());
                Reply { room, ..reply }
            } else {
                self.send(endpoint, call, body).await
            };
            hold(reply).await
        };
        let until = Instant::now() + call.remaining();
        let reply = timeout_at(until.into(), execution).await;
        let reply = reply.unwrap_or_else(|_elapsed| Reply::unknown(Reason::Deadline));
        let outcome = outcome(&reply);
        self.log_attempt(endpoint, call, &reply, outcome);
        observed.end(outcome, reply.room, Instant::now());
        if let Some(version) = reply.version {
            self.shared.learn(version, Some(endpoint.address));
        }
        reply
    }

    /// Logs an attempt that found its node lost, with what was known of the node.
    fn log_attempt(
        &self,
        endpoint: &Endpoint,
        call: &Call,
        reply: &Reply,
        outcome: AttemptOutcome,
    ) {
        let now = Instant::now();
        if outcome != AttemptOutcome::Lost
            || !self.journal.admits(Level::Warning, now, &self.shared.log)
        {
            return;
        }
        let heard_at = self.heard(endpoint.address);
        let age = heard_at.map(|heard_at| (now - heard_at).as_millis());
        warn!(self.shared.log, "node left alone for a while";
            "request" => &call.request,
            "node" => &endpoint.instance,
            "service" => &endpoint.service,
            "reason" => reply.reason.map(|reason| reason.to_string()),
            "sent" => reply.reached,
            "heard_ms_ago" => age.map(|age| u64::try_from(age).unwrap_or(u64::MAX)),
        );
    }

    /// Sends an attempt to another node.
    async fn send(&self, endpoint: &Endpoint, call: &Call, body: Body) -> Reply {
        let Some(request) = self.request(call, body) else {
            return Reply::refused(Reason::BadRequest);
        };
        let address = endpoint.address;
        let sent = tokio::select! {
            biased;
            sent = self.pool.send(address, request) => sent,
            // A stopping node sends nothing again, and ends no answer that may still come.
            () = self.absent(address), if call.idempotent && !self.shared.stop.is_cancelled() => {
                return Reply::unknown(Reason::ConnectionLost);
            }
        };
        match sent {
            Ok(response) => {
                self.hear(address);
                read_reply(response).unwrap_or_else(|| Reply::unknown(Reason::BadAnswer))
            }
            Err(failure) if failure.verdict() == Verdict::NotRun => {
                Reply::refused(Reason::Unreachable)
            }
            Err(_broken) => Reply::unknown(Reason::ConnectionLost),
        }
    }

    /// Waits until a node neither answers a request nor whether it is there.
    async fn absent(&self, address: SocketAddr) {
        let since = Instant::now();
        sleep(SILENCE).await;
        loop {
            if self.heard(address).is_none_or(|heard_at| heard_at < since) {
                let mut request = Request::new(empty());
                *request.uri_mut() = Uri::from_static(PRESENCE);
                let until = Instant::now() + PRESENCE_TIMEOUT;
                let asked = timeout_at(until.into(), self.pool.send(address, request)).await;
                match asked {
                    Ok(Ok(_present)) => self.hear(address),
                    Ok(Err(_)) | Err(_) => return,
                }
            }
            sleep(SILENCE * 2).await;
        }
    }

    fn heard(&self, address: SocketAddr) -> Option<Instant> {
        let heard = locked(&self.heard);
        heard.get(&address).copied()
    }

    fn hear(&self, address: SocketAddr) {
        let mut heard = locked(&self.heard);
        if heard.len() < MAX_HEARD || heard.contains_key(&address) {
            heard.insert(address, Instant::now());
        }
    }

    fn request(&self, call: &Call, body: Body) -> Option<Request<Body>> {
        let mut request = call.request(body)?;
        let (name, value) = write_call(call, self.shared.version())?;
        request.headers_mut().insert(name, value);
        Some(request)
    }

    fn share(&self, service: &str) -> Arc<NodeBudget> {
        let mut shares = locked(&self.shares);
        if let Some(share) = shares.get(service) {
            return Arc::clone(share);
        }
        Arc::clone(shares.entry(service.to_owned()).or_default())
    }
}

/// Returns what a reply says of its endpoint.
///
/// An upstream that loses an answer may well answer the next call.
///
/// No more calls are sent to an upstream than it has slots, so one that refuses
/// a call or answers with an error of its own is not well.
fn outcome(reply: &Reply) -> AttemptOutcome {
    let has_refused = reply.verdict == Verdict::NotRun && reply.reached;
    let response = reply.response.as_ref();
    let has_failed = response.is_some_and(|response| FAILURES.contains(&response.status()));
    if has_refused || has_failed {
        return AttemptOutcome::Failed;
    }
    match reply.reason {
        Some(Reason::Unreachable | Reason::NotReady) => AttemptOutcome::Lost,
        // Without the room of the executing node, the node itself did not answer.
        Some(Reason::ConnectionLost) if reply.room.is_none() => AttemptOutcome::Lost,
        reason => AttemptOutcome::new(reply.verdict, reason),
    }
}

/// Reads a short answer whole, so that a broken one is not passed on.
async fn hold(mut reply: Reply) -> Reply {
    let Some(response) = reply.response.take() else {
        return reply;
    };
    let (parts, body) = response.into_parts();
    match read(body, HELD_BYTES).await {
        Ok(held) => {
            let response = hyper::Response::from_parts(parts, held.into_body());
            reply.response = Some(response);
            reply
        }
        Err(_broken) => Reply {
            room: reply.room,
            version: reply.version,
            ..Reply::unknown(Reason::BadAnswer)
        },
    }
}

/// Returns the reply of the last attempt with the verdict of all attempts.
fn finish(reply: Reply, progress: &Progress) -> Reply {
    if reply.verdict == Verdict::NotRun && progress.may_have_run {
        return Reply {
            verdict: Verdict::MayHaveRun,
            ..reply
        };
    }
    reply
}
