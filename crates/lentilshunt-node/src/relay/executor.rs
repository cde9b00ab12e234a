//! Runs calls on the local upstream.

use std::{
    future::pending,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use arc_swap::ArcSwapOption;
use hyper::{
    HeaderMap, Request, Response, StatusCode, Version,
    header::{HOST, HeaderValue},
};
use lentilshunt_core::{
    id::ServiceId,
    leaving::{Departure, History},
    overload::{Notice, ParseError, Rate},
    quarantine::{QuarantineStatus, Suspects},
    verdict::{Reason, Verdict},
};
use lentilshunt_schema::peer::Phase;
use slog::{Level, Logger, info, warn};
use tokio::{sync::watch, time::timeout_at};

use super::{
    Call, HeaderNames, LogLimiter, Notifier, Reply, Shared,
    body::{Body, empty},
    gate::{Gate, Running},
    guarded::{self, Guard},
    header,
    node_headers::header_text,
    notifier::LostRequest,
    pool::{Failure, Pool},
    upstream::{self, Change, Report, Upstream},
};
use crate::executor::lock;

/// Maximum number of requests that wait for a slot of the upstream.
const QUEUE_CAPACITY: usize = 64;
/// Time limit for connecting to the upstream, which runs on the same instance.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Maximum time for which an idle connection is kept; a shorter keep-alive timeout of the upstream
/// takes precedence.
const IDLE_TIMEOUT: Duration = Duration::from_secs(8);
/// Time limit for the health check of the upstream.
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_millis(500);
/// Highest status of a response in HTTP (RFC 9110, section 15).
///
/// Those below 100 are rejected by the parser of responses.
const MAX_STATUS: u16 = 599;
/// Maximum time for which a call of a local caller waits until reports are believed, which takes a
/// few exchanges with other nodes after a start.
const MAX_BELIEF_WAIT: Duration = Duration::from_millis(250);
/// Number of reports that may be missing before calls are refused.
const MAX_MISSING_REPORTS: u32 = 4;

/// Decides which calls run on the local upstream, and runs them.
///
/// Not an implementation of `lentilshunt_net::call::Executor`, whose calls are buffered.
#[derive(Debug)]
pub struct Executor {
    upstream_address: SocketAddr,
    header_names: HeaderNames,
    report_interval: Duration,
    upstream: ArcSwapOption<Upstream>,
    /// Processes that have left; locked while a report is applied, so that an older report cannot
    /// replace a newer one.
    history: Mutex<History>,
    /// Whether a report that the upstream is ready can be believed; departures from before the start
    /// of this node may not be known yet.
    believes_reports: watch::Sender<bool>,
    /// Report of the last upstream that has said in a response that it leaves.
    departures: watch::Sender<Option<Report>>,
    /// Notified when the process, the phase or the service of the upstream changes.
    changes: watch::Sender<()>,
    gate: Arc<Gate>,
    pool: Pool,
    suspects: Arc<Suspects>,
    /// Service of the upstream.
    service: ServiceId,
    shared: Arc<Shared>,
    notifier: Arc<Notifier>,
    /// Requests sent to the upstream since its rate limit changed.
    sent_under_limit: AtomicU64,
    /// Whether calls are refused because reports of the upstream are missing.
    is_silent: AtomicBool,
    log_limiter: LogLimiter,
    log: Logger,
}

/// A request whose response has begun.
struct Run {
    _slot: Running,
    suspects: Arc<Suspects>,
    notifier: Arc<Notifier>,
    request: LostRequest,
}

impl Guard for Run {
    /// Clears a request that did not crash the upstream; one may also do so while it responds.
    fn end(self, is_complete: bool) {
        if is_complete {
            self.suspects
                .clear(self.request.fingerprint, Instant::now());
        } else {
            tokio::spawn(self.notifier.record_loss(self.request));
        }
    }
}

impl Executor {
    /// Creates an executor that has no report of its upstream yet.
    ///
    /// `report_interval` is the time between two reports of the upstream. Crashes are
    /// reported to other nodes through `peer_pool`.
    #[must_use]
    pub fn new(
        shared: &Arc<Shared>,
        upstream_address: SocketAddr,
        report_interval: Duration,
        suspects: Arc<Suspects>,
        peer_pool: Arc<Pool>,
    ) -> Self {
        Self {
            upstream_address,
            header_names: shared.header_names.clone(),
            report_interval,
            upstream: ArcSwapOption::empty(),
            history: Mutex::default(),
            believes_reports: watch::Sender::new(true),
            departures: watch::Sender::default(),
            changes: watch::Sender::default(),
            gate: Arc::new(Gate::new(QUEUE_CAPACITY)),
            pool: Pool::new(CONNECT_TIMEOUT, IDLE_TIMEOUT)
                .with_echoed_header(shared.header_names.request_id.clone()),
            service: shared.service.clone(),
            shared: Arc::clone(shared),
            notifier: Arc::new(Notifier::new(
                Arc::clone(shared),
                Arc::clone(&suspects),
                upstream_address,
                peer_pool,
            )),
            suspects,
            sent_under_limit: AtomicU64::new(0),
            is_silent: AtomicBool::new(false),
            log_limiter: LogLimiter::new(),
            log: shared.log.clone(),
        }
    }

    /// Applies a report of the upstream and returns what it changed.
    pub fn apply_report(&self, report: &Report, now: Instant) -> Change {
        let mut history = lock(&self.history);
        if let Some(departure) = report.departure() {
            history.record(departure, now);
        } else if history.holds_off(&report.start(), self.report_interval, now) {
            metrics::counter!("lentilshunt_reports_held_off_total").increment(1);
            info!(self.log, "report ignored, its process has left";
                "upstream" => &report.process, "started_ms" => report.started_ms,
                "sequence" => report.sequence);
            return Change::Ignored;
        }
        let current = self.upstream.load_full();
        let (change, applied) = upstream::apply_report(
            current.as_deref(),
            report.clone(),
            self.report_interval,
            now,
        );
        if let Some(applied) = applied {
            let current = current.as_deref();
            let is_same = current.is_some_and(|current| current.is_same_process(&applied.report));
            if !is_same {
                self.pool.close_idle(self.upstream_address);
            }
            if !is_same && current.is_some() {
                self.gate.reset_rate_limit();
            }
            self.gate.resize(applied.report.slots);
            self.upstream.store(Some(Arc::new(applied)));
            if change == Change::Changed {
                self.changes.send_replace(());
            }
        }
        change
    }

    /// Returns a receiver of the upstreams that say in a response that they leave.
    ///
    /// Those that report it are not included.
    #[must_use]
    pub fn departures(&self) -> watch::Receiver<Option<Report>> {
        self.departures.subscribe()
    }

    /// Stops sending calls to a process that has said that it leaves, if it is the current one.
    fn mark_leaving(&self, is_process: impl Fn(&Upstream) -> bool, source: &'static str) {
        let mut history = lock(&self.history);
        let Some(current) = self.upstream.load_full() else {
            return;
        };
        if current.is_leaving() || !is_process(&current) {
            return;
        }
        let leaving = current.leaving();
        let report = leaving.report.clone();
        if let Some(departure) = report.departure() {
            history.record(departure, Instant::now());
        }
        self.upstream.store(Some(Arc::new(leaving)));
        self.changes.send_replace(());
        metrics::counter!("lentilshunt_departures_total", "source" => source).increment(1);
        info!(self.log, "upstream leaves"; "upstream" => &report.process,
            "sequence" => report.sequence, "source" => source);
        self.departures.send_replace(Some(report));
    }

    /// Applies departures that this node knew before it restarted, the latest last.
    ///
    /// A report that has arrived since may have been sent before.
    pub fn restore_departures(&self, departures: &[Departure], now: Instant) {
        let mut history = lock(&self.history);
        history.record_all(departures, now);
        let current = self.upstream.load_full();
        let departure = match current.as_deref() {
            None => departures.last(),
            Some(Upstream { report, .. }) => departures
                .iter()
                .find(|departure| departure.process == report.process)
                .filter(|new| !report.departure().is_some_and(|known| known.includes(new))),
        };
        let Some(departure) = departure else {
            return;
        };
        let report = Report::from_departure(departure, &self.service);
        let restored =
            upstream::restore_departure(current.as_deref(), report, self.report_interval, now);
        let Some(restored) = restored else {
            return;
        };
        let report = restored.report.clone();
        self.upstream.store(Some(Arc::new(restored)));
        self.changes.send_replace(());
        if current.is_some() {
            metrics::counter!("lentilshunt_departures_total", "source" => "store").increment(1);
            self.departures.send_replace(Some(report));
        }
    }

    /// Sets whether a report that the upstream is ready is believed; calls are refused otherwise.
    pub fn set_believes_reports(&self, believes_reports: bool) {
        self.believes_reports.send_replace(believes_reports);
    }

    /// Returns the departures of processes of the upstream, the latest last.
    #[must_use]
    pub fn departed(&self, now: Instant) -> Vec<Departure> {
        let mut history = lock(&self.history);
        history.remove_expired(now);
        history.departures()
    }

    /// Returns when the next departure is no longer needed.
    #[must_use]
    pub fn next_departure_expiry(&self) -> Option<Instant> {
        lock(&self.history).next_expiry()
    }

    /// Returns whether the upstream has reported itself or was found by a health check.
    #[must_use]
    pub fn has_upstream(&self) -> bool {
        self.upstream.load().is_some()
    }

    /// Accepts an upstream that has not reported itself yet.
    pub fn adopt(&self, report: &Report, now: Instant) {
        if !self.has_upstream() {
            self.apply_report(report, now);
        }
    }

    /// Returns what the upstream says of itself in a successful health check.
    ///
    /// The start of the process is unknown, so any report of its own is newer.
    pub async fn probe_upstream(&self, path: &str) -> Option<Report> {
        let mut request = Request::new(empty());
        *request.uri_mut() = path.parse().ok()?;
        let host = HeaderValue::try_from(self.upstream_address.to_string()).ok()?;
        request.headers_mut().insert(HOST, host);
        let deadline = Instant::now() + HEALTH_CHECK_TIMEOUT;
        let sent = self.pool.send(self.upstream_address, request);
        let response = timeout_at(deadline.into(), sent).await.ok()?.ok()?;
        if response.status() != StatusCode::OK {
            return None;
        }
        let headers = response.headers();
        self.observe_rate_limit(headers, true);
        let load = header_text(headers, self.header_names.load.as_str());
        let slots = load.rsplit(',').next()?.trim().parse().ok()?;
        Some(Report {
            process: header_text(headers, self.header_names.process.as_str()),
            started_ms: 0,
            sequence: 0,
            service: self.service.clone(),
            version: String::new(),
            warm_up_left: Duration::ZERO,
            phase: Phase::Ready,
            slots,
        })
        .filter(|report| !report.process.is_empty() && report.slots > 0)
    }

    /// Returns the upstream, unless its reports are missing.
    ///
    /// Logs when the reports begin to be missing and when they resume.
    #[must_use]
    pub fn upstream(&self, now: Instant) -> Option<Arc<Upstream>> {
        let upstream = self.upstream.load_full()?;
        let silence = now.saturating_duration_since(upstream.received_at);
        let is_silent = silence > self.report_interval * MAX_MISSING_REPORTS;
        if self.is_silent.swap(is_silent, Ordering::Relaxed) != is_silent {
            let process = &upstream.report.process;
            if is_silent {
                warn!(self.log, "upstream reports missing, calls are refused";
                    "upstream" => process, "sequence" => upstream.report.sequence);
            } else {
                info!(self.log, "upstream reports resumed"; "upstream" => process,
                    "sequence" => upstream.report.sequence);
            }
        }
        (!is_silent).then_some(upstream)
    }

    /// Returns the number of free slots that no call waits for.
    #[must_use]
    pub fn free_slots(&self) -> u32 {
        self.gate.free_slots()
    }

    /// Returns the latest deadline of the requests that run on the upstream, or `None` if none does.
    #[must_use]
    pub fn latest_deadline(&self) -> Option<Instant> {
        self.gate.latest_deadline()
    }

    /// Returns what the current process of the upstream has said of itself.
    #[must_use]
    pub fn notice(&self) -> Option<Notice> {
        let upstream = self.upstream.load();
        let upstream = upstream.as_deref()?;
        Some(Notice {
            process: upstream.process_hash(),
            rate_limit: self.gate.rate_limit(),
            is_leaving: upstream.is_leaving(),
        })
    }

    /// Applies what another node knows of the upstream, which this one may have learned before it
    /// restarted.
    pub fn apply_notice(&self, notice: &Notice) {
        if notice.is_leaving {
            self.mark_leaving(|current| current.process_hash() == notice.process, "node");
        }
        let upstream = self.upstream.load();
        let is_current = upstream
            .as_deref()
            .is_some_and(|upstream| upstream.process_hash() == notice.process);
        let Some(limit) = notice.rate_limit.filter(|_| is_current) else {
            return;
        };
        if self.gate.suggest_rate_limit(limit) {
            self.record_rate_limit(Some(limit), None);
        }
    }

    /// Runs a call of a local caller, or refuses it.
    ///
    /// It waits for a slot until the end of this node, and for a short time until reports of the
    /// upstream are believed.
    pub async fn execute(&self, call: &Call, body: Body) -> Reply {
        self.wait_until_believed(call).await;
        let released = async {
            self.shared.lifetime.ended().await;
            Reason::Draining
        };
        let reply = self.attempt(call, body, released).await;
        self.record_reply(call, reply)
    }

    /// Waits until reports are believed, for a short time after the start of the node only.
    async fn wait_until_believed(&self, call: &Call) {
        if *self.believes_reports.borrow() {
            return;
        }
        let mut believes_reports = self.believes_reports.subscribe();
        let wait_until = call.deadline.min(Instant::now() + MAX_BELIEF_WAIT);
        let believed = believes_reports.wait_for(|believes_reports| *believes_reports);
        // The call is refused otherwise.
        let _is_elapsed = timeout_at(wait_until.into(), believed).await.is_err();
    }

    /// Runs a call of another node, or refuses it.
    ///
    /// It does not wait for a slot once this node refuses such calls, since another node may have
    /// one in time.
    pub async fn execute_for_node(&self, call: &Call, body: Body) -> Reply {
        let released = async {
            self.shared.lifetime.refusing_calls().await;
            Reason::NotReady
        };
        let reply = self.attempt(call, body, released).await;
        self.record_reply(call, reply)
    }

    fn record_reply(&self, call: &Call, reply: Reply) -> Reply {
        if let Some(reason) = reply.reason {
            self.record_failure(call, &reply, reason);
        }
        reply
    }

    /// Counts and logs a call that was refused or whose outcome is unknown, with the last report
    /// of the upstream.
    fn record_failure(&self, call: &Call, reply: &Reply, reason: Reason) {
        let labels = [
            ("reason", reason.to_string()),
            ("verdict", reply.verdict.to_string()),
        ];
        metrics::counter!("lentilshunt_executor_refusals_total", &labels).increment(1);
        let now = Instant::now();
        if !self.log_limiter.allows(Level::Warning, now, &self.log) {
            return;
        }
        let upstream = self.upstream.load_full();
        let report = upstream.as_ref().map(|upstream| &upstream.report);
        let age = upstream.as_ref().map(|upstream| now - upstream.received_at);
        warn!(self.log, "call refused or lost";
            "request" => &call.request_id,
            "service" => &*call.service,
            "reason" => %reason,
            "verdict" => %reply.verdict,
            "sent" => reply.may_have_reached_upstream,
            "upstream" => report.map(|report| report.process.as_str()),
            "phase" => report.map(|report| report.phase.to_string()),
            "sequence" => report.map(|report| report.sequence),
            "report_age_ms" => age.map(|age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX)),
            "room" => self.gate.free_slots(),
            "limit" => self.gate.rate_limit().map(Rate::per_second),
            "rank" => call.rank,
            "late" => call.is_past_target(),
        );
    }

    /// Runs a call, unless `released` completes while it waits for a slot.
    async fn attempt(
        &self,
        call: &Call,
        body: Body,
        released: impl Future<Output = Reason>,
    ) -> Reply {
        if let Err(reason) = self.check_ready(call) {
            return Reply::refused(reason);
        }
        let slot = tokio::select! {
            biased;
            slot = self.gate.acquire(call.applicant()) => slot,
            reason = self.wait_until_unready(call) => Err(reason),
            reason = released => Err(reason),
        };
        let slot = match slot {
            Ok(slot) => slot,
            Err(reason) => return Reply::refused(reason),
        };
        // The slot may be that of a call that the end of this node has cut off.
        if self.shared.lifetime.has_ended() {
            return Reply::refused(Reason::Draining);
        }
        // The upstream may have started to drain while the call waited.
        let upstream = match self.check_ready(call) {
            Ok(upstream) => upstream,
            Err(reason) => return Reply::refused(reason),
        };
        let Some(request) = self.request(call, &upstream, body) else {
            return Reply::refused(Reason::BadRequest);
        };
        if call.remaining().is_zero() {
            return Reply::refused(Reason::Deadline);
        }
        self.sent_under_limit.fetch_add(1, Ordering::Relaxed);
        metrics::counter!("lentilshunt_upstream_requests_total").increment(1);
        let sent_at = Instant::now();
        let record_run = |has_failed| {
            let now = Instant::now();
            let time = (now >= upstream.warm_at).then(|| now - sent_at);
            let version = &upstream.report.version;
            let rollouts = &self.shared.rollouts;
            rollouts.record(&self.service, version, call.kind, has_failed, time);
        };
        let response = match self.pool.send(self.upstream_address, request).await {
            Ok(response) => response,
            Err(failure) if failure.verdict() == Verdict::NotRun => {
                return Reply::refused(Reason::Unreachable);
            }
            Err(Failure::OtherRequest { .. }) => return Reply::unknown(Reason::BadAnswer),
            Err(_lost) => {
                record_run(true);
                return self.handle_lost_connection(call).await;
            }
        };
        let reply = self.classify(&upstream, response);
        if reply.verdict == Verdict::Ran {
            slot.record_response(call.kind);
            let status = reply.response.as_ref().map(Response::status);
            record_run(status.is_some_and(|status| status.is_server_error()));
        }
        let run = Run {
            _slot: slot,
            suspects: Arc::clone(&self.suspects),
            notifier: Arc::clone(&self.notifier),
            request: call.into(),
        };
        Reply {
            response: reply
                .response
                .map(|response| response.map(|body| guarded::with_guard(body, run))),
            ..reply
        }
    }

    /// Returns the reply to a call whose connection broke, and reports a crash to other nodes.
    ///
    /// The check goes on if the caller leaves meanwhile.
    async fn handle_lost_connection(&self, call: &Call) -> Reply {
        let check = Arc::clone(&self.notifier).record_loss(call.into());
        let reason = match tokio::spawn(check).await {
            Ok(true) => Reason::UpstreamLost,
            Ok(false) => Reason::ConnectionLost,
            Err(error) => {
                warn!(self.log, "check of a lost upstream failed"; "error" => %error);
                Reason::ConnectionLost
            }
        };
        Reply::unknown(reason)
    }

    /// Extends the quarantine of a request that has come again.
    pub fn extend_quarantine(&self, call: &Call) {
        self.notifier.extend_quarantine(call.fingerprint);
    }

    /// Waits until a call may no longer run on the upstream, and returns why.
    async fn wait_until_unready(&self, call: &Call) -> Reason {
        let mut changes = self.changes.subscribe();
        loop {
            if let Err(reason) = self.check_ready(call) {
                return reason;
            }
            if changes.changed().await.is_err() {
                return pending().await;
            }
        }
    }

    /// Returns the upstream if a call may run on it, or the reason for a refusal.
    fn check_ready(&self, call: &Call) -> Result<Arc<Upstream>, Reason> {
        let now = Instant::now();
        let upstream = self.upstream(now).ok_or(Reason::NotReady)?;
        if !*self.believes_reports.borrow() {
            return Err(Reason::NotReady);
        }
        match upstream.report.phase {
            Phase::Ready => {}
            Phase::Draining | Phase::Gone => return Err(Reason::Draining),
            Phase::Starting => return Err(Reason::NotReady),
        }
        if upstream.report.service != *call.service {
            return Err(Reason::NotReady);
        }
        if self.suspects.status(call.fingerprint, now) == QuarantineStatus::Quarantined {
            return Err(Reason::Quarantined);
        }
        Ok(upstream)
    }

    fn request(&self, call: &Call, upstream: &Upstream, body: Body) -> Option<Request<Body>> {
        let mut request = call.to_request(body)?;
        let headers = request.headers_mut();
        let header_names = &self.header_names;
        let remaining = call.remaining().as_millis().to_string();
        headers.insert(
            &header_names.deadline_ms,
            HeaderValue::try_from(remaining).ok()?,
        );
        headers.insert(
            &header_names.caller,
            HeaderValue::try_from(&call.caller).ok()?,
        );
        headers.insert(&header_names.expected_process, upstream.id.clone());
        Some(request)
    }

    /// Records the rate limit in a response, and logs it if it has changed.
    ///
    /// A refusal without a limit does not end one, as the upstream may refuse a request before it
    /// adds its headers.
    fn observe_rate_limit(&self, headers: &HeaderMap, is_refusal: bool) {
        let limit = headers.get(&self.header_names.rate_limit);
        if limit.is_none() && is_refusal {
            return;
        }
        let limit = match limit.map(parse_rate).transpose() {
            Ok(limit) => limit,
            Err(error) => {
                metrics::counter!("lentilshunt_rate_limits_unreadable_total").increment(1);
                if self
                    .log_limiter
                    .allows(Level::Warning, Instant::now(), &self.log)
                {
                    warn!(self.log, "rate limit of the upstream cannot be read";
                        "error" => %error);
                }
                return;
            }
        };
        let before = self.gate.rate_limit();
        if self.gate.confirm_rate_limit(limit) {
            self.record_rate_limit(limit, before);
        }
    }

    /// Counts and logs a change of the rate limit.
    fn record_rate_limit(&self, limit: Option<Rate>, before: Option<Rate>) {
        metrics::counter!("lentilshunt_rate_limit_changes_total").increment(1);
        let sent = self.sent_under_limit.swap(0, Ordering::Relaxed);
        info!(self.log, "rate limit of the upstream changed";
            "limit" => limit.map(Rate::per_second), "before" => before.map(Rate::per_second),
            "sent_before" => sent);
    }

    /// Converts a response of the upstream to a reply, and detects refusals.
    fn classify(&self, upstream: &Upstream, mut response: Response<Body>) -> Reply {
        let headers = response.headers();
        // Status 421: the process at the address is not the one that reported itself.
        let has_not_run = headers.contains_key(&self.header_names.not_run)
            || response.status() == StatusCode::MISDIRECTED_REQUEST;
        let is_readable =
            response.status().as_u16() <= MAX_STATUS && !header::contains_status_line(&response);
        if !is_readable || (!has_not_run && !self.is_genuine(&response)) {
            return Reply::unknown(Reason::BadAnswer);
        }
        if response.status() != StatusCode::MISDIRECTED_REQUEST {
            self.observe_rate_limit(headers, has_not_run);
            if headers.contains_key(&self.header_names.leaving) {
                // Its first report may have arrived since the request was sent.
                let is_sender = |current: &Upstream| current.is_same_start(&upstream.report);
                self.mark_leaving(is_sender, "response");
            }
        }
        if has_not_run {
            let reason = match response.status() {
                StatusCode::MISDIRECTED_REQUEST => Reason::NotReady,
                _ => Reason::QueueFull,
            };
            return Reply::refused(reason).with_upstream_possibly_reached();
        }
        // Hop-by-hop headers apply to the connection to the upstream only.
        let end_to_end = header::end_to_end(response.headers());
        *response.headers_mut() = end_to_end;
        // In HTTP/1.0, a body that breaks off while it is passed on would look complete.
        *response.version_mut() = Version::HTTP_11;
        Reply::from_response(response)
    }

    /// Returns whether a response has what each response of an upstream has that has run a request.
    ///
    /// A head that ends too early may look like that of a response without a body.
    fn is_genuine(&self, response: &Response<Body>) -> bool {
        let headers = response.headers();
        let signature = headers.get(&self.header_names.signature);
        let is_signed = signature.is_some_and(|signature| !signature.is_empty());
        headers.contains_key(&self.header_names.request_id)
            && (is_signed || !response.status().is_success())
            && !response.status().is_informational()
            && header::is_chunked_at_most(headers)
    }
}

/// Parses the value of a header with a rate.
fn parse_rate(value: &HeaderValue) -> Result<Rate, ParseError> {
    String::from_utf8_lossy(value.as_bytes()).parse()
}
