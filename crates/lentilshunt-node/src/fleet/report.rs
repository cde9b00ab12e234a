//! Receives the reports of the local upstream.

use std::{
    sync::{Arc, Mutex},
    time::Instant,
};

use hyper::{
    Request, Response, StatusCode,
    body::Incoming,
    header::{CONTENT_TYPE, HeaderValue},
};
use lentilshunt_core::membership::{LocalRecord, Phase, Record};
use lentilshunt_net::BoxFuture;
use lentilshunt_schema::peer::Announcement;
use slog::{info, warn};
use tokio::sync::watch;

use super::{Codec, departure::Ledger};
use crate::{
    executor::lock,
    relay::{
        Executor, Handler, Shared,
        body::{Body, Payload, from_incoming, full, read_prefix, status_response},
        upstream::{Change, Report},
    },
};

/// Maximum size of a report, in bytes.
const MAX_REPORT_BYTES: usize = 64 * 1024;
/// Media type of the response to a report.
const JSON: HeaderValue = HeaderValue::from_static("application/json");

/// Handler of the listener for reports of the upstream.
#[derive(Debug)]
pub struct Reports {
    shared: Arc<Shared>,
    executor: Arc<Executor>,
    codec: Arc<dyn Codec>,
    local_record: Mutex<LocalRecord>,
    records: watch::Sender<Option<Record>>,
    ledger: Option<Arc<Ledger>>,
}

impl Reports {
    /// Creates the handler; records to be published are sent to `records`.
    #[must_use]
    pub fn new(
        shared: Arc<Shared>,
        executor: Arc<Executor>,
        codec: Arc<dyn Codec>,
        local_record: LocalRecord,
        records: watch::Sender<Option<Record>>,
    ) -> Self {
        Self {
            shared,
            executor,
            codec,
            local_record: Mutex::new(local_record),
            records,
            ledger: None,
        }
    }

    /// Sets where departures of the upstream are kept.
    ///
    /// The report of one is then acknowledged only if it outlives this process.
    #[must_use]
    pub fn with_ledger(mut self, ledger: Arc<Ledger>) -> Self {
        self.ledger = Some(ledger);
        self
    }

    async fn respond(&self, request: Request<Incoming>) -> Response<Body> {
        let (parts, body) = request.into_parts();
        let target = parts.uri.path_and_query().map_or("/", |path| path.as_str());
        let Ok(Payload::Buffered(body)) = read_prefix(from_incoming(body), MAX_REPORT_BYTES).await
        else {
            return status_response(StatusCode::BAD_REQUEST);
        };
        match self.codec.decode_report(target, &body) {
            Ok(report) if self.is_accepted(&report) => {
                self.apply_report(&report);
                if !self.secure_departure(&report).await {
                    return status_response(StatusCode::SERVICE_UNAVAILABLE);
                }
            }
            Ok(report) => {
                warn!(self.shared.log, "report of another service refused";
                    "upstream" => report.process, "service" => report.service);
                return status_response(StatusCode::BAD_REQUEST);
            }
            Err(error) => {
                warn!(self.shared.log, "report cannot be decoded"; "error" => %error);
                return status_response(StatusCode::BAD_REQUEST);
            }
        }
        let mut response = Response::new(full(self.codec.acknowledgement()));
        response.headers_mut().insert(CONTENT_TYPE, JSON);
        response
    }

    /// Returns whether a report is a deregistration or comes from the local service.
    fn is_accepted(&self, report: &Report) -> bool {
        report.phase == Phase::Gone || report.service == self.shared.service
    }

    fn apply_report(&self, report: &Report) {
        let now = Instant::now();
        let report = self.complete_report(report, now);
        let change = self.executor.apply_report(&report, now);
        if change != Change::Changed {
            return;
        }
        info!(self.shared.log, "upstream changed"; "upstream" => &report.process,
            "started_ms" => report.started_ms, "sequence" => report.sequence,
            "phase" => %report.phase, "slots" => report.slots);
        self.publish(&report);
    }

    /// Waits until the departure that a report tells of outlives this process, for a limited time.
    ///
    /// Returns whether the report can be acknowledged. The upstream repeats one that is not, and
    /// leaves at last in any case.
    async fn secure_departure(&self, report: &Report) -> bool {
        let (Some(ledger), Some(departure)) = (&self.ledger, report.departure()) else {
            return true;
        };
        ledger.update();
        let is_secure = ledger.secure(&departure).await;
        if !is_secure {
            metrics::counter!("lentilshunt_departures_unconfirmed_total").increment(1);
            warn!(self.shared.log, "departure not acknowledged, neither the store nor other nodes have it";
                "upstream" => &report.process);
        }
        is_secure
    }

    /// Publishes that the upstream leaves when one of its responses says so, until the executor is
    /// dropped.
    pub async fn publish_departures(self: Arc<Self>) {
        let mut departures = self.executor.departures();
        while departures.changed().await.is_ok() {
            let report = departures.borrow_and_update().clone();
            if let Some(report) = report {
                self.publish(&report);
            }
        }
    }

    /// Publishes what a report says of the upstream.
    fn publish(&self, report: &Report) {
        if let Some(ledger) = &self.ledger {
            ledger.update();
        }
        let announcement = Announcement {
            address: String::new(),
            connections: 0,
            healthy: report.phase == Phase::Ready,
            incarnation: report.started_ms,
            instance: self.shared.locality.instance.clone(),
            service: report.service.clone(),
            phase: report.phase,
            slots: report.slots,
            load: 0,
        };
        let mut local_record = lock(&self.local_record);
        let has_rollouts = self.shared.rollouts.is_enabled();
        let version = Some(report.version.clone());
        let version = version.filter(|version| has_rollouts && !version.is_empty());
        let has_version_changed = local_record.set_version(version);
        if local_record.apply_announcement(&announcement) || has_version_changed {
            self.records
                .send_replace(Some(local_record.record().clone()));
        }
    }

    /// Fills in what a deregistration lacks from the previous report of the same process.
    fn complete_report(&self, report: &Report, now: Instant) -> Report {
        if report.phase != Phase::Gone {
            return report.clone();
        }
        match self.executor.upstream(now) {
            Some(upstream) if upstream.is_same_start(report) => Report {
                // An upstream that was found by its health check has no known start.
                started_ms: report.started_ms.max(upstream.report.started_ms),
                phase: Phase::Gone,
                ..upstream.report.clone()
            },
            _ => report.clone(),
        }
    }
}

impl Handler for Reports {
    fn handle(&self, request: Request<Incoming>) -> BoxFuture<'_, Response<Body>> {
        Box::pin(self.respond(request))
    }
}
