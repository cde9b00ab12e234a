//! Handles the requests of callers.

use std::{
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};

use hyper::{
    Request, Response, StatusCode,
    body::{Body as _, Incoming},
    header::{AUTHORIZATION, CONTENT_LENGTH, HOST, HeaderValue, RETRY_AFTER},
};
use lentilshunt_core::{
    organisation::Organisation,
    overload::{Kind, Patience, Refusal},
    quarantine::fingerprint,
    traffic::{Route, Rules},
    verdict::{Reason, Verdict},
};
use lentilshunt_net::BoxFuture;
use slog::{Level, info};
use tokio::time::timeout_at;

use super::{
    Call, Dispatcher, Reply, Shared, authentication,
    body::{Body, Payload, empty, from_incoming, read_prefix, status_response},
    clock::Moment,
    dispatcher::Progress,
    header::end_to_end,
    log_limiter::LogLimiter,
    node_headers::header_text,
    origins::Origins,
    server::Handler,
    wait_estimator::WaitEstimator,
};
use crate::quota::Meter;

/// Maximum size of a request body that is buffered for retries, in bytes.
pub(super) const MAX_BUFFERED_REQUEST_BYTES: usize = 64 * 1024;
/// Timeout of a request whose caller sets none.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum time for which a request waits for the first traffic rules after the node has started.
const MAX_STARTUP_WAIT: Duration = Duration::from_secs(1);
/// Maximum part of the request's timeout for which it waits for the first rules, as a divisor.
const STARTUP_WAIT_DIVISOR: u32 = 2;

/// Request handler of the listener for callers.
#[derive(Debug)]
pub struct Outbound {
    shared: Arc<Shared>,
    dispatcher: Arc<Dispatcher>,
    meter: Arc<Meter>,
    wait_estimator: WaitEstimator,
    origins: Origins,
    log_limiter: LogLimiter,
}

/// Result of the handling of a request.
struct Handled {
    route: Option<Arc<Route>>,
    reply: Reply,
    /// Time that the request has left.
    remaining: Duration,
}

/// A request that is handled; recorded as dropped if that ends early.
struct Pending<'a> {
    outbound: &'a Outbound,
    id: &'a str,
    arrived_at: Moment,
    progress: Progress,
    has_ended: bool,
}

impl Pending<'_> {
    /// Returns the time that the caller still waits.
    fn remaining(&self) -> Duration {
        let timeout = Duration::from_millis(self.progress.requested_timeout_ms);
        timeout.saturating_sub(self.arrived_at.elapsed())
    }
}

impl Drop for Pending<'_> {
    fn drop(&mut self) {
        if !self.has_ended {
            self.outbound
                .record_dropped(self.id, &self.progress, self.arrived_at);
        }
    }
}

/// A parsed request with its route.
struct ParsedRequest {
    call: Arc<Call>,
    payload: Payload,
    route: Arc<Route>,
    /// Timeout of the request: that of the caller, or the default.
    requested_timeout: Duration,
    /// Organisation whose quota the request has used.
    organisation: Option<Arc<Organisation>>,
}

impl Outbound {
    /// Creates the handler; `meter` admits requests by quotas.
    #[must_use]
    pub fn new(shared: Arc<Shared>, dispatcher: Arc<Dispatcher>, meter: Arc<Meter>) -> Self {
        Self {
            shared,
            dispatcher,
            meter,
            wait_estimator: WaitEstimator::default(),
            origins: Origins::default(),
            log_limiter: LogLimiter::new(),
        }
    }

