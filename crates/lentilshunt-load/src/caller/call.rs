//! One call and its attempts.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use hyper::{Request, Response, header::HeaderValue};
use lentilshunt_core::verdict::Verdict;
use lentilshunt_net::{
    call::Header,
    history::{Writer, new_event, now_us},
    http::{Error, Exchange, Pool},
};
use lentilshunt_schema::history::{Event, Kind};
use rand::{RngExt, SeedableRng, rngs::StdRng};

use super::{CallOutcome, Target};

/// Maximum number of attempts of one call.
const MAX_ATTEMPTS: usize = 5;
/// Deadline that each attempt sends in its header.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(3);
/// Time after the deadline for which the caller still waits for the response.
const RESPONSE_GRACE: Duration = Duration::from_millis(500);
/// Maximum pause before the second attempt; doubles with each further attempt.
const MAX_FIRST_BACKOFF: Duration = Duration::from_millis(100);
/// Maximum size of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 1024 * 1024;
/// Header with the attempt id that the upstream stand-in records.
const ATTEMPT_HEADER: &str = "standin-attempt";
/// Verdict recorded for an attempt that failed before it was sent.
const NOT_SENT: &str = "not-sent";
/// Detail recorded for a request that crashes its upstream.
pub(crate) const CRASHES_DETAIL: &str = "crashes";
/// Header that makes the upstream stand-in crash.
const CRASH_HEADER: &str = "standin-crash";

/// Call that is retried with the same idempotency key until an upstream responds.
#[derive(Clone, Debug)]
pub struct Call {
    /// Service, method and path to call.
    pub target: Target,
    /// Idempotency key, also used as the path.
    pub key: String,
    /// Body of the request.
    pub body: Bytes,
    /// Instant at which the call is to be sent.
    pub scheduled_at: Instant,
    /// Whether the request crashes each upstream that runs it.
    pub crashes_upstream: bool,
    /// Seed for the choice of nodes and pauses.
    pub seed: u64,
}

impl Call {
    /// Sends attempts until one has run or the maximum number is reached.
    ///
    /// Each retry goes to another node after a pause with full jitter. The call is
    /// retried even when the request may have run, since the idempotency key has to
    /// keep it from running twice. An attempt that follows one which may have run is
    /// marked as a resend.
    ///
    /// # Panics
    ///
    /// Panics if `nodes` is empty or the target does not form a valid request.
    pub async fn send(
        self,
        nodes: Arc<[SocketAddr]>,
        pool: Arc<Pool>,
        history: Writer,
    ) -> CallOutcome {
        let mut random = StdRng::seed_from_u64(self.seed);
        let first = random.random_range(0..nodes.len());
        let step = random.random_range(1..nodes.len().max(2));
        let mut outcome = self.outcome(0, None, false);
        let mut may_have_run = false;
        for attempt in 0..MAX_ATTEMPTS {
            if attempt > 0 {
                let max_pause =
                    MAX_FIRST_BACKOFF * 2_u32.pow(u32::try_from(attempt - 1).unwrap_or(0));
                tokio::time::sleep(max_pause.mul_f64(random.random())).await;
            }
            let node = nodes[(first + attempt * step) % nodes.len()];
            let id = format!("{:016x}", random.random::<u64>());
            let mut request = self.request(&id);
            if may_have_run {
                let headers = request.headers_mut();
                headers.insert(Header::RESEND, HeaderValue::from_static("yes"));
            }
            let sent = self.sent(id, node);
            let response = exchange(node, request, sent, &pool, &history).await;
            let is_expected = response
                .as_ref()
                .is_ok_and(|response| *response.body() == self.expected());
            outcome = self.outcome(attempt + 1, verdict(&response), is_expected);
            may_have_run |= outcome.verdict != Some(Verdict::NotRun);
            if outcome.verdict == Some(Verdict::Ran) {
                break;
            }
        }
        outcome
    }

    fn outcome(&self, attempts: usize, verdict: Option<Verdict>, is_expected: bool) -> CallOutcome {
        CallOutcome {
            verdict,
            is_expected_response: is_expected,
            idempotent: self.target.idempotent,
            attempts,
            latency: self.scheduled_at.elapsed(),
        }
    }

    fn sent(&self, attempt: String, node: SocketAddr) -> Event {
        let mut sent = new_event(Kind::Sent);
        sent.key = Some(self.key.clone());
        sent.attempt = Some(attempt);
        sent.instance = Some(node.to_string());
        sent.service = Some(self.target.service.clone());
        sent.idempotent = Some(self.target.idempotent);
        sent.detail = self.crashes_upstream.then(|| CRASHES_DETAIL.to_owned());
        sent.expected = Some(digest(&self.expected()));
        sent
    }

    fn request(&self, attempt: &str) -> Request<Bytes> {
        let mut request = Request::builder()
            .method(self.target.method.clone())
            .uri(&self.key)
            .header(Header::SERVICE, &self.target.service)
            .header(Header::CALLER, &self.target.caller)
            .header(Header::KEY, &self.key)
            .header(Header::DEADLINE, ATTEMPT_TIMEOUT.as_millis().to_string())
            .header(ATTEMPT_HEADER, attempt);
        if self.crashes_upstream {
            request = request.header(CRASH_HEADER, "yes");
        }
        request
            .body(self.body.clone())
            .expect("the target of a plan forms a valid request")
    }

    /// Returns the response body that the upstream stand-in sends to this call.
    fn expected(&self) -> Bytes {
        let mut response = format!("{} {}\n", self.target.method, self.key).into_bytes();
        response.extend_from_slice(&self.body);
        Bytes::from(response)
    }
}

/// Sends one attempt and records the attempt and its response.
async fn exchange(
    node: SocketAddr,
    request: Request<Bytes>,
    sent: Event,
    pool: &Pool,
    history: &Writer,
) -> Result<Response<Bytes>, Error> {
    history.write(sent.clone());
    let exchange = Exchange {
        address: node,
        deadline: Instant::now() + ATTEMPT_TIMEOUT + RESPONSE_GRACE,
        max_body_bytes: MAX_RESPONSE_BYTES,
    };
    let response = pool.exchange(exchange, request).await;
    history.write(replied(sent, &response));
    response
}

fn replied(sent: Event, response: &Result<Response<Bytes>, Error>) -> Event {
    let mut replied = sent;
    replied.at_us = now_us();
    replied.kind = Kind::Replied;
    replied.detail = None;
    replied.verdict = verdict(response).map(|verdict| verdict.to_string());
    match response {
        Ok(response) => {
            replied.status = Some(response.status().as_u16());
            replied.digest = Some(digest(response.body()));
            replied.detail = header(response, Header::REASON);
        }
        Err(error) => {
            if error.verdict() == Verdict::NotRun {
                replied.verdict = Some(NOT_SENT.to_owned());
            }
            replied.detail = Some(error.to_string());
        }
    }
    replied
}

fn verdict(response: &Result<Response<Bytes>, Error>) -> Option<Verdict> {
    match response {
        Ok(response) => Verdict::from_header(&header(response, Header::VERDICT)?),
        Err(error) if error.verdict() == Verdict::NotRun => Some(Verdict::NotRun),
        Err(_unknown_outcome) => None,
    }
}

fn header(response: &Response<Bytes>, name: &str) -> Option<String> {
    let value = response.headers().get(name)?;
    value.to_str().ok().map(ToOwned::to_owned)
}

fn digest(body: &[u8]) -> String {
    blake3::hash(body).to_hex().to_string()
}
