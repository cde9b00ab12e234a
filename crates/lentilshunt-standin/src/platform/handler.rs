//! HTTP handler for the table, the object store and fault injection.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, Response, StatusCode, body::Incoming, http::request::Parts};
use lentilshunt_net::{
    BoxFuture,
    http::{Handler, empty_response, full_response},
};
use lentilshunt_schema::{
    platform::{Fault, Scan, Transaction, Usage},
    settings,
};
use serde::Serialize;

use super::{RateLimit, Rows};

/// HTTP handler of the platform stand-in.
#[derive(Debug)]
pub struct Platform {
    state: Arc<Mutex<State>>,
}

#[derive(Debug)]
struct State {
    rows: Rows,
    objects: BTreeMap<String, Bytes>,
    fault: Fault,
    usage: Usage,
    reads: RateLimit,
    writes: RateLimit,
}

/// How a request is handled under the current faults.
enum Admission {
    Serve,
    LoseReply,
    LoseRequest,
    Refuse(StatusCode),
}

impl Platform {
    /// Creates an empty platform without faults.
    #[must_use]
    pub fn new(capacity: &settings::Capacity, now: Instant) -> Self {
        let state = State {
            rows: Rows::default(),
            objects: BTreeMap::new(),
            fault: Fault {
                down: false,
                objects_down: false,
                delay_ms: 0,
                lose_replies: 0,
                lose_requests: 0,
            },
            usage: Usage {
                reads: 0,
                writes: 0,
                bytes_in: 0,
                bytes_out: 0,
                refused: 0,
            },
            reads: RateLimit::new(capacity.reads_per_second.get(), now),
            writes: RateLimit::new(capacity.writes_per_second.get(), now),
        };
        Self {
            state: Arc::new(Mutex::new(state)),
        }
    }

    async fn respond(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let (parts, body) = request.into_parts();
        let Ok(body) = body.collect().await else {
            return empty_response(StatusCode::BAD_REQUEST);
        };
        let body = body.to_bytes();
        let path = parts.uri.path();
        if path.starts_with("/admin/") {
            return self.admin(&parts.method, path, &body);
        }
        let state = Arc::clone(&self.state);
        // A received request takes effect even if its client disconnects.
        let serving = tokio::spawn(async move { serve(&state, &parts, body).await });
        let Ok(served) = serving.await else {
            return empty_response(StatusCode::INTERNAL_SERVER_ERROR);
        };
        match served {
            Some(response) => response,
            None => std::future::pending().await,
        }
    }

    fn admin(&self, method: &Method, path: &str, body: &[u8]) -> Response<Full<Bytes>> {
        let mut state = lock(&self.state);
        match (method, path) {
            (&Method::GET, "/admin/usage") => encode(&state.usage),
            (&Method::POST, "/admin/fault") => match rmp_serde::from_slice(body) {
                Ok(fault) => {
                    state.fault = fault;
                    empty_response(StatusCode::OK)
                }
                Err(_malformed) => empty_response(StatusCode::BAD_REQUEST),
            },
            _ => empty_response(StatusCode::NOT_FOUND),
        }
    }
}

impl Handler for Platform {
    fn handle(&self, request: Request<Incoming>) -> BoxFuture<'_, Response<Full<Bytes>>> {
        Box::pin(self.respond(request))
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Serves a request; returns `None` when a fault drops the request or its response.
async fn serve(state: &Mutex<State>, parts: &Parts, body: Bytes) -> Option<Response<Full<Bytes>>> {
    let path = parts.uri.path();
    let is_write = parts.method != Method::GET;
    let is_object = path.starts_with("/object/");
    let delay = lock(state).fault.delay_ms;
    if delay > 0 {
        tokio::time::sleep(Duration::from_millis(delay)).await;
    }
    let mut state = lock(state);
    match state.admit(is_write, is_object, body.len()) {
        Admission::Refuse(status) => Some(empty_response(status)),
        Admission::LoseRequest => None,
        Admission::LoseReply => {
            drop(state.serve(&parts.method, path, body));
            None
        }
        Admission::Serve => Some(state.serve(&parts.method, path, body)),
    }
}

impl State {
    fn admit(&mut self, is_write: bool, is_object: bool, bytes: usize) -> Admission {
        let now = Instant::now();
        self.usage.bytes_in += bytes as u64;
        let is_within_limit = if is_write {
            self.usage.writes += 1;
            self.writes.count_request(now)
        } else {
            self.usage.reads += 1;
            self.reads.count_request(now)
        };
        let is_down = self.fault.down || (is_object && self.fault.objects_down);
        if is_down || !is_within_limit {
            self.usage.refused += 1;
            return Admission::Refuse(StatusCode::SERVICE_UNAVAILABLE);
        }
        if is_write && self.fault.lose_requests > 0 {
            self.fault.lose_requests -= 1;
            return Admission::LoseRequest;
        }
        if is_write && self.fault.lose_replies > 0 {
            self.fault.lose_replies -= 1;
            return Admission::LoseReply;
        }
        Admission::Serve
    }

    fn serve(&mut self, method: &Method, path: &str, body: Bytes) -> Response<Full<Bytes>> {
        let response = if let Some(key) = path.strip_prefix("/table/row/") {
            self.rows
                .read(key)
                .map_or_else(|| empty_response(StatusCode::NOT_FOUND), encode)
        } else if let Some(prefix) = path.strip_prefix("/table/scan/") {
            encode(&Scan {
                rows: self.rows.scan(prefix),
            })
        } else if path == "/table/transact" {
            self.transact(&body)
        } else if let Some(name) = path.strip_prefix("/object/") {
            self.object(method, name, body)
        } else {
            empty_response(StatusCode::NOT_FOUND)
        };
        let length = hyper::body::Body::size_hint(response.body()).lower();
        self.usage.bytes_out += length;
        response
    }

    fn transact(&mut self, body: &[u8]) -> Response<Full<Bytes>> {
        match rmp_serde::from_slice::<Transaction>(body) {
            Ok(transaction) => encode(&self.rows.transact(transaction)),
            Err(_malformed) => empty_response(StatusCode::BAD_REQUEST),
        }
    }

    fn object(&mut self, method: &Method, name: &str, body: Bytes) -> Response<Full<Bytes>> {
        if method == Method::PUT {
            self.objects.insert(name.to_owned(), body);
            return empty_response(StatusCode::OK);
        }
        match self.objects.get(name) {
            Some(content) => full_response(StatusCode::OK, content.clone()),
            None => empty_response(StatusCode::NOT_FOUND),
        }
    }
}

fn encode<T: Serialize>(value: &T) -> Response<Full<Bytes>> {
    let body = rmp_serde::to_vec_named(value).expect("response should be serializable");
    full_response(StatusCode::OK, body)
}