    async fn handle_request(&self, request: Request<Body>) -> Response<Body> {
        let arrived_at = Moment::now();
        let id = header_text(
            request.headers(),
            self.shared.header_names.request_id.as_str(),
        );
        let mut pending = Pending {
            outbound: self,
            id: &id,
            arrived_at,
            progress: Progress::default(),
            has_ended: false,
        };
        let handled = tokio::select! {
            biased;
            handled = self.parse_and_dispatch(request, arrived_at, &id, &mut pending.progress) => Some(handled),
            () = self.shared.lifetime.ended() => None,
        };
        let Handled {
            route,
            reply,
            remaining,
        } = handled.unwrap_or_else(|| Handled {
            route: None,
            reply: pending.progress.interrupted(),
            remaining: pending.remaining(),
        });
        pending.has_ended = true;
        let progress = &pending.progress;
        self.record(&id, route.as_deref(), &reply, progress, arrived_at);
        into_response(reply, remaining)
    }

    async fn parse_and_dispatch(
        &self,
        request: Request<Body>,
        arrived_at: Moment,
        id: &str,
        progress: &mut Progress,
    ) -> Handled {
        let ParsedRequest {
            call,
            payload,
            route,
            requested_timeout,
            organisation,
        } = match self.parse(request, arrived_at, id).await {
            Ok(parsed) => parsed,
            Err(reason) => {
                return Handled {
                    route: None,
                    reply: Reply::refused(reason),
                    remaining: Duration::ZERO,
                };
            }
        };
        progress.is_past_target = call.is_past_target();
        progress.requested_timeout_ms =
            requested_timeout.as_millis().try_into().unwrap_or(u64::MAX);
        let reply = self
            .dispatch(&call, payload, &route, organisation.as_deref(), progress)
            .await;
        Handled {
            route: Some(route),
            reply,
            remaining: call.remaining(),
        }
    }

    /// Counts and logs a request whose handling was dropped, which its caller gets no response to.
    fn record_dropped(&self, id: &str, progress: &Progress, arrived_at: Moment) {
        let cause = if self.shared.stop.is_cancelled() {
            "stopping"
        } else {
            "caller-left"
        };
        metrics::counter!("lentilshunt_requests_dropped_total", "cause" => cause).increment(1);
        let now = Instant::now();
        if !self
            .log_limiter
            .allows(Level::Warning, now, &self.shared.log)
        {
            return;
        }
        let attempts = &progress.attempts;
        info!(self.shared.log, "request dropped without a response";
            "request" => id,
            "cause" => cause,
            "tried" => attempts.all_tried().join(","),
            "sent" => attempts.upstream_attempts,
            "waits_for" => progress.current.as_deref(),
            "given_ms" => progress.requested_timeout_ms,
            "late" => progress.is_past_target,
            "elapsed_ms" => u64::try_from(arrived_at.elapsed().as_millis()).unwrap_or(u64::MAX),
        );
    }

    /// Sends a call to endpoints, if its organisation has not used up its quota.
    async fn dispatch(
        &self,
        call: &Arc<Call>,
        payload: Payload,
        route: &Route,
        organisation: Option<&Organisation>,
        progress: &mut Progress,
    ) -> Reply {
        let node_count = self.shared.directory.load().node_count();
        if organisation.is_some_and(|organisation| !self.meter.admit(organisation, node_count)) {
            return Reply::refused(Reason::OverQuota);
        }
        let limit = route.max_upstream_attempts;
        let reply = self
            .dispatcher
            .dispatch(Arc::clone(call), payload, limit, progress)
            .await;
        if let Some(organisation) = organisation.filter(|_| reply.verdict == Verdict::NotRun) {
            self.meter.refund(organisation);
        }
        reply
    }

