//! Open-loop load generator: sends calls at a fixed rate, whether or not earlier ones have ended.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use hyper::Request;
use lentilshunt_net::{
    call::Header,
    http::{Exchange, Pool},
};
use rand::{RngExt, rngs::StdRng};
use tokio::task::JoinSet;

/// Maximum size of a response.
const MAX_RESPONSE_BYTES: usize = 1024 * 1024;
/// Upper bound of the pause before a caller retries.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Call with its attempts.
#[derive(Clone, Debug)]
pub struct Call {
    /// Address for each attempt of the caller.
    pub addresses: Vec<SocketAddr>,
    /// Service that is called.
    pub service: String,
    /// Caller in the request header.
    pub caller: String,
    /// Path, unique in the run.
    pub path: String,
    /// Body of the request.
    pub body: Bytes,
    /// Timeout of each attempt.
    pub timeout: Duration,
}

/// Outcome of a call.
#[derive(Clone, Copy, Debug)]
pub struct Outcome {
    /// Index of the kind of call.
    pub kind: usize,
    /// Whether the expected response arrived.
    pub is_successful: bool,
    /// Time from the first attempt to the end of the last one.
    pub latency: Duration,
}

/// Sends calls at a rate (calls per second) for a duration, and waits for all outcomes.
///
/// `next` creates the call for a serial number, with the index of its kind.
pub async fn run(
    rate: f64,
    duration: Duration,
    random: &mut StdRng,
    mut next: impl FnMut(u64, &mut StdRng) -> (usize, Call),
) -> Vec<Outcome> {
    let pool = Arc::new(Pool::default());
    let interval = Duration::from_secs_f64(1.0 / rate);
    let started_at = Instant::now();
    let mut due_at = started_at;
    let mut calls = JoinSet::new();
    let mut serial = 0;
    while due_at < started_at + duration {
        tokio::time::sleep_until(due_at.into()).await;
        let (kind, call) = next(serial, random);
        let pause = MAX_RETRY_PAUSE.mul_f64(random.random());
        calls.spawn(call.send(kind, pause, Arc::clone(&pool)));
        serial += 1;
        due_at += interval;
    }
    calls.join_all().await
}

impl Call {
    async fn send(self, kind: usize, pause: Duration, pool: Arc<Pool>) -> Outcome {
        let sent_at = Instant::now();
        let expected = [format!("GET {}\n", self.path).as_bytes(), &self.body].concat();
        let mut is_successful = false;
        for (index, address) in self.addresses.iter().enumerate() {
            if index > 0 {
                tokio::time::sleep(pause).await;
            }
            let exchange = Exchange {
                address: *address,
                deadline: Instant::now() + self.timeout,
                max_body_bytes: MAX_RESPONSE_BYTES,
            };
            let response = pool.exchange(exchange, self.request()).await;
            is_successful = response.is_ok_and(|response| *response.body() == expected);
            if is_successful {
                break;
            }
        }
        Outcome {
            kind,
            is_successful,
            latency: sent_at.elapsed(),
        }
    }

    fn request(&self) -> Request<Bytes> {
        Request::builder()
            .uri(&self.path)
            .header(Header::SERVICE, &self.service)
            .header(Header::CALLER, &self.caller)
            .header(Header::DEADLINE, self.timeout.as_millis().to_string())
            .body(self.body.clone())
            .expect("call should be a valid request")
    }
}
