//! Runs requests.

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

/// Header by which a request tells the stand-in to crash.
const CRASH_HEADER: &str = "standin-crash";
/// Header by which a request names the time that it runs, in microseconds.
const RUN_HEADER: &str = "standin-run-us";
/// Path by which a test begins a drain without a stop.
const DRAIN_PATH: &str = "/.standin/drain";
/// Path by which a test ends a drain.
const READY_PATH: &str = "/.standin/ready";
/// Longest wait of a request that names no deadline.
const LONGEST_WAIT: Duration = Duration::from_mins(10);

/// Runs requests in slots and records each run.
#[derive(Debug)]
pub(super) struct Upstream {
    state: Arc<State>,
    history: Writer,
}

impl Upstream {
    pub(super) fn new(state: Arc<State>, history: Writer) -> Self {
        Self { state, history }
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let arrived_at = Instant::now();
        let (parts, body) = request.into_parts();
        let Ok(body) = body.collect().await else {
            return empty_response(StatusCode::BAD_REQUEST);
        };
        match parts.uri.path() {
            DRAIN_PATH => return self.enter(Phase::Draining),
            READY_PATH => return self.enter(Phase::Ready),
            _ => {}
        }
        let wait = number(&parts, Header::DEADLINE).map_or(LONGEST_WAIT, Duration::from_millis);
        let deadline = arrived_at + wait;
        let slot = timeout_at(deadline.into(), self.state.slots.acquire()).await;
        let Ok(Ok(_slot)) = slot else {
            return refusal(StatusCode::SERVICE_UNAVAILABLE, Verdict::NotRun);
        };
        let run = Run::begin(&self.state, &self.history, &parts);
        if parts.headers.contains_key(CRASH_HEADER) {
            std::process::abort();
        }
        let usual = self.state.run_time();
        let run_time = number(&parts, RUN_HEADER).map_or(usual, Duration::from_micros);
        let work = async {
            // A timer takes up to a millisecond even for no time at all.
            if !run_time.is_zero() {
                tokio::time::sleep(run_time).await;
            }
        };
        if timeout_at(deadline.into(), work).await.is_err() {
            return refusal(StatusCode::GATEWAY_TIMEOUT, Verdict::MayHaveRun);
        }
        run.end();
        full_response(StatusCode::OK, answer(&parts, &body.to_bytes()))
    }

    fn enter(&self, phase: Phase) -> Response<Full<Bytes>> {
        self.state.set_phase(phase, &self.history);
        empty_response(StatusCode::OK)
    }
}

impl Handler for Upstream {
    fn handle(&self, request: Request<Incoming>) -> BoxFuture<'_, Response<Full<Bytes>>> {
        Box::pin(self.answer(request))
    }
}

fn number(parts: &Parts, name: &str) -> Option<u64> {
    parts.headers.get(name)?.to_str().ok()?.parse().ok()
}

/// Returns the answer to a request whose deadline passed, with its verdict.
fn refusal(status: StatusCode, verdict: Verdict) -> Response<Full<Bytes>> {
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

/// Returns the answer to a request, which is a function of the request alone.
fn answer(parts: &Parts, body: &[u8]) -> Vec<u8> {
    let mut answer = format!("{} {}\n", parts.method, parts.uri.path()).into_bytes();
    answer.extend_from_slice(body);
    answer
}
