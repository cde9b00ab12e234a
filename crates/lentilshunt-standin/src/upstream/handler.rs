//! Runs requests.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, Response, StatusCode, body::Incoming, http::request::Parts};
use lentilshunt_net::{
    Pending,
    call::Name,
    history::{Writer, event},
    http::{Handler, empty, whole},
};
use lentilshunt_schema::{history::Kind, peer::Phase};

use super::state::State;

/// Header by which a request tells the stand-in to crash.
const CRASH_HEADER: &str = "standin-crash";

/// Runs requests in slots and records each run.
#[derive(Debug)]
pub(super) struct Upstream {
    state: Arc<State>,
    history: Writer,
}

/// Counts a running request until it is dropped.
struct Running<'a>(&'a State);

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.0.end();
    }
}

impl Upstream {
    pub(super) fn new(state: Arc<State>, history: Writer) -> Self {
        Self { state, history }
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let (parts, body) = request.into_parts();
        let Ok(body) = body.collect().await else {
            return empty(StatusCode::BAD_REQUEST);
        };
        let Ok(_slot) = self.state.slots.acquire().await else {
            return empty(StatusCode::SERVICE_UNAVAILABLE);
        };
        self.record(Kind::RunBegun, &parts);
        self.state.begin();
        let _running = Running(&self.state);
        if parts.headers.contains_key(CRASH_HEADER) {
            std::process::abort();
        }
        tokio::time::sleep(self.state.run_time()).await;
        self.record(Kind::RunEnded, &parts);
        whole(StatusCode::OK, answer(&parts, &body.to_bytes()))
    }

    fn record(&self, kind: Kind, parts: &Parts) {
        if !self.history.is_enabled() {
            return;
        }
        let text = |name| Some(parts.headers.get(name)?.to_str().ok()?.to_owned());
        let mut event = event(kind);
        event.request = text(Name::REQUEST);
        event.key = text(Name::KEY);
        event.service = Some(self.state.service().to_owned());
        event.instance = Some(self.state.instance().to_owned());
        if self.state.phase() == Phase::Draining {
            event.detail = Some(Phase::Draining.to_string());
        }
        self.history.write(event);
    }
}

impl Handler for Upstream {
    fn handle(&self, request: Request<Incoming>) -> Pending<'_, Response<Full<Bytes>>> {
        Box::pin(self.answer(request))
    }
}

/// Returns the answer to a request, which is a function of the request alone.
fn answer(parts: &Parts, body: &[u8]) -> Vec<u8> {
    let mut answer = format!("{} {}\n", parts.method, parts.uri.path()).into_bytes();
    answer.extend_from_slice(body);
    answer
}