    /// Parses a request and matches it with the active traffic rules.
    async fn parse(
        &self,
        request: Request<Body>,
        arrived_at: Moment,
        id: &str,
    ) -> Result<ParsedRequest, Reason> {
        let (parts, body) = request.into_parts();
        let timeout = header_text(
            &parts.headers,
            self.shared.header_names.deadline_ms.as_str(),
        );
        let timeout = timeout
            .parse()
            .map_or(DEFAULT_TIMEOUT, Duration::from_millis);
        let startup_wait = MAX_STARTUP_WAIT.min(timeout / STARTUP_WAIT_DIVISOR);
        let startup_deadline = arrived_at.instant() + startup_wait;
        if !self.shared.wait_for_rules(startup_deadline).await {
            return Err(Reason::NoConfiguration);
        }
        let rules = self.shared.rules.load_full();
        let host = header_text(&parts.headers, HOST.as_str());
        let host = parts.uri.host().unwrap_or(&host);
        let path = parts.uri.path();
        let route = find_route(&rules, host, path)?;
        let has_key = rules.organisations().is_some() && parts.headers.contains_key(AUTHORIZATION);
        let mut headers = end_to_end(&parts.headers);
        let names = &self.shared.header_names;
        let mut organisation = None;
        if let Some(organisations) = rules.organisations() {
            organisation = authentication::authenticate(organisations, route, names, &mut headers)?;
        } else if self.shared.has_organisations.load(Ordering::Relaxed) {
            authentication::remove_credentials(names, &mut headers);
        }
        let length = parts.headers.get(CONTENT_LENGTH);
        let length = length.and_then(|length| length.to_str().ok()?.parse().ok());
        if length.unwrap_or(body.size_hint().lower()) > rules.limits().max_body_bytes {
            return Err(Reason::TooLarge);
        }
        let deadline = arrived_at.instant() + timeout.min(route.timeout);
        if self
            .shared
            .lifetime
            .is_too_late(arrived_at.instant(), deadline)
        {
            return Err(Reason::Draining);
        }
        let waited = self
            .wait_estimator
            .record_and_estimate(&route.name, timeout);
        let is_nested = !has_key
            && self.origins.record(
                &route.name,
                arrived_at.instant() + timeout,
                self.dispatcher.latest_local_deadline(),
            );
        let payload = match timeout_at(
            deadline.into(),
            read_prefix(body, MAX_BUFFERED_REQUEST_BYTES),
        )
        .await
        {
            Ok(Ok(payload)) => payload,
            Ok(Err(_broken)) => return Err(Reason::BadRequest),
            Err(_elapsed) => return Err(Reason::Deadline),
        };
        let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
        let caller = &self.shared.service;
        let fingerprint = fingerprint(caller, parts.method.as_str(), path, payload.buffered());
        let call = Call {
            request_id: id.to_owned(),
            service: Arc::clone(route.split.next_service()),
            caller: caller.clone(),
            path: path.to_owned(),
            headers,
            method: parts.method,
            idempotent: route.idempotent,
            rank: organisation
                .as_ref()
                .and_then(|organisation| organisation.rank)
                .unwrap_or(route.rank),
            kind: Kind {
                rank: route.rank,
                idempotent: route.idempotent,
            },
            is_nested,
            patience: if waited >= route.target_latency {
                Patience::UntilDeadline
            } else {
                Patience::Brief
            },
            has_unread_body: matches!(payload, Payload::Streamed(..)),
            arrived_at,
            deadline,
            target_at: arrived_at.instant() + route.target_latency.saturating_sub(waited),
            fingerprint,
        };
        Ok(ParsedRequest {
            call: Arc::new(call),
            payload,
            route: Arc::clone(route),
            requested_timeout: timeout,
            organisation,
        })
    }

    /// Records the metrics of a request and logs its outcome.
    fn record(
        &self,
        id: &str,
        route: Option<&Route>,
        reply: &Reply,
        progress: &Progress,
        arrived_at: Moment,
    ) {
        let elapsed = arrived_at.elapsed();
        metrics::histogram!("lentilshunt_request_seconds").record(elapsed.as_secs_f64());
        let reason = reply.reason.map(|reason| reason.to_string());
        if let Some(reason) = reason.clone() {
            metrics::counter!("lentilshunt_refusals_total", "reason" => reason).increment(1);
        }
        // Selects the rate limit only; the line is always logged at level info.
        let attempts = &progress.attempts;
        let tried = attempts.all_tried();
        let level = if reply.reason.is_some() || tried.len() > 1 {
            Level::Warning
        } else {
            Level::Info
        };
        if !self
            .log_limiter
            .allows(level, Instant::now(), &self.shared.log)
        {
            return;
        }
        let status = reply.response.as_ref().map(Response::status);
        info!(self.shared.log, "request ended";
            "request" => id,
            "route" => route.map(|route| route.name.as_str()),
            "version" => self.shared.version(),
            "tried" => tried.join(","),
            "sent" => attempts.upstream_attempts,
            "given_ms" => progress.requested_timeout_ms,
            "late" => progress.is_past_target,
            "verdict" => %reply.verdict,
            "reason" => reason,
            "status" => status.map(|status| status.as_u16()),
            "elapsed_ms" => u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX),
        );
    }
}

