//! Handler for the requests of an upstream stand-in.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, Response, StatusCode, body::Incoming, http::request::Parts};
use lentilshunt_core::verdict::{Reason, Verdict};
use lentilshunt_net::{
    BoxFuture,
    call::Header,
    history::Writer,
    http::{Handler, empty_response, full_response},
};
use lentilshunt_schema::peer::Phase;
use tokio::time::timeout_at;

use super::{run::Run, state::State};

/// Request header that makes the stand-in abort its process.
const CRASH_HEADER: &str = "standin-crash";
/// Request header that sets the run time, in microseconds.
const RUN_TIME_HEADER: &str = "standin-run-us";
/// Path that starts a drain without stopping the process.
const DRAIN_PATH: &str = "/.standin/drain";
/// Path that ends a drain.
const READY_PATH: &str = "/.standin/ready";
/// Timeout of a request without a deadline header.
const DEFAULT_TIMEOUT: Duration = Duration::from_mins(10);

/// Runs requests in a limited number of slots and records each run in the history.
#[derive(Debug)]
pub(super) struct Upstream {
    state: Arc<State>,
    history: Writer,
}

impl Upstream {
    pub(super) fn new(state: Arc<State>, history: Writer) -> Self {
        Self { state, history }
    }

    async fn respond(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let received_at = Instant::now();
        let (parts, body) = request.into_parts();
        let Ok(body) = body.collect().await else {
            return empty_response(StatusCode::BAD_REQUEST);
        };
        match parts.uri.path() {
            DRAIN_PATH => return self.enter_phase(Phase::Draining),
            READY_PATH => return self.enter_phase(Phase::Ready),
            _ => {}
        }
        let timeout =
            parse_header(&parts, Header::DEADLINE).map_or(DEFAULT_TIMEOUT, Duration::from_millis);
        let deadline = received_at + timeout;
        let slot = timeout_at(deadline.into(), self.state.slots.acquire()).await;
        let Ok(Ok(_slot)) = slot else {
            return deadline_response(StatusCode::SERVICE_UNAVAILABLE, Verdict::NotRun);
        };
        let run = Run::begin(&self.state, &self.history, &parts);
        if parts.headers.contains_key(CRASH_HEADER) {
            std::process::abort();
        }
        let default_run_time = self.state.run_time();
        let run_time =
            parse_header(&parts, RUN_TIME_HEADER).map_or(default_run_time, Duration::from_micros);
        let work = async {
            // `sleep` takes up to a millisecond even for a zero duration.
            if !run_time.is_zero() {
                tokio::time::sleep(run_time).await;
            }
        };
        if timeout_at(deadline.into(), work).await.is_err() {
            return deadline_response(StatusCode::GATEWAY_TIMEOUT, Verdict::MayHaveRun);
        }
        run.end();
        full_response(StatusCode::OK, response_body(&parts, &body.to_bytes()))
    }

    fn enter_phase(&self, phase: Phase) -> Response<Full<Bytes>> {
        self.state.set_phase(phase, &self.history);
        empty_response(StatusCode::OK)
    }
}

impl Handler for Upstream {
    fn handle(&self, request: Request<Incoming>) -> BoxFuture<'_, Response<Full<Bytes>>> {
        Box::pin(self.respond(request))
    }
}

fn parse_header(parts: &Parts, name: &str) -> Option<u64> {
    parts.headers.get(name)?.to_str().ok()?.parse().ok()
}

/// Returns the response to a request whose deadline has passed.
fn deadline_response(status: StatusCode, verdict: Verdict) -> Response<Full<Bytes>> {
    let mut response = empty_response(status);
    let mut set = |name: &'static str, value: String| {
        if let Ok(value) = value.parse() {
            response.headers_mut().insert(name, value);
        }
    };
    set(Header::VERDICT, verdict.to_string());
    set(Header::REASON, Reason::Deadline.to_string());
    response
}

/// Returns the response body, which depends on the request only.
fn response_body(parts: &Parts, body: &[u8]) -> Vec<u8> {
    let mut content = format!("{} {}\n", parts.method, parts.uri.path()).into_bytes();
    content.extend_from_slice(body);
    content
}
