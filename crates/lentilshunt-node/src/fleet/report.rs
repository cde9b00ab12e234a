//! Takes the reports of the upstream beside the node.

use std::{
    sync::{Arc, Mutex},
    time::Instant,
};

use hyper::{
    Request, Response, StatusCode,
    body::Incoming,
    header::{CONTENT_TYPE, HeaderValue},
};
use lentilshunt_core::membership::{Owner, Phase, Record};
use lentilshunt_net::Pending;
use lentilshunt_schema::peer::Announcement;
use slog::{info, warn};
use tokio::sync::watch;

use super::Translator;
use crate::{
    executor::lock,
    relay::{
        Executor, Handler, Shared,
        body::{Body, Payload, from_incoming, full, read_prefix, status_response},
        upstream::{Change, Report},
    },
};

/// Largest report, in bytes.
const REPORT_BYTES: usize = 64 * 1024;
/// Media type of the answer to a report.
const JSON: HeaderValue = HeaderValue::from_static("application/json");

/// Handler of the listener for reports of the upstream.
#[derive(Debug)]
pub struct Reports {
    shared: Arc<Shared>,
    executor: Arc<Executor>,
    translator: Arc<dyn Translator>,
    owner: Mutex<Owner>,
    records: watch::Sender<Option<Record>>,
}

impl Reports {
    /// Creates the handler; records to be published go to `records`.
    #[must_use]
    pub fn new(
        shared: Arc<Shared>,
        executor: Arc<Executor>,
        translator: Arc<dyn Translator>,
        owner: Owner,
        records: watch::Sender<Option<Record>>,
    ) -> Self {
        Self {
            shared,
            executor,
            translator,
            owner: Mutex::new(owner),
            records,
        }
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<Body> {
        let (parts, body) = request.into_parts();
        let target = parts.uri.path_and_query().map_or("/", |path| path.as_str());
        let Ok(Payload::Buffered(body)) = read_prefix(from_incoming(body), REPORT_BYTES).await
        else {
            return status_response(StatusCode::BAD_REQUEST);
        };
        match self.translator.report(target, &body) {
            Ok(report) if self.accepts(&report) => self.take(&report),
            Ok(report) => {
                warn!(self.shared.log, "report of another upstream ignored";
                    "upstream" => report.process, "service" => report.service);
                return status_response(StatusCode::BAD_REQUEST);
            }
            Err(error) => {
                warn!(self.shared.log, "report cannot be read"; "error" => %error);
                return status_response(StatusCode::BAD_REQUEST);
            }
        }
        let mut response = Response::new(full(self.translator.acknowledgement()));
        response.headers_mut().insert(CONTENT_TYPE, JSON);
        response
    }

    /// Returns whether a report is of an upstream of the service beside this node.
    fn accepts(&self, report: &Report) -> bool {
        report.phase == Phase::Gone || report.service == self.shared.service
    }

    fn take(&self, report: &Report) {
        let now = Instant::now();
        let report = self.completed(report, now);
        let change = self.executor.apply_report(&report, now);
        if change != Change::Changed {
            return;
        }
        info!(self.shared.log, "upstream changed"; "upstream" => &report.process,
            "started_ms" => report.started_ms, "sequence" => report.sequence,
            "phase" => %report.phase, "slots" => report.slots);
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
        let mut owner = lock(&self.owner);
        if owner.announce(&announcement) {
            self.records.send_replace(Some(owner.record().clone()));
        }
    }

    /// Completes the last report of a leaving process by what it said before.
    fn completed(&self, report: &Report, now: Instant) -> Report {
        if report.phase != Phase::Gone {
            return report.clone();
        }
        match self.executor.upstream(now) {
            Some(held) if held.report.process == report.process => Report {
                phase: Phase::Gone,
                sequence: held.report.sequence + 1,
                ..held.report.clone()
            },
            _ => report.clone(),
        }
    }
}

impl Handler for Reports {
    fn handle(&self, request: Request<Incoming>) -> Pending<'_, Response<Body>> {
        Box::pin(self.answer(request))
    }
}