impl Handler for Outbound {
    fn handle(&self, request: Request<Incoming>) -> BoxFuture<'_, Response<Body>> {
        Box::pin(self.handle_request(request.map(from_incoming)))
    }

    fn starts_early(&self) -> bool {
        true
    }

    /// Handles a request on an idempotent route; a caller sends others again if their turn does not
    /// come, and they would run twice.
    fn handle_early(
        self: Arc<Self>,
        request: Request<()>,
    ) -> Option<BoxFuture<'static, Response<Body>>> {
        let rules = self.shared.rules.load();
        let host = header_text(request.headers(), HOST.as_str());
        let host = request.uri().host().unwrap_or(&host);
        let route = rules.find(host, request.uri().path())?;
        let request = route.idempotent.then(|| request.map(|()| empty()))?;
        Some(Box::pin(async move { self.handle_request(request).await }))
    }
}

/// Returns the route of a request, or why there is none.
fn find_route<'a>(rules: &'a Rules, host: &str, path: &str) -> Result<&'a Arc<Route>, Reason> {
    rules.find(host, path).ok_or_else(|| {
        if rules.may_match_omission(host, path) {
            Reason::RouteOmitted
        } else {
            Reason::UnknownService
        }
    })
}

/// Converts a reply to the response for the caller, whose request has `remaining` time left.
fn into_response(reply: Reply, remaining: Duration) -> Response<Body> {
    if let Some(response) = reply.response {
        return response;
    }
    let status = status(reply.verdict, reply.reason);
    let mut response = status_response(status);
    let has_retry_after = [
        StatusCode::SERVICE_UNAVAILABLE,
        StatusCode::TOO_MANY_REQUESTS,
    ];
    if has_retry_after.contains(&status) {
        let refusal = Refusal {
            reason: reply.reason.unwrap_or(Reason::Deadline),
            remaining,
        };
        let seconds = refusal.retry_after(rand::random()).as_secs_f64();
        if let Ok(value) = HeaderValue::try_from(format!("{seconds:.2}")) {
            response.headers_mut().insert(RETRY_AFTER, value);
        }
    }
    response
}

/// Returns the status for a reply without a response of an upstream.
fn status(verdict: Verdict, reason: Option<Reason>) -> StatusCode {
    match (verdict, reason) {
        (Verdict::NotRun, Some(Reason::BadRequest)) => StatusCode::BAD_REQUEST,
        (Verdict::NotRun, Some(Reason::UnknownService)) => StatusCode::NOT_FOUND,
        (Verdict::NotRun, Some(Reason::TooLarge)) => StatusCode::PAYLOAD_TOO_LARGE,
        // Not 503, because a retry would be refused as well.
        (Verdict::NotRun, Some(Reason::Unauthenticated)) => StatusCode::UNAUTHORIZED,
        (Verdict::NotRun, Some(Reason::OverQuota)) => StatusCode::TOO_MANY_REQUESTS,
        (_, Some(Reason::Quarantined)) => StatusCode::BAD_GATEWAY,
        (Verdict::NotRun, _) => StatusCode::SERVICE_UNAVAILABLE,
        (_, Some(Reason::Deadline)) => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::BAD_GATEWAY,
    }
}
